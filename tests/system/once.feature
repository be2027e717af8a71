Feature: a call with an idempotency key runs at most once, with separate processes

  Scenario Outline: a fault during the call, then a retry at another daemon
    Given a once-only deployment of 2 daemons and 3 services, as processes
    When the once-only call encounters: <fault>
    Then the once-only call was answered with <first>
    And the once-only retry at another daemon is answered with <retry>
    And the once-only service ran the call <runs> times

    Examples:
      | fault                                                                                     | first                | retry           | runs |
      | nothing                                                                                   | 200                  | 200             | 1    |
      | the daemon is killed while the service runs the call                                      | a closed connection  | STILL_RUNNING   | 1    |
      | the daemon is frozen while the service runs the call                                      | 200                  | STILL_RUNNING   | 1    |
      | the response to the record is lost                                                        | 200                  | 200             | 1    |
      | the record is lost before it takes effect                                                 | 200                  | 200             | 1    |
      | the record takes effect late                                                              | 200                  | 200             | 1    |
      | the platform is down                                                                      | PLATFORM_UNAVAILABLE | 200             | 1    |
      | the platform hangs                                                                        | PLATFORM_UNAVAILABLE | 200             | 1    |
      | the platform goes down while the service runs the call                                    | 200                  | 200             | 1    |
      | the service's response is lost                                                            | BACKEND_FAILED       | OUTCOME_UNKNOWN | 1    |
      | the response to the record is lost and the daemon killed while the service runs the call  | a closed connection  | STILL_RUNNING   | 1    |
      | the platform goes down while the service runs the call and the service's response is lost | BACKEND_FAILED       | OUTCOME_UNKNOWN | 1    |

  Scenario: a call without a key is sent only once
    Given a once-only deployment of 2 daemons and 3 services, as processes
    When the once-only service loses its response to a call without a key
    Then the once-only service ran that call once
