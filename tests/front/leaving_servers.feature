Feature: a server that says that it is leaving gets no more requests, whatever the store says

  Scenario Outline: a server's word counts in <answer>
    Given a server that says that it is leaving in <answer>, and another one
    When the store says that the server is ready, and callers send 12 requests
    Then all requests are answered by the other server

    Examples:
      | answer                         |
      | a success                      |
      | a failure                      |
      | a refusal                      |
      | a stream                       |
      | an answer without a stamp      |
      | an answer to another request   |
      | a report asked before a stream |
      | a report asked by a probe      |

  Scenario Outline: <sends> obey a server's word
    Given a server that says that it is leaving in a success, and another one
    When the other server is in mode <mode> and a caller sends a <kind>
    Then the leaving server gets nothing

    Examples:
      | sends           | mode   | kind |
      | retries         | lost   | read |
      | retries         | shed   | read |
      | resumed streams | broken | memo |

  Scenario: a request that is connecting when the server's word arrives is sent to another server
    Given two servers, and a request that is connecting to the first one
    When another host tells that the first server is leaving
    Then all requests are answered by the other server

  Scenario: probes obey a server's word
    Given a server that says that it is leaving in a success, and another one
    When the host doubts that it reaches the pool for 1 s
    Then only the other server is probed

  Scenario: the other hosts hear of it, and those that start later
    Given a server that says that it is leaving in a success at one of 2 hosts
    When callers send 12 requests to each other host, one of which has just started
    Then all requests are answered by the other server

  Scenario: a new start of the server begins clean
    Given a server that says that it is leaving in a success, and another one
    When the server starts again under its name and address, and callers send 24 requests
    Then both servers get requests

  Scenario: a stream that runs goes on to its end
    Given a server that says that it is leaving while a stream runs there
    Then the stream comes whole from that server

  Scenario Outline: the value "<value>" changes nothing
    Given a server that says "<value>" of leaving in a success, and another one
    When the store says that the server is ready, and callers send 24 requests
    Then both servers get requests

    Examples:
      | value |
      | 0     |
      | true  |
