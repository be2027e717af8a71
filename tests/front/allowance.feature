Feature: all hosts together stay within the fleet's retry budget

  Scenario Outline: hosts that use up their allowances stay within the fleet's limit
    Given <hosts> hosts with a fleet-wide extra of <extra> retries and a ratio of 0.2
    When each host gets <requests> requests and retries as often as allowed
    Then the retries of all hosts together are within the fleet's limit

    Examples:
      | hosts | extra | requests |
      | 7     | 54    | 0        |
      | 7     | 54    | 40       |
      | 83    | 206   | 0        |
      | 83    | 206   | 30       |
      | 390   | 820   | 100      |

  Scenario: used retries become available again after the window
    Given 1 hosts with a fleet-wide extra of 27 retries and a ratio of 0.2
    When each host gets 0 requests and retries as often as allowed
    Then a host may retry again after the window
