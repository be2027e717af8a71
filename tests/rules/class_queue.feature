Feature: a line puts those that can be served in time first

  Scenario Outline: the earliest deadline that can still be met goes first
    Given a line whose requests of one organisation have the deadlines <deadlines>
    Then the line at <now> s starts them in the order <order>

    Examples:
      | deadlines | now | order   |
      | 3, 1, 2   | 0   | 1, 2, 3 |
      | 3, 1, 2   | 1.5 | 2, 3, 1 |
      | 3, 1, 2   | 9   | 1, 2, 3 |

  Scenario: without that, late ones go first and make the others late too
    Given a line whose requests of one organisation have the deadlines 3, 1, 2
    Then the line without that at 1.5 s starts them in the order 1, 2, 3

  Scenario: another organisation's late request does not push a fresh organisation back
    Given a line whose requests of one organisation have the deadlines 1, 2
    When the line gets a request of another organisation with the deadline 5
    Then the line at 3 s starts the other organisation's request second at the latest
