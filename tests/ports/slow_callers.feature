Feature: callers that stall are refused, slow ones are served

  Scenario Outline: how a daemon's listener treats a caller
    Given a listener with a head timeout of 1 s and an idle timeout of 2 s
    When its caller sends <parts> parts of <what>, one each <pause> s
    Then its caller gets <answer> within 6 s

    Examples:
      | what                   | parts | pause | answer |
      | nothing                | 1     | 0.1   | 0      |
      | a head                 | 10    | 0.3   | 408    |
      | a body of 10 bytes     | 10    | 0.4   | 408    |
      | a body of 200000 bytes | 10    | 3.0   | 408    |
      | a body of 200000 bytes | 10    | 0.3   | 200    |
      | a pipelined head behind a request that takes 2 s | 10 | 0.3 | 200 |

  Scenario: the rest of a body that was answered before its end is not answered again
    Given a listener with a head timeout of 1 s and an idle timeout of 2 s
    When its caller sends 3 parts of an unread body, one each 0.1 s
    Then its caller gets 200 within 6 s
    And nothing more before the connection closes
