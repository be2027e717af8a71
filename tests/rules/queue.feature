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

  Scenario Outline: the queue starts tiers below the floor only on reserved slots
    Given the queue holds "x:silver:a:0, y:iron:a:0"
    Then the queue starts "<order>" with floor <floor>, slack <slack> and reserved "<reserved>"

    Examples:
      | floor | slack | reserved | order |
      | 255   | 9     |          | x y   |
      | 3     | 9     |          | x y   |
      | 2     | 9     |          | x     |
      | 1     | 9     |          |       |
      | 2     | 0.5   |          |       |
      | 3     | 0.5   |          | x     |
      | 1     | 9     | iron=1   | y     |
      | 255   | 9     | iron=1   | y x   |

  Scenario: the queue starts no more of a class out of tier order than it has reserved slots
    Given the queue holds "x:gold:a:0, y:iron:a:0, z:iron:a:0"
    When the queue starts one request with reserved "iron=1"
    Then the queue starts "x z" with floor 255, slack 9 and reserved "iron=1"
    When request "y" of the queue finishes
    Then the queue counts 0 gold and 0 iron requests waiting

  Scenario Outline: the queue sheds the lowest tier first, there the largest backlog
    Given the queue holds "<requests>" with limit 3
    Then the queue has shed "<shed>" with a retry time

    Examples:
      | requests                                            | shed  |
      | x:gold, y:gold, z:gold, w:iron                      | w     |
      | x:iron, y:iron, z:iron, w:gold                      | z     |
      | x:iron:a:0, y:iron:a:1, z:iron:b:2, w:iron:c:3      | y     |
      | x:iron:heavy:0, y:iron:heavy:1, z:iron:a:2, w:gold:a | z    |
      | x:gold, y:gold, z:iron, w:silver, v:gold            | z w   |
      | x:gold:a:0, y:gold:a:1, z:gold:a:2, w:gold:a:3, v:gold:a:4 | w v |

  Scenario: the queue expires requests whose give-up time has passed
    Given the queue holds "x:gold:a:0, y:gold:a:5, z:iron:a:0"
    When request "z" is removed from the queue
    Then the queue expires "x" at 31 seconds
    And the queue expires "y" at 36 seconds

  Scenario: the queue reports its rate of starts
    Then a queue that starts 5 requests a second for 60 s reports 5 a second, and 60 s later 0

  Scenario: the queue applies a new table's tiers to waiting requests
    Given the queue holds "x:gold:a:0, y:iron:a:0"
    When the queue applies a table where iron has tier 1 and gold tier 3
    Then the queue starts "y x"

  Scenario Outline: a burst of one organisation does not delay the others in the queue
    Given a queue with <variant> class queues holds 300 requests of big, then 5 each of a and b
    Then the queue starts all requests of a and b among its first <among>: <verdict>

    Examples:
      | variant       | among | verdict |
      | fair          | 30    | yes     |
      | deadline-only | 30    | no      |

  Scenario: the queue shares by weight between organisations and between classes of a tier
    Given the queue holds 100 requests each of heavy and a in silver and of a in tin
    Then the queue's first 60 starts are of silver 3 times as often as of tin
    And the queue's first 40 starts of silver are of heavy 4 times as often as of a

  Scenario: the queue charges for the tokens actually served
    Given the queue holds 100 requests each of a and b in gold, where a's answers are 3 times as long
    Then the queue gives a and b about as many tokens

  Scenario Outline: the queue never sheds a higher tier while a lower one waits
    Then a queue with <variant> shedding keeps the order of tiers over random loads: <verdict>

    Examples:
      | variant | verdict |
      | tiered  | yes     |
      | newest  | no      |

  Scenario: the queue's counts match its contents over random steps
    Then the queue matches a plain list over random steps
