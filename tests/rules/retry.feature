Feature: only what did not run or may be repeated is tried again, and never in a storm

  Scenario Outline: a failed attempt is judged by what ran
    Given the retry of a <kind> request tried at "<tried>"
    When the retry is judged after "<outcome>" with <ran> at <at> s
    Then the retry's verdict is "<verdict>"

    Examples: nothing sent, something sent, answer begun
      | kind       | tried | outcome   | ran          | at | verdict                 |
      | repeatable | a     | refused   | nothing sent | 1  | again                   |
      | repeatable | a     | refused   | bytes sent   | 1  | again                   |
      | repeatable | a     | crashed   | bytes sent   | 1  | again                   |
      | repeatable | a     | crashed   | answer begun | 1  | resume                  |
      | repeatable | a     | garbage   | answer begun | 1  | resume                  |
      | repeatable | a     | timed out | bytes sent   | 1  | again                   |
      | repeatable | a     | timed out | answer begun | 1  | resume                  |
      | repeatable | a     | cancelled | bytes sent   | 1  | CALLER_GONE             |
      | repeatable | a     | done      | answer begun | 1  | OK                      |
      | repeatable | a     | crashed   | bytes sent   | 99 | BACKEND_FAILED          |
      | repeatable | a     | refused   | nothing sent | 99 | BACKEND_REFUSED         |
      | repeatable | a     | crashed   | answer begun | 99 | resume                  |
      | repeatable | a b   | crashed   | bytes sent   | 1  | again                   |
      | repeatable | a b c | crashed   | nothing sent | 1  | NO_BACKEND_SERVER       |
      | repeatable | a b c | crashed   | bytes sent   | 1  | BACKEND_FAILED          |
      | repeatable | a b c | crashed   | answer begun | 1  | BACKEND_CLOSED_EARLY    |
      | repeatable | a b c | garbage   | answer begun | 1  | BACKEND_GARBAGE         |
      | repeatable | a b c | timed out | bytes sent   | 1  | BACKEND_TIMEOUT         |
      | service    | a     | crashed   | bytes sent   | 1  | again                   |
      | service    | a     | crashed   | answer begun | 1  | BACKEND_CLOSED_EARLY    |
      | single     | a     | refused   | nothing sent | 1  | again                   |
      | single     | a     | crashed   | nothing sent | 1  | again                   |
      | single     | a     | refused   | bytes sent   | 1  | BACKEND_FAILED          |
      | single     | a     | crashed   | bytes sent   | 1  | BACKEND_FAILED          |
      | single     | a     | timed out | bytes sent   | 1  | BACKEND_TIMEOUT         |
      | single     | a     | crashed   | answer begun | 1  | BACKEND_CLOSED_EARLY    |

  Scenario: no answer claims more than is true, and a single call is sent once
    Then the retry's codes are true and a single call is sent once over all outcomes

  Scenario Outline: when every attempt fails the budget bounds the sends
    When the retry of 1000 requests that all fail goes on <budget>
    Then the retry's sends are <bound>

    Examples: 1000 first sends, a tenth more, and the floor of 10
      | budget           | bound         |
      | with a budget    | at most 1110  |
      | without a budget | at least 3000 |

  Scenario: the budget is each pool's own and comes back with time
    Given a retry budget of 0.1 with a floor of 1
    When the retry budget lives through "0 take p yes; 0 take p no; 0 take q yes; 0 sends p 30; 1 take p yes; 1 take p yes; 1 take p no; 600 take p yes"
