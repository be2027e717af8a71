Feature: a late copy of an earlier refusal is not taken for the answer to the next request

  Scenario Outline: <part> of a refusal comes with an answer, and the rest does not
    Given a server that writes <part> of a refusal <when> the answer
    When booking r-1 reaches it on the connection that is left
    Then it ran once, and its caller gets status <status>

    Examples:
      | part            | when   | status |
      | the head        | after  | 200    |
      | the head        | before | 502    |
      | the status line | before | 502    |
