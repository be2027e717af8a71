Feature: the task that allocates for other hosts

  Scenario: an allocating task answers each host that asks, at its address
    Given an allocating task for engines "e1=4 e2=2" and hosts "a b"
    When the allocating task hears of demand "a=9 b=1"
    Then the allocating task sends "a=5 b=1"

  Scenario Outline: an allocating task follows changes
    Given an allocating task for engines "e1=4 e2=2" and hosts "a b"
    When the allocating task hears of demand "a=9 b=1"
    And the allocating task is told <change>
    Then the allocating task sends "<slots>"

    Examples:
      | change                | slots   |
      | that b died           | a=6     |
      | that e1 drains        | a=1 b=1 |

  Scenario: an allocating task divides organisations' limits
    Given an allocating task for engines "e1=4" and hosts "a b"
    When the allocating task hears of use "a=1 b=1" of a limit of 10
    Then the allocating task sends shares "a=5 b=5"

  Scenario: an allocating task numbers on after it has let a pool go
    Given an allocating task for engines "e1=4" and hosts "a"
    When the allocating task hears of demand "a=9"
    Then the allocating task sends "a=4"
    When the allocating task hears nothing for 5 s and then of demand "a=9"
    Then the allocating task's numbers have only risen

  Scenario: an allocating task serves by streams until its inbox closes
    Given an allocating task for engines "e1=4" and hosts "a"
    Then the allocating task run on streams answers a demand of "a" with 4 slots
