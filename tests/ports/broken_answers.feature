Feature: an answer of a backend server that breaks off, or that an error follows, never looks whole

  Scenario Outline: an error in place of a stream's rest is not passed on, and the stream goes on
    Given engines whose answers are, in turn: a broken stream, <error>, a whole answer
    When a caller asks them, <form>
    Then the caller gets the whole answer once

    Examples:
      | form     | error                   |
      | streamed | 400                     |
      | whole    | 400                     |
      | streamed | 404 of HTML             |
      | whole    | 422 in chunks           |
      | streamed | 401 without a length    |
      | streamed | 204                     |
      | whole    | 302                     |
      | streamed | 500                     |
      | streamed | 503                     |
      | streamed | 200 of HTML             |
      | streamed | 200 of JSON             |
      | streamed | 200 of nothing          |
      | streamed | a stream of nothing     |
      | streamed | a stream of an error    |
      | streamed | a stream of text        |
      | streamed | a stream of an end mark |
      | whole    | a stream of an end mark |
      | streamed | half a head             |

  Scenario Outline: a stream that only errors follow ends with an error of the router
    Given engines whose answers are, in turn: a broken stream, <errors>
    When a caller asks them, <form>
    Then the caller gets code <code> as an error of the answer that had begun

    Examples:
      | form     | errors                                        | code |
      | streamed | 400, 404 of HTML                              | 1401 |
      | whole    | 400, 404 of HTML                              | 1401 |
      | streamed | 503, 200 of nothing                           | 1402 |

  Scenario: an engine's error about a request without any answer yet is passed on
    Given engines whose answers are, in turn: 200 of nothing, 404 of HTML
    When a caller asks them, streamed
    Then the caller gets the engine's error with status 404

  Scenario: a status that is neither a success nor an error is not passed on
    Given engines whose answers are, in turn: 204, 302, a whole answer
    When a caller asks them, streamed
    Then the caller gets the whole answer once

  Scenario Outline: what follows the end mark of a stream is not part of the answer
    Given engines whose answers are, in turn: <answer>, a whole answer, a whole answer
    When a caller asks them, <form>
    Then the caller gets the whole answer once

    Examples:
      | form     | answer                                |
      | streamed | a whole answer                        |
      | streamed | a whole answer without its last chunk |
      | whole    | a whole answer without its last chunk |
      | streamed | a whole answer left open              |
      | streamed | a whole answer and a part of the next |
      | streamed | a whole answer and an error           |

  Scenario: frames without end, to a caller that gets one body, end with an error
    Given engines whose answers are, in turn: frames without end, frames without end, frames without end
    When a caller asks them, whole
    Then the caller gets code 1401 as an error of the answer that had begun
    And the engines have sent at most 64 MB
