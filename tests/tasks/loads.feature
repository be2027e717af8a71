Feature: the reading of backend servers' loads stays bounded

  Scenario Outline: each server is read in turn, and no more than the bound in an interval
    Given a load reader of <owned> servers to read often and <used> to read seldom
    When the load reader has chosen for <rounds> intervals
    Then the load reader read no more than <most> in any interval
    And the load reader read every server

    Examples:
      | owned | used | rounds | most |
      | 3     | 0    | 1      | 4    |
      | 9     | 0    | 3      | 4    |
      | 3     | 6    | 3      | 4    |
      | 64    | 0    | 16     | 4    |
      | 64    | 320  | 120    | 4    |
