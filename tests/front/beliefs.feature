Feature: a host acts on what it can still believe

  Scenario: an older table is never taken
    Given the table belief with revision 5 confirmed at 10 s
    When the table belief gets revision 4 confirmed at 11 s
    Then the table belief holds revision 5

  Scenario Outline: keys and denials need a table confirmed lately
    Given the table belief with revision 5 confirmed at 10 s
    Then at <at> s keys <keys> and denials <denials>

    Examples:
      | at   | keys         | denials      |
      | 11.9 | hold         | hold         |
      | 12.1 | hold         | do not hold  |
      | 13.9 | hold         | do not hold  |
      | 14.1 | do not hold  | do not hold  |

  Scenario: an entry removed while the store answers is gone at once
    Given the server belief of "a b"
    When the server belief sees "a" removed at 10 s
    Then the server belief holds "b"

  Scenario: an entry that lapsed in an outage is used until it could have been restored
    Given the server belief of "a b"
    When the store is lost and back at 10 s without "a"
    Then the server belief holds "a b" at 11.9 s
    And the server belief holds "b" at 12.1 s

  Scenario: an entry that is restored stays
    Given the server belief of "a b"
    When the store is lost and back at 10 s without "a"
    And the server belief sees "a" written
    Then the server belief holds "a b" at 12.1 s

  Scenario: a draining server that goes missing does not return
    Given the server belief of "a b"
    When the server belief sees "a" draining
    And the store is lost and back at 10 s without "a"
    Then the server belief holds "b" at 10 s

  Scenario: an address taken over drops its former server
    Given the server belief of "a b"
    When the store is lost and back at 10 s without "a"
    And the server belief sees "c" written at the address of "a"
    Then the server belief holds "b c" at 10 s

  Scenario: a host cut off from the store refuses keys in time and serves again
    When the store goes silent and 4 s pass
    Then the front refuses a keyed request and is not ready
    And it serves again within 2 s of the store's return

  Scenario: a withdrawn key is refused as soon as its table is written
    When a table without the key is written
    Then the front answers 401 within 0.5 s

  Scenario: the watch goes on after its history is gone
    When the store forgets its history and a table with a new route is written
    Then the front serves the new route within 2 s

  Scenario: a server that drains gets nothing more
    When the only server's entry turns to draining
    Then the front answers 503 within 0.5 s

  Scenario: an entry that can't be read leaves the others in place
    When an entry of another writer is put beside the server's
    Then the front answers 200 and the request ran 1 times
