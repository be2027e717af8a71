Feature: a class queue prefers requests that can still meet their deadline

  Scenario Outline: the earliest deadline that can still be met goes first
    Given a class queue whose requests of one organisation have the deadlines <deadlines>
    Then the class queue at <now> s starts them in the order <order>

    Examples:
      | deadlines | now | order   |
      | 3, 1, 2   | 0   | 1, 2, 3 |
      | 3, 1, 2   | 1.5 | 2, 3, 1 |
      | 3, 1, 2   | 9   | 1, 2, 3 |

  Scenario: without that preference, late requests delay others past their deadlines too
    Given a class queue whose requests of one organisation have the deadlines 3, 1, 2
    Then the class queue without that preference at 1.5 s starts them in the order 1, 2, 3

  Scenario: late requests of one organisation do not hold back another organisation
    Given a class queue whose requests of one organisation have the deadlines 1, 2
    When the class queue gets a request of another organisation with the deadline 5
    Then the class queue at 3 s starts the other organisation's request second at the latest
