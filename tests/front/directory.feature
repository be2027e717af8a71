Feature: a host uses its table and server list only while they are recent enough

  Scenario: an older table never replaces a newer one
    Given a table state with revision 5 confirmed at 10 s
    When the table state gets revision 4 confirmed at 11 s
    Then the table state has revision 5

  Scenario Outline: accepting keys and denying requests need a recently confirmed table
    Given a table state with revision 5 confirmed at 10 s
    Then at <at> s keys are <keys> and denials are <denials>

    Examples:
      | at   | keys         | denials      |
      | 11.9 | allowed      | allowed      |
      | 12.1 | allowed      | not allowed  |
      | 13.9 | allowed      | not allowed  |
      | 14.1 | not allowed  | not allowed  |

  Scenario: an entry removed while the store answers is dropped at once
    Given a server list of "a b"
    When the store reports "a" removed at 10 s
    Then the server list holds "b"

  Scenario: an entry that lapsed in an outage stays in use until the platform had time to restore it
    Given a server list of "a b"
    When the store returns from an outage at 10 s without "a"
    Then the server list holds "a b" at 11.9 s
    And the server list holds "b" at 12.1 s

  Scenario: an entry that is restored stays
    Given a server list of "a b"
    When the store returns from an outage at 10 s without "a"
    And the store reports "a" written
    Then the server list holds "a b" at 12.1 s

  Scenario: a draining server that goes missing does not return
    Given a server list of "a b"
    When the store reports "a" draining
    And the store returns from an outage at 10 s without "a"
    Then the server list holds "b" at 10 s

  Scenario: an address taken over drops its former server
    Given a server list of "a b"
    When the store returns from an outage at 10 s without "a"
    And the store reports "c" written at the address of "a"
    Then the server list holds "b c" at 10 s

  Scenario Outline: an entry that goes missing while <who> lost the store
    Given a server list of "a b" at a host that lost the store at 2 s
    When other hosts reach the store until <until> s and again from 10 s on
    And the store returns from an outage at 10 s without "a"
    Then the server list holds "<held>" at 10.5 s

    Examples:
      | who            | until | held |
      | only this host | 9.5   | b    |
      | every host     | 4     | a b  |

  Scenario: a host cut off from the store refuses keys in time and serves again
    When the store is silent for 4 s
    Then the front refuses a keyed request and is not ready
    And it serves again within 2 s of the store's return

  Scenario: a revoked key is refused as soon as its table is written
    When a table without the key is written
    Then the front answers 401 within 0.5 s

  Scenario: the watch continues after the store has dropped its history
    When the store drops its history and a table with a new route is written
    Then the front serves the new route within 2 s

  Scenario: a draining server gets no more requests
    When the only server's entry turns to draining
    Then the front answers 503 within 0.5 s

  Scenario: an entry that can't be decoded does not affect the others
    When another writer adds invalid entries to the server list
    Then the front answers 200 and the request ran 1 times

  Scenario: an entry that changes while later pages of the list are read is followed
    When the list of servers has two pages, and an entry of the first one drains between them
    Then the front knows that the entry drains within 1 s
