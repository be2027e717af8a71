Feature: a late copy of an earlier refusal is not taken for the answer to the next request

  Scenario Outline: a copy of a refusal comes <manner>, and the request runs
    Given a server that refuses <earlier> with <refusal> and writes it again <manner>
    When <next> reaches it on the connection that is left
    Then it ran once, and its caller gets status <status>

    Examples: the refusal of another request
      | earlier     | refusal   | manner                | next        | status |
      | booking r-0 | 503 named | before the answer     | booking r-1 | 502    |
      | booking r-0 | 503       | before the answer     | booking r-1 | 200    |
      | booking r-0 | 429 named | with the answer       | booking r-1 | 502    |
      | booking r-0 | 421 named | in halves             | booking r-1 | 502    |
      | booking r-0 | 400       | in halves             | booking r-1 | 200    |
      | booking r-0 | 503 named | before the answer     | stream r-1  | 502    |
      | booking r-0 | 429       | with the answer       | stream r-1  | 200    |
      | booking r-0 | 503 named | up to its status line | booking r-1 | 502    |

    Examples: the refusal of a question of the front
      | earlier         | refusal | manner            | next        | status |
      | a probe         | 503     | before the answer | booking r-1 | 200    |
      | a probe         | 429     | with the answer   | booking r-1 | 200    |
      | a probe         | 421     | in halves         | booking r-1 | 200    |
      | a probe         | 400     | before the answer | booking r-1 | 200    |
      | a probe         | 500 ran | before the answer | booking r-1 | 502    |
      | a probe         | 503 ran | before the answer | booking r-1 | 200    |
      | a late question | 503     | before the answer | booking r-1 | 200    |
      | a probe         | 503     | in halves         | stream r-1  | 200    |
      | a late question | 503     | without its end   | booking r-1 | 200    |

    Examples: the refusal of the same request, which comes back
      | earlier     | refusal       | manner            | next        | status |
      | booking r-1 | 503 named     | before the answer | booking r-1 | 200    |
      | booking r-1 | 429 named     | in halves         | booking r-1 | 200    |
      | booking r-1 | 421 named     | with the answer   | booking r-1 | 200    |
      | booking r-1 | 503 named     | before the answer | stream r-1  | 200    |
      | booking r-1 | 503 named ran | before the answer | booking r-1 | 200    |

    Examples: requests without an id
      | earlier         | refusal | manner            | next            | status |
      | booking without | 503     | before the answer | booking without | 200    |
      | booking without | 400     | with the answer   | booking without | 200    |
      | booking without | 503     | before the answer | booking r-1     | 200    |
      | a probe         | 503     | before the answer | booking without | 200    |

  Scenario Outline: <part> of a refusal comes with an answer, and the rest does not
    Given a server that writes <part> of a refusal <when> the answer
    When booking r-1 reaches it on the connection that is left
    Then it ran once, and its caller gets status <status>

    Examples:
      | part            | when   | status |
      | the head        | after  | 200    |
      | the head        | before | 502    |
      | the status line | before | 502    |

  Scenario Outline: a true refusal of a <kind> request after <before> sends it to another server
    Given a server that refuses with <refusal>, and another one
    When the first server gets a <kind> request on a connection after <before>
    Then the second one answers it, and the first was connected to <connections> times

    Examples:
      | kind   | before                    | refusal   | connections |
      | single | nothing                   | 503       | 1           |
      | single | nothing                   | 503 named | 1           |
      | single | an answer                 | 503 named | 1           |
      | single | an answer                 | 421 named | 1           |
      | single | a refusal                 | 429 named | 1           |
      | single | a refusal                 | 503       | 2           |
      | single | a probe                   | 503       | 1           |
      | single | a refused probe           | 503       | 2           |
      | memo   | nothing                   | 503       | 1           |
      | memo   | an answer                 | 503 named | 1           |
      | memo   | a refusal                 | 503       | 2           |
      | memo   | a refused probe           | 503       | 2           |
      | memo   | a refusal of its question | 503       | 3           |

  Scenario Outline: <requests> requests of which the server refuses <refused> use few connections
    Given a server that refuses with 503 named, and another one
    When the first server gets <requests> bookings, reads and memos, of which it refuses <refused>
    Then it was connected to <connections> times

    Examples: at most 256 failures on one connection
      | requests | refused | connections |
      | 12       | 3       | 1           |
      | 300      | 300     | 2           |
