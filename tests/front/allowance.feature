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

  # Guards against BUDGET of incident 3: parts of the budget that add up to more than the whole
  Scenario Outline: <hosts> hosts stay within the budget in every window while <change>
    Given a fleet of <hosts> hosts with <rate> requests a second and an extra of <extra> retries
    When every request fails from 12 s on, and <change>
    Then in no window there are more retries than the budget allows, and in some there are <least>

    Examples:
      | hosts | rate | extra | least | change                                                  |
      | 76    | 250  | 192   | 500   | nothing changes                                         |
      | 76    | 250  | 192   | 400   | the callers move to the other half of the hosts at 15 s |
      | 76    | 250  | 192   | 500   | traffic grows to 2.5 times from 10 s on                 |
      | 76    | 250  | 192   | 500   | all hosts start again at 14 s                           |
      | 76    | 250  | 192   | 500   | the hosts start again one after another from 14 to 22 s |
      | 76    | 250  | 192   | 500   | all hosts start again at 14 s and know of no other      |
      | 7     | 60   | 54    | 100   | the callers move to the other half of the hosts at 15 s |
      | 7     | 60   | 54    | 100   | all hosts start again at 14 s                           |
      | 7     | 60   | 54    | 100   | the hosts start again one after another from 14 to 22 s |
      | 195   | 40   | 430   | 200   | all hosts start again at 14 s                           |

  Scenario: hosts that start again, lose callers and fail at random moments stay within the budget
    Then on 20 random days of 30 hosts no window has more retries than the budget allows
