Feature: a recorded service call is sent within its time limit or not at all

  Scenario Outline: a host that stalls between recording a call and sending it
    Then the service call whose host stalls for <stall> s after recording it is sent <times> times and gets <code>
    And the service call's resend may <next>

    Examples:
      | stall | times | code           | next    |
      | 0     | 1     | BACKEND_FAILED | not run |
      | 299   | 1     | BACKEND_FAILED | not run |
      | 301   | 0     | NOT_RECORDED   | run     |
      | 90000 | 0     | NOT_RECORDED   | run     |
