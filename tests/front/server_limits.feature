Feature: a server gets no more requests than it takes, from all hosts together

  Scenario Outline: a server that names a limit is not sent more than it by all hosts together
    Given <hosts> fronts and 2 servers, of which 1 names the limit "<limit>"
    When callers send reads, bookings and streams to all fronts for 9 s
    Then no 4 s bring the limited server more than 1.5 times its limit and 5 requests
    And every request is answered

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
