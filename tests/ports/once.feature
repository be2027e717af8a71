Feature: a service call runs once at most, whatever its services do

  Scenario Outline: services that cut answers, refuse, repeat answers or leave their ids out
    Given 2 daemons with services whose faults are those of seed <seed>
    When callers send them 150 calls, and those with a key again until they are answered
    Then no call ran twice, and none that ran was answered as not run

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
