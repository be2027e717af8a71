Feature: an answer is evidence only for what its server has shown by it

  Scenario Outline: <answer> proves <proved>
    Then <answer> proves <proved> of a request with two parts

    Examples:
      | answer                             | proved            |
      | 200, signed                        | all               |
      | 204, signed                        | all               |
      | 302, signed                        | the request alone |
      | 400, signed                        | the request alone |
      | 404, signed                        | the request alone |
      | 413, signed                        | the request alone |
      | 404, unsigned                      | nothing           |
      | 404, signed, not run               | nothing           |
      | 408, signed                        | nothing           |
      | 421, signed                        | nothing           |
      | 429, signed                        | nothing           |
      | 500, signed                        | nothing           |
      | 502, signed                        | nothing           |
      | 503, signed                        | nothing           |
      | 503, unsigned, not run             | nothing           |
      | 504, signed                        | nothing           |
      | events for over a second           | all               |
      | an answer that breaks off          | nothing           |
      | an answer of another request       | nothing           |

  Scenario: each kind of answer has a row that tells why
    Then each kind of answer has a proof with a reason
