Feature: the number of load reads per interval is bounded

  Scenario Outline: every server is read, and at most the limit in any interval
    Given a load reader of <owned> servers to read often and <used> to read seldom
    When the load reader has selected servers for <rounds> intervals
    Then the load reader read no more than <most> in any interval
    And the load reader read every server

    Examples:
      | owned | used | rounds | most |
      | 3     | 0    | 1      | 4    |
      | 9     | 0    | 3      | 4    |
      | 3     | 6    | 3      | 4    |
      | 64    | 0    | 16     | 4    |
      | 64    | 320  | 120    | 4    |
