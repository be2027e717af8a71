Feature: the capacity page is derived from its measured slopes

  Scenario: the page contains the table that the script derives
    Then the capacity page contains the derived table

  Scenario: a changed slope changes the table
    When the capacity slope "read_ms" is doubled
    Then the capacity page does not contain the derived table

  Scenario: a row over its limit is marked as not fitting
    When the capacity slope "heartbeat_core_percent" is 100 times as large
    Then the capacity row "core for heartbeats" does not fit
