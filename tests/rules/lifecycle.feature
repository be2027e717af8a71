Feature: a request's lifecycle, and whether it ran

  Scenario Outline: ran follows the steps
    Given a lifecycle after the steps "<steps>"
    Then the lifecycle's ran is "<ran>"
    And the lifecycle's state is "<state>"

    Examples:
      | steps                                                       | ran   | state     |
      | check                                                       | no    | checked   |
      | check, record, queue, grant                                 | no    | granted   |
      | check, queue, grant, send                                   | maybe | sent      |
      | check, queue, grant, send, not accepted                     | no    | granted   |
      | check, queue, grant, send, answer                           | yes   | streaming |
      | check, queue, grant, send, retry, grant, send, not accepted | maybe | granted   |
      | check, queue, grant, send, answer, retry                    | yes   | queued    |
      | check, queue, grant, send, answer, retry, fail              | yes   | failed    |

  Scenario Outline: invalid steps are refused
    Given a lifecycle after the steps "<steps>"
    Then the lifecycle refuses the step "<step>"

    Examples:
      | steps                                     | step   |
      | check                                     | send   |
      | check, queue                              | send   |
      | check, queue, grant, send                 | refuse |
      | check, queue, grant, send, answer, finish | retry  |
      | check, queue, grant, send, answer, finish | fail   |

  Scenario Outline: a code that claims "not run" is never given to a request that may have run
    Given a lifecycle after the steps "<steps>"
    Then the lifecycle answers "WAIT_EXPIRED" with "<code>"

    Examples:
      | steps                                          | code           |
      | check, queue                                   | WAIT_EXPIRED   |
      | check, queue, grant, send, not accepted, retry | WAIT_EXPIRED   |
      | check, queue, grant, send, retry               | BACKEND_FAILED |
      | check, queue, grant, send, answer, retry       | BACKEND_FAILED |

  Scenario: events of an attempt that is no longer current are ignored
    Given a lifecycle after the steps "check, queue, grant, send, retry, grant, send"
    Then the lifecycle's attempt 1 is not current and attempt 2 is

  Scenario: no order of events gives "no" for a request that was sent to a server
    Then a lifecycle over random steps never claims less than a server saw
    And a lifecycle whose refusals forget earlier attempts is caught by the same check
