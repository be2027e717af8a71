Feature: the operations page leads from a request's id to its cause

  Scenario Outline: the page's own lines are explained as it says
    When the lines of request <request> on the operations page are explained
    Then the explanation says "<words>"

    Examples:
      | request          | words                                              |
      | 8e79e77b7588e500 | 1222 TABLE_UNCONFIRMED                             |
      | 8e79e77b7588e500 | by table 14, confirmed 2410 ms before              |
      | 8e79e77b7588e500 | [store-lost kind=table                             |
      | 44fb6317f51e25fb | attempt at i-a2c41435c1 ended: crashed             |
      | 44fb6317f51e25fb | ran=maybe                                          |
      | b03b7d4841231f8e | 1402 BACKEND_CLOSED_EARLY                          |
      | b03b7d4841231f8e | its answer had begun and broke off                 |

  Scenario: a failed request's lines name what decided it
    When a single request is lost by its server
    Then its last line has the code, ran, the servers tried and the age of the table

  Scenario: under load the last lines stay and what is left out is counted
    Given a decision log whose reader takes everything
    When 2000 lines of detail and 100 last lines are written at once
    Then all 100 last lines are there and the lines left out are counted

  Scenario: a reader that stops never holds a request up
    Given a decision log whose reader takes nothing
    When 2000 lines of detail and 5000 last lines are written at once
    Then what waits is bounded and the rest is counted

  Scenario: neither keys nor prompts are logged
    When a single request is lost by its server
    Then no line holds the key or the body

  Scenario: counters and histograms are served
    When a single request is lost by its server
    Then the metrics count it by class and code
