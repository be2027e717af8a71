Feature: the table's revision only rises, whatever order operators' calls take

  Scenario: operators that start, go on and stop anywhere, with lost, late and stale answers
    Then the revision machine finds no fault
    And the revision machine finds a fault where a write has no condition
    And the revision machine finds a fault where a lost answer is taken for done

  Scenario: the merge of any two changes
    Then the revision merge keeps what one side changed and tells what both changed
