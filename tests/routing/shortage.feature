Feature: callers who are refused in a shortage return spread over the room that comes

  Scenario: callers of one burst are not all told to return at the same moment
    Given a pool of 4 servers whose prompts can't begin in time, shared by 10 hosts
    When a host refuses 6 callers of one class in the same moment
    Then no two of them return within 50 ms of each other unless at the end of what they honour

  Scenario: no caller is told to return later than it honours
    Given a pool of 4 servers whose prompts can't begin in time, shared by 10 hosts
    When a host refuses 30 callers of one class in the same moment
    Then each is told to return within a third of the time that it has left

  Scenario: callers of an earlier rank return before those of a later one
    Given a pool of 4 servers whose prompts can't begin in time, shared by 10 hosts
    When a host refuses 6 callers of one class in the same moment
    And it refuses a caller of an earlier rank
    Then that one returns no later than the first of them

  Scenario: a pool that is not switched on is served as before
    Given a pool of 4 servers whose prompts can't begin in time, not switched on
    When a host refuses 6 callers of one class in the same moment
    Then all are told the time in which a server works off what is ahead

  Scenario: callers who return in a shortage are refused again less often
    When bursts, a hot organisation, a retry storm and lost servers are replayed with seeds 1 to 3
    Then at most 0.8 as many requests are refused twice as without spread returns
    And the callers' worth is no less by more than 0.005
