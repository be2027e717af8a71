Feature: one host asks the store, and the others take its word as of their question

  Scenario: an answer confirms the table as of the question, however late it comes
    Given a host whose table of revision 5 was confirmed 3 s ago
    When a relay with revision 5 and an age of 0.4 s answers a question 1 s old
    Then the host's table was confirmed 1.4 s ago

  Scenario: a relay with an older table confirms nothing newer than its own confirmation
    Given a host whose table of revision 5 was confirmed 3 s ago
    When a relay with revision 4 and an age of 9 s answers a question 0 s old
    Then the host's table was confirmed 3 s ago

  Scenario: a newer table at the relay confirms nothing, and makes the host watch anew
    Given a host whose table of revision 5 was confirmed 3 s ago
    When a relay with revision 6 and an age of 0.1 s answers a question 0 s old
    Then the host's table was confirmed 3 s ago
    When it answers so again 0.9 s later
    Then the host's watches begin anew

  Scenario: a deaf watch of servers shows by the relay's newer entry
    Given a host whose table of revision 5 was confirmed 3 s ago
    When a relay with revision 5 and a newer server entry answers for 0.9 s
    Then the host's watches begin anew

  Scenario: of hosts that hear each other one is the relay, and the rest wait long
    Given 7 hosts that hear each other, with fresh tables
    Then 1 of them watches for 0.5 s at a time and the rest for 25 s

  Scenario: a host without a relay's word asks the store itself
    Given 7 hosts that hear each other, with fresh tables
    When no answer confirms them for 2.1 s
    Then 7 of them watches for 0.5 s at a time and the rest for 25 s

  Scenario: a host that the store turns away serves on the others' word
    Given two fronts on one store
    When the store turns the second away for 3 s
    Then the second still serves a keyed request
    And it stops once the first is gone too
