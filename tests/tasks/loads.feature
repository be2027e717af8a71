Feature: the reading of backend servers' loads stays bounded

  Scenario Outline: each server is read in turn, and no more than the bound in an interval
    Given a load reader of <owned> servers to read often and <used> to read seldom
    When the load reader has chosen for <rounds> intervals
    Then the load reader read no more than <most> in any interval
    And the load reader read every server

    Examples:
      | owned | used | rounds | most |
      | 9     | 0    | 1      | 9    |
      | 3     | 6    | 1      | 9    |
      | 64    | 0    | 4      | 16   |
      | 64    | 320  | 120    | 16   |
