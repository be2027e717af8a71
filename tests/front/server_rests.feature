Feature: a server that turns a request away and says when to come back is left alone until then

  Scenario Outline: a server that turns requests away for <rest> s gets no others meanwhile
    Given a server in mode shed that says "<rest>", and <others> other
    When callers send requests for <sent> s
    Then the first server got 1 request, and the callers <result>

    Examples:
      | rest | others | sent | result                                      |
      | 2    | 1      | 1.5  | were all answered                           |
      | 0.8  | 1      | 0.7  | were all answered                           |
      | 2    | 0      | 1.5  | were told at once to return after these 2 s |

  Scenario Outline: a server that is well gets requests again <when>
    Given a server in mode shed that says "<rest>", and 1 other
    When callers send requests for 0.3 s, and again <when>
    Then the first server got 1 request before that, and several after it

    Examples:
      | rest | when                              |
      | 0.4  | after its rest                    |
      | 60   | as soon as it has started anew    |

  Scenario: a request that is connecting as the server turns another away is not sent there
    Given a server in mode shed that says "2", and 1 other
    When two callers' requests connect to it at the same time
    Then the first server got 1 request, and the callers were all answered

  Scenario Outline: "<value>" in an answer in mode <mode> changes nothing
    Given a server in mode <mode> that says "<value>", and 1 other
    When callers send requests for 0.5 s
    Then the first server got several requests

    Examples:
      | value                         | mode  |
      | 2                             | ok    |
      | 2                             | error |
      | 2                             | limited |
      | -1                            | shed  |
      | nan                           | shed  |
      | 1e3                           | shed  |
      | 86401                         | shed  |
      | Wed, 21 Oct 2026 07:28:00 GMT | shed  |
