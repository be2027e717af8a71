Feature: a request's life, and what may be said of whether it ran

  Scenario Outline: ran follows the steps taken
    Given a life that took the steps "<steps>"
    Then the life's ran is "<ran>"
    And the life's state is "<state>"

    Examples:
      | steps                                                      | ran   | state     |
      | check                                                      | no    | checked   |
      | check, record, queue, grant                                | no    | granted   |
      | check, queue, grant, send                                  | maybe | sent      |
      | check, queue, grant, send, not taken                       | no    | granted   |
      | check, queue, grant, send, answer                          | yes   | streaming |
      | check, queue, grant, send, retry, grant, send, not taken   | maybe | granted   |
      | check, queue, grant, send, answer, retry                   | yes   | queued    |
      | check, queue, grant, send, answer, retry, fail             | yes   | failed    |

  Scenario Outline: steps that may not follow are refused
    Given a life that took the steps "<steps>"
    Then the life refuses the step "<step>"

    Examples:
      | steps                                     | step   |
      | check                                     | send   |
      | check, queue                              | send   |
      | check, queue, grant, send                 | refuse |
      | check, queue, grant, send, answer, finish | retry  |
      | check, queue, grant, send, answer, finish | fail   |

  Scenario Outline: a code that promises "not run" is never given to a request that may have run
    Given a life that took the steps "<steps>"
    Then the life answers "WAIT_EXPIRED" with "<code>"

    Examples:
      | steps                                             | code           |
      | check, queue                                      | WAIT_EXPIRED   |
      | check, queue, grant, send, not taken, retry       | WAIT_EXPIRED   |
      | check, queue, grant, send, retry                  | BACKEND_FAILED |
      | check, queue, grant, send, answer, retry          | BACKEND_FAILED |

  Scenario: what arrives for an attempt that is no longer current is dropped
    Given a life that took the steps "check, queue, grant, send, retry, grant, send"
    Then the life's attempt 1 is not current and attempt 2 is

  Scenario: interleaved events never make "no" of a request that a server was sent
    Then a life checked over random steps never claims less than a server saw
    And a life whose refusals forget earlier attempts is caught by the same check
