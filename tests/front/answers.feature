Feature: a caller gets its own whole answer, or is told truly whether its request ran

  Scenario Outline: a single call
    When the front's server is <mode> for a single request
    Then the front answers <status> and the request ran <runs> times

    Examples:
      | mode          | status | runs |
      | ok            | 200    | 1    |
      | error         | 500    | 1    |
      | shed          | 503    | 0    |
      | lost          | 502    | 1    |
      | garbage       | 502    | 1    |
      | unsigned      | 502    | 1    |
      | foreign       | 502    | 1    |
      | extra         | 200    | 1    |
      | cut           | 502    | 1    |
      | unsized       | 200    | 1    |
      | unsized-reset | 502    | 1    |
      | encoded       | 502    | 1    |
      | hang          | 504    | 1    |

  Scenario Outline: a read is asked for again elsewhere
    When the front's servers are <first> and then ok for a read request
    Then the front answers 200 and the request ran <runs> times

    Examples:
      | first   | runs |
      | error   | 2    |
      | lost    | 2    |
      | garbage | 2    |
      | cut     | 2    |
      | foreign | 2    |
      | shed    | 1    |

  Scenario: a read that no other server can take gets its server's own answer
    When the front's server is error for a read request
    Then the front answers 500 and the request ran 1 times

  Scenario: a resumable stream goes on at another server where it broke off
    When the front's servers are broken and then stream for a memo request
    Then the front streams events 1 to 4 whole
    And the second server was asked to go on after event 2

  Scenario: a stream that may not be resumed ends broken, not complete
    When the front's server is broken for a fixed request
    Then the front's stream is broken off after whole events

  Scenario: answers on one connection keep their order
    When a caller sends 3 requests at once on one connection
    Then the front answers them in order

  Scenario: a server at an address used again runs nothing
    When a server's address is used by another one
    Then the front answers 503 and the request ran 0 times

  Scenario: a caller that leaves is noticed by the server
    When a caller leaves while its server works
    Then the server's work was cancelled within 0.5 s

  Scenario: only the router sets what is the router's
    When a request carries headers that only the router may set
    Then the server sees the router's values and no key

  Scenario Outline: what can't be read is refused
    When a caller sends <fault>
    Then the front answers <status> and the request ran 0 times

    Examples:
      | fault            | status |
      | two lengths      | 400    |
      | length and chunks | 400   |
      | a bare line feed | 400    |
      | long headers     | 431    |
      | a long body      | 413    |
      | half a head      | 408    |

  Scenario Outline: an organisation's tier goes before its classes', and theirs order within it
    When the class of tier <class> is asked for by an organisation of tier <organisation>
    Then the request's tier is <tier>

    Examples:
      | class | organisation | tier |
      | 0     | 0            | 0    |
      | 1     | 0            | 1    |
      | 0     | 1            | 3    |
      | 2     | 1            | 5    |
      | 2     | none         | 2    |
