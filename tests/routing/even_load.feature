Feature: plain calls are spread evenly over servers that state their load, with old knowledge

  Scenario: fewer calls wait beside free slots than as found, and the slowest come sooner
    When 9 hosts send plain calls to 24 servers with speeds 1 to 0.33
    Then at most 0.7 times as many calls as found wait beside a free slot
    And the 99th percentile is no later than as found

  Scenario: few calls of those that wait do so beside a free slot
    When 9 hosts send plain calls to 6 servers of 4 slots with speeds 1 to 0.33
    Then under 0.15 of the waiting is beside a free slot

  Scenario: the slowest calls take little longer than the usual ones
    When 9 hosts send plain calls to 24 servers with speeds 1 to 0.33
    Then the 99th percentile is under 2.5 times the median

  Scenario: odd statements change nothing
    Then a load of "3,0,8,250" is read
    And a load of "3,0,8" is read
    But a load of "x,0,8" is counted as unreadable
    And a load of "-3,0,8,100" is counted as unreadable
    And a load of "3,0,8,99999999999" is counted as unreadable
    And a load of "3,0,0,100" is counted as unreadable
    And a load of "3,0,8,0" is counted as unreadable
    And a load of "3,0" is counted as unreadable
    And a load of "" is counted as unreadable

  Scenario: the statement of one server switches its pool on, and only one with a slowness
    Given a server that states a load of three figures
    Then its pool is served as before
    When it states a fourth figure
    Then the load of its pool is evened out

  Scenario: only a few servers are estimated for a prompt, with those that hold most of it
    When candidates are selected among 70 servers, of which 9 hold the prompt
    Then at most 16 are selected, with the 6 holders of the fewest requests

  Scenario: a choice among 70 servers takes at most half a millisecond
    Then a choice among 70 busy servers takes at most 500 us

  Scenario: a host reads the load in its answers, and counts odd figures
    Given a host that gets answers with the loads "3,0,8,250" and "3,0,8,-1" and one that is not stamped
    Then its metrics tell one pool whose load is evened out and 1 unreadable load
