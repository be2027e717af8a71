Feature: the capacity page says what its slopes come to

  Scenario: the page holds the table that the script derives
    Then the capacity page holds the derived table

  Scenario: a slope that changes shows on the page
    When the capacity slope "read_ms" is doubled
    Then the capacity page does not hold the derived table

  Scenario: a row over its limit is said not to fit
    When the capacity slope "heartbeat_core_percent" is 100 times as large
    Then the capacity row "core for heartbeats" does not fit
