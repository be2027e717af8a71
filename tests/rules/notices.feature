Feature: notices are kept once, while they are in force

  Scenario Outline: which notices are news
    Given the notices hold number 5 of a kind, subject and origin for 10 s
    When the notices get number <number> of the <same> with <ttl_s> s to live after <passed_s> s
    Then the notices take it as <verdict>

    Examples:
      | number | same           | ttl_s | passed_s | verdict |
      | 6      | same           | 10    | 1        | news    |
      | 5      | same           | 10    | 1        | known   |
      | 4      | same           | 10    | 1        | known   |
      | 4      | other subject  | 10    | 1        | news    |
      | 4      | other origin   | 10    | 1        | news    |
      | 6      | same           | 0     | 1        | known   |
      | 5      | same           | 10    | 11       | news    |

  Scenario: a notice is passed on so many times and no more
    Given the notices hold number 5 of a kind, subject and origin for 10 s
    Then the notices pass it on 16 times among 7 hosts
    And the notices pass it on as often where others have it already

  Scenario Outline: a notice misses no host
    Given the notices hold number 5 of a kind, subject and origin for 10 s
    Then the notices reach all of <hosts> hosts in each of <tries> tries

    Examples:
      | hosts | tries |
      | 5     | 500   |
      | 60    | 20    |

  Scenario: notices do not grow without bound
    Given the notices hold number 5 of a kind, subject and origin for 10 s
    When the notices get 5000 more that live longer
    Then the notices keep the ones that live longest, 4096 at the most

  Scenario: the time to live shrinks as a notice is passed on
    Given the notices hold number 5 of a kind, subject and origin for 10 s
    Then the notices give it 6 s to live after 4 s
