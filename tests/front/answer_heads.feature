Feature: an answer ends where its head says, whatever the head looks like

  Scenario Outline: HEAD for a <kind> call gets the server's head alone, and the next call its own answer
    When a caller sends HEAD and then POST for a <kind> request to a server in mode <mode>
    Then it gets the server's head, and then the whole answer

    Examples:
      | kind   | mode   |
      | single | ok     |
      | read   | error  |
      | memo   | stream |

  Scenario Outline: <what> costs the caller of a <kind> request at most its answer
    When a server answers a <kind> request with <what>
    Then the caller gets <status> soon, and nothing that is no answer

    Examples: interim heads before the answer, or instead of it
      | kind   | what                                              | status |
      | single | its answer after three interim heads              | 200    |
      | single | its answer after an interim head with a length    | 200    |
      | single | its answer after an interim head with chunks      | 200    |
      | single | its answer after an interim head that closes      | 200    |
      | single | its answer after an interim head of HTTP/1.0      | 200    |
      | single | its answer and an interim head                    | 200    |
      | single | its answer inside a header of an interim head     | 502    |
      | single | a switch to another protocol                      | 502    |
      | single | a status below 100                                | 502    |
      | single | an interim head, and the end                      | 502    |
      | single | half of an interim head, and the end              | 502    |
      | single | an interim head and half of another, and the end  | 502    |

    Examples: heads and ends of bodies that say how long an answer is
      | kind   | what                                | status |
      | single | chunks of a coded body              | 502    |
      | fixed  | events in chunks of a coded body    | 502    |
      | single | a body with an unknown coding       | 502    |
      | fixed  | events with an unknown coding       | 502    |
      | single | two lengths                         | 502    |
      | single | a length and chunks                 | 502    |
      | single | a folded line                       | 502    |
      | single | bare line feeds                     | 502    |
      | single | trailers that contradict the head   | 200    |
      | single | a length in its trailers            | 502    |
      | single | half of its trailers, and the end   | 502    |
      | single | half of its last chunk, and the end | 502    |
      | single | half of a long header, and the end  | 502    |
      | single | no length and no body, and the end  | 502    |
      | single | 201, no length, and the end         | 201    |

  Scenario Outline: an answer that arrives in two parts is read as if it came whole, to <method>
    Then each of these answers is read alike at every split, as the answer to <method>

    Examples:
      | method |
      | POST   |
      | HEAD   |

  Scenario: why an answer was lost is told by its name
    Then reading chunks of a coded body fails with "unknown transfer coding"

  Scenario Outline: of the headers that two Connection lines name, <header> <fate>
    When a head has the lines "Connection: X-Hop, Server-Stamp" and "Connection: close", and <header>
    Then it <fate> with answers, requests and forwarded requests

    Examples:
      | header       | fate             |
      | X-Hop        | is not passed on |
      | Server-Stamp | is passed on     |
