Feature: callers that hold memory without using it give it back first

  Scenario Outline: <who> gives back for a large request
    Given callers whose process may hold 10000 kB
    And a caller <first> that holds <held> kB and moved <ago> s ago
    And a caller with a key, being read, that holds 4000 kB and moved 0 s ago
    Then <who> gives back for a large request of 3500 kB

    Examples:
      | first                      | held | ago | who       |
      | without a key, being read  | 3000 | 0   | the first |
      | without a key, being read  | 50   | 0   | nobody    |
      | with a key, being read     | 3000 | 2   | the first |
      | with a key, being read     | 3000 | 0   | nobody    |
      | with a key, being served   | 3000 | 9   | nobody    |
      | with a key, not reading    | 3000 | 2   | nobody    |
      | with a key, not reading    | 3000 | 9   | the first |

  Scenario Outline: when more is held than may be, <who> gives back before a small request
    Given callers whose process may hold 1000 kB
    And a caller <first> that holds 1200 kB and moved <ago> s ago
    And a caller without a key, being read, that holds 10 kB and moved 0 s ago
    Then <who> gives back

    Examples:
      | first                     | ago | who       |
      | without a key, being read | 0   | the first |
      | with a key, being read    | 2   | the first |
      | with a key, being read    | 0   | the first |
      | with a key, not reading   | 0   | the first  |
      | with a key, being served  | 9   | the second |

  Scenario: small requests are admitted when large ones are refused, and no memory is lost
    Given callers whose process may hold 1000 kB
    When many callers come, upload, are refused, stall and leave in a drawn order, seed 7
    Then at no time is a small request refused for a large one
    And nothing is held or promised when all have left

  Scenario Outline: where all connections are in use, <who> goes for a new one
    Given callers whose process may hold 10000 kB
    And a caller <first> that holds 9 kB and moved <ago> s ago
    And a caller without a key, being read, that holds 9 kB and moved 0 s ago
    Then <who> goes for a new connection

    Examples:
      | first                     | ago | who        |
      | without a key, idle,      | 3   | the first  |
      | with a key, idle,         | 3   | the first  |
      | with a key, being read    | 0   | the second |
      | with a key, being served  | 9   | the second |
