Feature: the allocate task serves the demands of other hosts

  Scenario: an allocate task answers each host that sends a demand, at its address
    Given an allocate task for engines "e1=4 e2=2" and hosts "a b"
    When the allocate task receives demand "a=9 b=1"
    Then the allocate task sends "a=5 b=1"

  Scenario Outline: an allocate task follows changes
    Given an allocate task for engines "e1=4 e2=2" and hosts "a b"
    When the allocate task receives demand "a=9 b=1"
    And the allocate task learns <change>
    Then the allocate task sends "<slots>"

    Examples:
      | change                | slots   |
      | that b died           | a=6     |
      | that e1 drains        | a=1 b=1 |

  Scenario: an allocate task divides organisations' limits
    Given an allocate task for engines "e1=4" and hosts "a b"
    When the allocate task receives use "a=1 b=1" of a limit of 10
    Then the allocate task sends shares "a=5 b=5"

  Scenario: an allocate task continues its numbering after it dropped a pool's allocator
    Given an allocate task for engines "e1=4" and hosts "a"
    When the allocate task receives demand "a=9"
    Then the allocate task sends "a=4"
    When the allocate task receives nothing for 5 s and then demand "a=9"
    Then the allocate task's numbers have only increased

  Scenario: an allocate task runs on streams until its inbox closes
    Given an allocate task for engines "e1=4" and hosts "a"
    Then the allocate task run on streams answers a demand of "a" with 4 slots
