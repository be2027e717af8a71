Feature: a table is updated from its changed pages

  Scenario: an incremental update gives the same table as parsing it in full
    Given the table change from a sample table
    Then the table change applied in steps equals the full table, whatever is edited

  Scenario: a head rebuilt from its change equals the head
    Given the table change from a sample table
    Then the table change rebuilds each head, whatever is edited

  Scenario Outline: an invalid change is refused
    Given the table change from a sample table
    When the table change is <corruption>
    Then the table change is refused

    Examples:
      | corruption              |
      | truncated               |
      | of another head         |
      | of an unknown page      |
      | with a truncated digest |
      | not JSON                |
      | a list                  |
