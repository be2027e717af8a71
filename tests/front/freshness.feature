Feature: relays ask the store, and the other hosts rely on their answers

  Scenario: an answer confirms the table as of the question, whatever its delay
    Given a host whose table of revision 5 was confirmed 3 s ago
    When a relay with revision 5 and an age of 0.4 s answers a question 1 s old
    Then the host's table was confirmed 1.4 s ago

  Scenario: a relay's answer with an older table does not make the table look fresher
    Given a host whose table of revision 5 was confirmed 3 s ago
    When a relay with revision 4 and an age of 9 s answers a question 0 s old
    Then the host's table was confirmed 3 s ago

  Scenario: a newer table at the relay confirms nothing, and the host restarts its watch
    Given a host whose table of revision 5 was confirmed 3 s ago
    When a relay with revision 6 and an age of 0.1 s answers a question 0 s old
    Then the host's table was confirmed 3 s ago
    When it gives the same answer 0.9 s later
    Then the host restarts its watch of the table, not that of servers

  Scenario: a deaf watch of servers is detected by the relay's newer entry
    Given a host whose table of revision 5 was confirmed 3 s ago
    When a relay with revision 5 and a newer server entry answers for 0.9 s
    Then the host restarts its watch of servers, not that of the table

  Scenario: of hosts that know each other one is the relay, and the rest use long watches
    Given 7 hosts that know each other, with fresh tables
    Then 1 of them watches for 0.5 s at a time and the rest for 25 s

  Scenario: a host without a relay's answers asks the store itself
    Given 7 hosts that know each other, with fresh tables
    When no answer confirms their tables for 2.6 s
    Then 7 of them watches for 0.5 s at a time and the rest for 25 s

  Scenario: among many hosts the relay sends server changes to the rest
    Given 20 hosts that know each other, with fresh tables
    Then 1 of them watches servers and the rest rely on its news

  Scenario: a relay that has lost the store is passed over
    Given 20 hosts that know each other, with fresh tables
    When the relay's table is 1.9 s old in its next 3 answers
    Then another host is a relay too

  Scenario: a new relay is not passed over for its first answer
    Given 20 hosts that know each other, with fresh tables
    When the relay's table is 1.9 s old in its next 1 answers
    Then 1 of them watches servers and the rest rely on its news

  Scenario: a relay that batches changes is not passed over
    Given 20 hosts that know each other, with fresh tables
    When the relay's table is 1.6 s old in its next 8 answers
    Then 1 of them watches servers and the rest rely on its news

  Scenario: a relay of an earlier release, which tells no era, is passed over once the era has risen
    Given 20 hosts that know each other, with fresh tables
    When the era rises and the relay's next answers tell none
    Then another host is a relay too

  Scenario: a relay that does not answer is passed over
    Given 20 hosts that know each other, with fresh tables
    When the relay does not answer for 1.1 s
    Then another host is a relay too

  Scenario: a relay's news are applied if no earlier change is missing
    Given a host that relies on a relay's news
    When the relay sends news of a server listed between revisions 10 and 14
    Then the host has applied 1 news and knows changes up to 14
    And the host as a relay would answer that servers changed by 14

  Scenario: a gap before a relay's news is closed by the store
    Given a host that relies on a relay's news
    When the relay sends news of a server listed between revisions 12 and 14
    Then the host has applied 0 news and knows changes up to 10
    When the relay answers that servers changed by 14 and were watched up to 16
    And it gives the same answer 0.2 s later
    Then the host restarts its watch of servers, not that of the table
    And the host has applied 0 news and knows changes up to 10

  Scenario: if nothing has changed, a relay's watch counts as the host's own
    Given a host that relies on a relay's news
    When the relay answers that servers changed by 9 and were watched up to 30
    Then the host has applied 0 news and knows changes up to 30
    And the list of servers was confirmed 0.2 s ago
    When the relay sends news of a server listed between revisions 28 and 33
    Then the host has applied 1 news and knows changes up to 33

  Scenario: news of known changes have no effect
    Given a host that relies on a relay's news
    When the relay sends news of a server listed between revisions 8 and 10
    Then the host has applied 0 news and knows changes up to 10

  Scenario: news are encoded and decoded completely
    Given two hosts, one of which receives news
    When the other sends news of 3 servers written and 2 removed
    Then the news arrives as it was sent

  Scenario: the logs of two hosts allow to compare their clocks, and the list's age is a metric
    Given two fronts on one store
    When both serve for 1.5 s
    Then their logs bound the offset of their clocks from both sides
    And the gauge of the server list's age is below 3 s

  Scenario Outline: a front that relies on a relay's news learns of server changes
    Given two fronts on one store, one of which relies on the other's news
    When <news>
    Then both know it within 2 s, and the one relying on news makes <calls> more calls

    Examples:
      | news                                          | calls    |
      | a server begins to drain                      | no       |
      | a server is listed                            | no       |
      | a server is removed                           | no       |
      | a server begins to drain and the news is lost | at least 1 |

  Scenario: a host without the store serves by the answers of the others
    Given two fronts on one store
    When the store resets the connections of the second for 3 s
    Then the second still serves a keyed request
    And it stops when the first is down too
