Feature: a call with an idempotency key runs once at most, as separate processes

  Scenario Outline: a fault while the call is on its way, then a resend to another daemon
    Given a once-only deployment of 2 daemons and 3 services, as processes
    When the once-only call meets: <fault>
    Then the once-only call was told <first>
    And the once-only resend to another daemon is told <resend>
    And the once-only service ran the call <runs> times

    Examples:
      | fault                                            | first                | resend          | runs |
      | nothing                                          | 200                  | 200             | 1    |
      | the daemon is killed while the service works     | a cut                | STILL_RUNNING   | 1    |
      | the daemon is frozen while the service works     | 200                  | STILL_RUNNING   | 1    |
      | the record's answer is lost                      | 200                  | 200             | 1    |
      | the record is lost before it takes effect        | 200                  | 200             | 1    |
      | the record takes effect late                     | 200                  | 200             | 1    |
      | the platform is down                             | PLATFORM_UNAVAILABLE | 200             | 1    |
      | the platform hangs                               | PLATFORM_UNAVAILABLE | 200             | 1    |
      | the platform goes down while the service works   | 200                  | 200             | 1    |
      | the service's answer is lost                     | BACKEND_FAILED       | OUTCOME_UNKNOWN | 1    |
      | the record's answer is lost and the daemon killed while the service works | a cut | STILL_RUNNING | 1 |
      | the platform goes down while the service works and its answer is lost | BACKEND_FAILED | OUTCOME_UNKNOWN | 1 |

  Scenario: without a key there is one send, ever
    Given a once-only deployment of 2 daemons and 3 services, as processes
    When the once-only service loses its answer to a call without a key
    Then the once-only service ran that call once
