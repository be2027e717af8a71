Feature: all hosts together send no more repeats than the fleet may

  Scenario Outline: hosts that each spend all they may stay within the bound
    Given <hosts> hosts with a fleet's extra of <extra> repeats and a ratio of 0.2
    When each host has <requests> requests and repeats as often as it may
    Then all hosts together made no more than the fleet's bound

    Examples:
      | hosts | extra | requests |
      | 7     | 54    | 0        |
      | 7     | 54    | 40       |
      | 83    | 206   | 0        |
      | 83    | 206   | 30       |
      | 390   | 820   | 100      |

  Scenario: what was spent is earned again as the window slides
    Given 1 hosts with a fleet's extra of 27 repeats and a ratio of 0.2
    When each host has 0 requests and repeats as often as it may
    Then a host may repeat again after the window
