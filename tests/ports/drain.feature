Feature: a daemon drains without cutting callers off

  Scenario Outline: a request that is on its way when the listener closes is answered
    Given a daemon that keeps its listener for 0.5 s while it drains
    When a caller that has sent <sent> sends the rest 0.15 s after the listener has closed
    Then the caller gets a complete response

    Examples:
      | sent                                     |
      | nothing on a new connection              |
      | half a head on a new connection          |
      | half a body on a new connection          |
      | half a head on a connection used before  |

  Scenario: a draining daemon tells callers to connect again
    Given a daemon that keeps its listener for 0.5 s while it drains
    When a question comes on a kept connection while the daemon drains
    Then the response closes the connection

  Scenario Outline: service calls that come late in the grace are answered, however long they take
    Given a daemon that keeps its listener for 0.8 s while it drains
    When calls <kind> of a service that takes 2 s come until the listener closes
    Then each of the calls is answered and ran once

    Examples:
      | kind          |
      | with a key    |
      | without a key |
