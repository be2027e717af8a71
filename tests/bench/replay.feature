Feature: the routing decisions are replayed against load patterns

  Scenario Outline: callers gain over the decisions as found, beyond the bench's noise
    When the pattern "<pattern>" is replayed with seeds 1 to 3
    Then the replay's worth is at least 0.03 more than as found
    And the worth of its worst seconds is at least 0.03 more than as found
    And the worth of its worst class is no less than as found

    Examples:
      | pattern           |
      | burst             |
      | hot tenant        |
      | retry storm       |
      | lost servers      |
      | long beside short |
      | slow server       |
      | few servers       |

  Scenario: a replay is reproducible
    Then the pattern "burst" gives the same figures twice with seed 5
