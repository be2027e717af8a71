Feature: the engine client reuses connections and moves KV cache blocks

  Scenario: consecutive requests use one connection
    Given an engine client of a small deployment
    When the engine client makes 20 consecutive calls
    Then the engine client opened 1 connection
    And the engine client's transport can detect the async library with sniffio

  Scenario: an error answer is no report of the load
    Given an engine client of a small deployment
    When the engine client reads the load from an answer with status 500
    Then the engine client has no report

  Scenario Outline: a prefix block's KV cache is copied from one engine to another
    Given an engine client of a small deployment
    When the engine client copies <what> to another engine
    Then the engine client gets <result>, and the other engine holds the block: <held>

    Examples:
      | what                     | result   | held |
      | a block the engine holds | accepted | yes  |
      | a block it does not hold | nothing  | no   |
      | corrupt bytes            | rejected | no   |

  Scenario Outline: a late second copy of an answer is not taken for the answer to the next call
    Given a server that <does> the ids of calls and sends each answer again before the next one
    When the engine client calls it 4 times
    Then each call got its own answer or none

    Examples:
      | does        |
      | echoes      |
      | leaves out  |

  Scenario Outline: <what> is not taken for the answer to a call that ran
    Given a server that writes <what> before it answers the second call
    When the engine client sends the same call 2 times
    Then the second call got <second>

    Examples:
      | what                         | second    |
      | a copy of the refusal        | an answer |
      | the head of a refusal        | none      |
      | the status line of a refusal | none      |
      | a refusal without an id      | none      |
      | an error without an id       | a crash   |

  Scenario: a call whose answer never ends is given up
    Given an engine that never ends the answer to a call
    When the engine client reads its load
    Then the engine client has no report, and the engine has sent at most 32 MB
