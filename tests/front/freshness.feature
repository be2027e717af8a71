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
    Then the host's watch of the table begins anew, that of servers goes on

  Scenario: a deaf watch of servers shows by the relay's newer entry
    Given a host whose table of revision 5 was confirmed 3 s ago
    When a relay with revision 5 and a newer server entry answers for 0.9 s
    Then the host's watch of servers begins anew, that of the table goes on

  Scenario: of hosts that hear each other one is the relay, and the rest wait long
    Given 7 hosts that hear each other, with fresh tables
    Then 1 of them watches for 0.5 s at a time and the rest for 25 s

  Scenario: a host without a relay's word asks the store itself
    Given 7 hosts that hear each other, with fresh tables
    When no answer confirms them for 2.6 s
    Then 7 of them watches for 0.5 s at a time and the rest for 25 s

  Scenario: among many hosts the relay tells the rest what became of servers
    Given 20 hosts that hear each other, with fresh tables
    Then 1 of them watches servers and the rest wait for its word

  Scenario: a relay that has lost the store is passed over
    Given 20 hosts that hear each other, with fresh tables
    When the relay's word is 1.9 s old at the 3 answers that follow
    Then another host is a relay as well

  Scenario: a relay that has only just begun is not passed over for its first word
    Given 20 hosts that hear each other, with fresh tables
    When the relay's word is 1.9 s old at the 1 answers that follow
    Then 1 of them watches servers and the rest wait for its word

  Scenario: a relay that gathers changes is not passed over
    Given 20 hosts that hear each other, with fresh tables
    When the relay's word is 1.6 s old at the 8 answers that follow
    Then 1 of them watches servers and the rest wait for its word

  Scenario: a relay that does not answer is passed over
    Given 20 hosts that hear each other, with fresh tables
    When the relay answers nothing for 1.1 s
    Then another host is a relay as well

  Scenario: a relay's news are taken where nothing is missed before them
    Given a host that waits for the word of a relay
    When the relay has seen a server listed between revisions 10 and 14
    Then the host has taken 1 news and knows changes up to 14
    And the host as a relay would tell that servers changed by 14

  Scenario: a gap before a relay's news is closed by the store
    Given a host that waits for the word of a relay
    When the relay has seen a server listed between revisions 12 and 14
    Then the host has taken 0 news and knows changes up to 10
    When the relay answers that servers changed by 14 and were watched up to 16
    And it answers so again 0.2 s later
    Then the host's watch of servers begins anew, that of the table goes on
    And the host has taken 0 news and knows changes up to 10

  Scenario: where nothing has changed, a relay's watch counts as the host's own
    Given a host that waits for the word of a relay
    When the relay answers that servers changed by 9 and were watched up to 30
    Then the host has taken 0 news and knows changes up to 30
    And the list of servers was confirmed 0.2 s ago
    When the relay has seen a server listed between revisions 28 and 33
    Then the host has taken 1 news and knows changes up to 33

  Scenario: news that were known already change nothing
    Given a host that waits for the word of a relay
    When the relay has seen a server listed between revisions 8 and 10
    Then the host has taken 0 news and knows changes up to 10

  Scenario: news travel whole
    Given two hosts, one of which takes news
    When the other tells of 3 servers written and 2 removed
    Then the news arrives as it was told

  Scenario: clocks of two hosts are compared by their logs, and the list's age can be read
    Given two fronts on one store
    When the two serve for 1.5 s
    Then their logs bound each other's clocks from both sides
    And the age of the list of servers is a gauge below 3 s

  Scenario Outline: a front that waits for a relay's word learns what becomes of servers
    Given two fronts on one store, one of which waits for the other's word
    When <news>
    Then both know it within 2 s, and the one that waits has made <calls> more calls

    Examples:
      | news                                          | calls    |
      | a server begins to drain                      | no       |
      | a server is listed                            | no       |
      | a server is removed                           | no       |
      | a server begins to drain and the news is lost | at least 1 |

  Scenario: a host that the store turns away serves on the others' word
    Given two fronts on one store
    When the store turns the second away for 3 s
    Then the second still serves a keyed request
    And it stops once the first is gone too
