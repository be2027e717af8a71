Feature: the queue of a host

  Scenario Outline: the queue starts by tier, then by deadline
    Given the queue holds "<requests>"
    Then the queue starts "<order>"

    Examples:
      | requests                            | order   |
      | x:iron:a:0, y:silver:a:1, z:gold:a:2 | z y x   |
      | x:gold:a:2, y:gold:b:1, z:gold:c:0  | z y x   |
      | x:iron:a:0                          | x       |
      | x:gold:a:0, x:gold:a:0              | x       |

  Scenario Outline: the queue keeps tiers below the floor for later
    Given the queue holds "x:silver:a:0, y:iron:a:0"
    Then the queue starts "<order>" with floor <floor>, slack <slack> and turns "<turns>"

    Examples:
      | floor | slack | turns  | order |
      | 255   | 9     |        | x y   |
      | 3     | 9     |        | x y   |
      | 2     | 9     |        | x     |
      | 1     | 9     |        |       |
      | 2     | 0.5   |        |       |
      | 3     | 0.5   |        | x     |
      | 1     | 9     | iron=1 | y     |
      | 255   | 9     | iron=1 | y x   |

  Scenario: the queue gives a class no more turns than it is owed while its requests run
    Given the queue holds "x:gold:a:0, y:iron:a:0, z:iron:a:0"
    When the queue starts one with turns "iron=1"
    Then the queue starts "x z" with floor 255, slack 9 and turns "iron=1"
    When the queue is told that "y" finished
    Then the queue counts 0 gold and 0 iron waiting

  Scenario Outline: the queue sheds the lowest tier and its own excess first
    Given the queue holds "<requests>" with limit 3
    Then the queue has shed "<shed>" with a time to return

    Examples:
      | requests                                            | shed  |
      | x:gold, y:gold, z:gold, w:iron                      | w     |
      | x:iron, y:iron, z:iron, w:gold                      | z     |
      | x:iron:a:0, y:iron:a:1, z:iron:b:2, w:iron:c:3      | y     |
      | x:iron:heavy:0, y:iron:heavy:1, z:iron:a:2, w:gold:a | z    |
      | x:gold, y:gold, z:iron, w:silver, v:gold            | z w   |
      | x:gold:a:0, y:gold:a:1, z:gold:a:2, w:gold:a:3, v:gold:a:4 | w v |

  Scenario: the queue answers what its give-up time has passed
    Given the queue holds "x:gold:a:0, y:gold:a:5, z:iron:a:0"
    When the queue is told that "z" was removed
    Then the queue expires "x" at 31 seconds
    And the queue expires "y" at 36 seconds

  Scenario: the queue tells how often it starts requests
    Then the queue that starts 5 a second for 60 s tells of 5 a second, and 60 s later of 0

  Scenario: the queue takes a new table's tiers into force for what waits
    Given the queue holds "x:gold:a:0, y:iron:a:0"
    When the queue gets a table where iron has tier 1 and gold tier 3
    Then the queue starts "y x"

  Scenario Outline: the queue does not let a burst of one organisation swamp its class
    Given the queue with <variant> line holds 300 requests of big, then 5 each of a and b
    Then the queue starts those of a and b among its first <among>: <verdict>

    Examples:
      | variant       | among | verdict |
      | the           | 30    | yes     |
      | deadline-only | 30    | no      |

  Scenario: the queue shares by weight between organisations and between classes of a tier
    Given the queue holds 100 requests each of heavy and a in silver and of a in tin
    Then the queue's first 60 starts are of silver 3 times as often as of tin
    And the queue's first 40 starts of silver are of heavy 4 times as often as of a

  Scenario: the queue charges for tokens that were really served
    Given the queue holds 100 requests each of a and b in gold, where a's answers are 3 times as long
    Then the queue gives a and b about as many tokens

  Scenario Outline: the queue never sheds a higher tier while a lower one waits
    Then the queue with <variant> shedding keeps the order of tiers over random loads: <verdict>

    Examples:
      | variant | verdict |
      | the     | yes     |
      | newest  | no      |

  Scenario: the queue's sums agree with what it holds over random loads
    Then the queue agrees with a plain list over random steps
