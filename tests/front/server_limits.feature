Feature: a server gets no more requests than it takes, from all hosts together

  Scenario: the limits that servers name are in the log and in the metrics
    Given 1 fronts and 2 servers, of which 1 names the limit "2.1"
    When callers send reads, bookings and streams to all fronts for 1 s
    Then the log and the metrics tell the limit of 2.1 requests a second
