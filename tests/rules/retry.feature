Feature: only requests that did not run or may be repeated are retried, within a budget

  Scenario Outline: a failed attempt is retried depending on what ran
    Given the retry of a <kind> request tried at "<tried>"
    When the retry is decided after "<outcome>" with <ran> at <at> s
    Then the retry's decision is "<decision>"

    Examples: by kind of request, servers tried, outcome and what ran
      | kind       | tried | outcome   | ran          | at | decision             |
      | repeatable | a     | refused   | nothing sent | 1  | retry                |
      | repeatable | a     | refused   | bytes sent   | 1  | retry                |
      | repeatable | a     | crashed   | bytes sent   | 1  | retry                |
      | repeatable | a     | crashed   | answer begun | 1  | resume               |
      | repeatable | a     | garbage   | answer begun | 1  | resume               |
      | repeatable | a     | timed out | bytes sent   | 1  | retry                |
      | repeatable | a     | timed out | answer begun | 1  | resume               |
      | repeatable | a     | cancelled | bytes sent   | 1  | CALLER_GONE          |
      | repeatable | a     | done      | answer begun | 1  | OK                   |
      | repeatable | a     | crashed   | bytes sent   | 99 | BACKEND_FAILED       |
      | repeatable | a     | refused   | nothing sent | 99 | BACKEND_REFUSED      |
      | repeatable | a     | crashed   | answer begun | 99 | resume               |
      | repeatable | a b   | crashed   | bytes sent   | 1  | retry                |
      | repeatable | a b c | crashed   | nothing sent | 1  | NO_BACKEND_SERVER    |
      | repeatable | a b c | crashed   | bytes sent   | 1  | BACKEND_FAILED       |
      | repeatable | a b c | crashed   | answer begun | 1  | BACKEND_CLOSED_EARLY |
      | repeatable | a b c | garbage   | answer begun | 1  | BACKEND_GARBAGE      |
      | repeatable | a b c | timed out | bytes sent   | 1  | BACKEND_TIMEOUT      |
      | service    | a     | crashed   | bytes sent   | 1  | retry                |
      | service    | a     | crashed   | answer begun | 1  | BACKEND_CLOSED_EARLY |
      | single     | a     | refused   | nothing sent | 1  | retry                |
      | single     | a     | crashed   | nothing sent | 1  | retry                |
      | single     | a     | refused   | bytes sent   | 1  | BACKEND_FAILED       |
      | single     | a     | crashed   | bytes sent   | 1  | BACKEND_FAILED       |
      | single     | a     | timed out | bytes sent   | 1  | BACKEND_TIMEOUT      |
      | single     | a     | crashed   | answer begun | 1  | BACKEND_CLOSED_EARLY |

  Scenario: no answer claims more than is known, and a single call is sent once
    Then the retry's codes are truthful and a single call is sent once over all outcomes

  Scenario Outline: the budget bounds the sends when every attempt fails
    When the retry of 1000 requests that all fail runs <budget>
    Then the retry's sends are <bound>

    Examples: 1000 first sends, a tenth of them as retries, and a floor of 10
      | budget           | bound         |
      | with a budget    | at most 1110  |
      | without a budget | at least 3000 |

  Scenario: each pool has a budget of its own, which recovers with time
    Given a retry budget of 0.1 with a floor of 1
    When the retry budget sees the events "0 spend p yes; 0 spend p no; 0 spend q yes; 0 sends p 30; 1 spend p yes; 1 spend p yes; 1 spend p no; 600 spend p yes"
