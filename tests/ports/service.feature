Feature: a recorded call of a service is sent in its time or not at all

  Scenario Outline: a host that froze between record and send
    Then the service call whose host froze <freeze> s after its record was sent <times> times and is told <code>
    And the service call's resend may <next>

    Examples:
      | freeze | times | code           | next         |
      | 0      | 1     | BACKEND_FAILED | not run      |
      | 299    | 1     | BACKEND_FAILED | not run      |
      | 301    | 0     | NOT_RECORDED   | run         |
      | 90000  | 0     | NOT_RECORDED   | run         |
