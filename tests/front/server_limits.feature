Feature: a server gets no more requests than it takes, from all hosts together

  Scenario Outline: a server that names a limit is not sent more than it by all hosts together
    Given <hosts> fronts and 2 servers, of which 1 names the limit "<limit>"
    When callers send reads, bookings and streams to all fronts for 9 s
    Then no 4 s bring the limited server more than 1.5 times its limit and 5 requests

    Examples:
      | hosts | limit |
      | 1     | 2     |
      | 3     | 1     |
      | 3     | 2.1   |

  Scenario Outline: what a server that names a limit does not take is answered by the others
    Given <hosts> fronts and 2 servers, of which 1 names the limit "<limit>"
    When callers send reads, bookings and streams to all fronts for 9 s
    Then every request is answered

    Examples:
      | hosts | limit |
      | 1     | 2     |
      | 3     | 1     |
      | 3     | 2.1   |

  Scenario: the limits that servers name are in the log and in the metrics
    Given 1 fronts and 2 servers, of which 1 names the limit "2.1"
    When callers send reads, bookings and streams to all fronts for 1 s
    Then the log and the metrics tell the limit of 2.1 requests a second

  Scenario: damaged messages about limits stop nothing and bind no server
    Given a host that knows the limit of a server and gets 3000 damaged copies of another host's report
    Then it still reports the limit, and a message of any other content is handled
    And no damaged limit is told to other hosts

  Scenario: what only servers at their limits could take is refused at once with a time to return
    Given 2 fronts and 2 servers, of which 2 names the limit "2"
    When callers send reads, bookings and streams to all fronts for 8 s
    Then no 4 s bring the limited server more than 1.5 times its limit and 5 requests
    And every refusal came within 25 ms of the request, with code 1224, not run, and a time to return
    And the explanation of the first refusal tells the limits that were named before it

  Scenario Outline: retries and resumed streams keep to the limit
    Given 2 fronts and 2 servers, of which 1 names the limit "2"
    And the other server is in mode <mode>
    When callers send only <kind> requests to all fronts for 8 s
    Then no 4 s bring the limited server more than 1.5 times its limit and 5 requests
    And the limited server got at least 8 requests

    Examples:
      | mode   | kind |
      | lost   | read |
      | broken | memo |

  Scenario: a host that starts is told of the limit before it serves
    Given 1 fronts and 2 servers, of which 1 names the limit "1"
    When callers send requests for 4 s, another front starts, and they send to both for 4 s
    Then no 4 s bring the limited server more than 1.5 times its limit and 5 requests
    And the other front knew the limit when it was ready

  Scenario: a limit that is not named any more has ended at all hosts
    Given 2 fronts and 2 servers, of which 1 names the limit "2"
    When callers send requests for 3 s, the server stops naming its limit, and they send for 3 s
    Then the server got at least a quarter of the requests of the last 1 s

  Scenario Outline: a value that is no limit changes nothing
    Given 2 fronts and 2 servers, of which 1 names the limit "<value>"
    When callers send reads, bookings and streams to all fronts for 2 s
    Then the server got at least a quarter of the requests of the last 1 s

    Examples:
      | value |
      | -1    |
      | many  |

  Scenario Outline: a stream that broke off waits for the limit of the server that goes on with it
    When a stream breaks off and only a server that takes <limit> requests a second is left
    Then the caller's stream <ends> within <most> s

    Examples:
      | limit | ends         | most |
      | 2     | is completed | 1.5  |
      | 0.1   | breaks off   | 0.5  |

  Scenario: a server's error is passed on if the other servers are at their limits
    When a read fails at a server and the other one is at its limit
    Then the caller gets the server's error

  Scenario: the limit of a server that has taken over an address is not the former server's
    When an answer comes from another server at the address, which names a limit
    Then no limit is known
