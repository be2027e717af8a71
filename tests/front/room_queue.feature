Feature: requests that wait for room are tried at an interval

  Scenario Outline: requests that find no room each time they are tried
    When <count> requests wait for <wait> s and find no room, <rounds> times
    Then all have ended, and a try took place at most <tries> times

    Examples: a try each 10 ms, and one at the end of each request's time
      | count | wait | rounds | tries |
      | 1     | 0.2  | 1      | 25    |
      | 3     | 0.2  | 1      | 27    |
      | 1     | 0.05 | 3      | 25    |
