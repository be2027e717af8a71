Feature: the next table is had from what changed

  Scenario: reading the change gives the same table as reading the whole
    Given the table change from a sample table
    Then the table change read in steps equals the whole table, whatever is edited

  Scenario: a head rebuilt from its change is the head
    Given the table change from a sample table
    Then the table change rebuilds each head, whatever is edited

  Scenario Outline: a change that is not one is refused
    Given the table change from a sample table
    When the table change is <spoiled>
    Then the table change is refused

    Examples:
      | spoiled            |
      | cut short          |
      | of another head    |
      | of no page         |
      | with a cut digest  |
      | not JSON           |
      | a list             |
