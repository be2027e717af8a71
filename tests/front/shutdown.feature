Feature: a host shuts down without interrupting requests

  Scenario: a stream that could not end in time is refused, not started
    When a host that began to shut down 4 s ago gets a fixed request of 6000 ms
    Then the front answers 503 and the request ran 0 times
    And the answer says when to retry

  Scenario: a short call is still served late in the grace period
    When a host that began to shut down 4 s ago gets a single request of 1000 ms
    Then the front answers 200 and the request ran 1 times
    And the answer closes its connection

  Scenario: late in the grace period an answer that may last beyond it is refused
    When a host that began to shut down 4 s ago, whose answers took 0.1 s, gets a single request of 6000 ms
    Then the front answers 503 and the request ran 0 times
    And the answer says when to retry

  Scenario: a caller whose server never answers is told so before the process ends
    When a host with 2 s of grace, which began to shut down 0.5 s ago, gets a booking that its server never answers
    Then the booking is answered with 504 before the grace period ends

  Scenario: a request that begins as the last ones are given up is not left without an answer
    When a request waits in a host from just after the end of the grace period
    Then it is given up, too, before the process ends

  Scenario: a running stream is completed
    When a host begins to shut down during a fixed request
    Then the front streams events 1 to 4 completely
    And the host is not ready but its listener is open

  Scenario Outline: callers that keep their connections are not cut by a grace period of <grace> s
    When 40 callers keep sending requests that take <took> s to a host that ends after <grace> s
    Then each request that reached a server was answered completely
    And the callers' other requests were refused with a time to return
    And the host served for at least <served> s after the signal

    Examples:
      | grace | took | served |
      | 2     | 0.3  | 1.0    |
      | 4     | 0.6  | 2.5    |
      | 8     | 0.6  | 3.0    |

  Scenario Outline: the end of the process
    Given a host that shuts down with 8 s of grace
    Then after <since> s with <requests> requests it <does>

    Examples:
      | since | requests | does    |
      | 1.0   | 0        | stays   |
      | 3.1   | 0        | ends    |
      | 3.1   | 1        | stays   |
      | 7.5   | 1        | ends    |

  Scenario Outline: a request that is being read when the process could end is answered
    When a host that began to shut down <since> s ago has read half of a booking, and gets the rest <later> s later
    Then the caller gets a complete answer

    Examples:
      | since | later |
      | 2.9   | 0.3   |
      | 3.1   | 0.2   |
      | 7.2   | 0.15  |

  Scenario Outline: requests read behind one that is answered as the host stops are answered: <what>
    When a host begins to shut down while it answers a booking, and <what>
    Then the caller gets 3 complete answers, and the last one closes the connection

    Examples:
      | what                                      |
      | 2 more have come on the connection         |
      | 2 more come on the connection, one in parts |

  Scenario: a request half read at the end of the grace period is refused, not closed silently
    When a host with 2 s of grace has read half of a booking, and the rest never comes
    Then the caller gets 503 with a time to return before the grace period ends

  Scenario: an answer that its caller has not read yet is not cut off when the process could end
    When a caller reads a large answer slowly from a host that began to shut down 2.9 s ago
    Then the caller gets all of it

  Scenario: a refused request is not sent again when its answer would be cut off by the end
    When a host with 2 s of grace sends a booking, and its server refuses it 1.2 s later
    Then the front answers 503 and the request ran 0 times
    And the answer says when to retry

  Scenario: a body that comes slowly does not make its class's answers look slow
    When a stopping host has answered a booking whose body took 0.5 s
    Then the answers of its class count as shorter than 0.4 s

  Scenario Outline: servers that grow slow during a stop are noticed before their answers are complete
    Given a class whose answers took 0.6 s, and <slow> of <count> requests open for <age> s
    Then an answer is expected to take <expected> s

    Examples:
      | slow | count | age | expected |
      | 20   | 20    | 0.5 | 0.6      |
      | 20   | 20    | 1.5 | 3.0      |
      | 4    | 20    | 1.5 | 0.6      |
      | 3    | 3     | 1.5 | 0.6      |

  Scenario: a request that arrives whole in the moment at which the process could end is answered
    When requests arrive whole while a host decides that it may end
    Then each of these callers gets a complete answer

  Scenario Outline: a connection that has just been made is not closed before its request comes
    When a caller connects to a host that began to shut down <since> s ago, and sends a booking <later> s later
    Then the caller gets a complete answer

    Examples:
      | since | later |
      | 2.55  | 0.15  |
      | 3.1   | 0.15  |
      | 7.0   | 0.15  |

  Scenario: connections that wait to be accepted when the process could end are answered
    When callers connect and send requests while a host decides that it may end
    Then each of these callers gets a complete answer

  Scenario: a host that is told to stop while it starts does not take other hosts' requests
    When a host begins to shut down before it listens
    Then it tells no other host that it takes forwarded requests

  Scenario: a reload signal that comes while the front starts does not end it
    When a front gets SIGHUP while it imports its libraries
    Then it runs on
