Feature: estimates of answer length and wait

  Scenario Outline: the length estimate adapts to class and organisation
    Given the estimate has seen 200 answers of 100 tokens by big and <count> of 1000 by a
    Then the median estimate of a's answers is <least> to <most> tokens

    Examples:
      | count | least | most |
      | 0     | 80    | 130  |
      | 5     | 80    | 130  |
      | 100   | 800   | 1300 |

  Scenario: the length estimate grows with the length that a running answer has reached
    Given the estimate has seen 200 answers of 100 tokens by big and 100 of 1000 by a
    Then the median estimate of big's answers that reached 400 tokens is over 400 tokens

  Scenario: the length estimate's memory is bounded at any number of organisations
    Given the estimate has seen an answer of each of 10000 organisations
    Then the estimate keeps 8192 of them

  Scenario Outline: the wait estimate refuses only requests that would almost surely give up
    Given the estimate has scored 200 waits that were <factor> times as long as estimated
    Then the estimate of <ahead> ahead at 10 a second and 20 s to give up refuses: <verdict>

    Examples:
      | factor | ahead | verdict |
      | 1      | 100   | no      |
      | 1      | 190   | no      |
      | 1      | 300   | yes     |
      | 0.5    | 300   | no      |
      | 0.5    | 600   | yes     |
      | 2      | 150   | yes     |

  Scenario: the wait estimate learns each class separately
    Given the estimate has scored 200 waits that were 20 times as long as estimated
    Then the estimate of 100 ahead at 10 a second and 20 s to give up refuses: yes
    And the estimate of 100 ahead of another class refuses nothing

  Scenario: the wait estimate refuses nothing before it has scored enough waits
    Given the estimate has scored 0 waits that were 1 times as long as estimated
    Then the estimate of 10000 ahead at 10 a second and 20 s to give up refuses: no

  Scenario Outline: the wait estimate counts its wrong refusals
    Given the estimate has scored 200 waits that were 1 times as long as estimated
    When the estimate refuses a request at 1000 s that gives up at 1020 s
    And a request that arrived at <arrived_s> s starts at <start_s> s according to the estimate
    Then the estimate counts <wrong> wrong of 1 refused

    Examples:
      | arrived_s | start_s | wrong |
      | 1001      | 1010    | 1     |
      | 1001      | 1021    | 0     |
      | 999       | 1010    | 0     |

  Scenario Outline: the wait estimate refuses few requests wrongly although waits vary
    Given the estimate <variant> has scored 400 waits that vary about what was estimated
    When the estimate decides on 200 requests whose expected wait is close to their give-up time
    Then the estimate has refused under 5 in 100 of those that would have been served: <verdict>

    Examples:
      | variant         | verdict |
      | as built        | yes     |
      | without caution | no      |
