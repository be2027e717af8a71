Feature: the table's revision only increases, whatever the order of operators' calls

  Scenario: operators start, proceed and stop at any point, with lost, late and stale answers
    Then the revision state machine finds no violation
    And the revision state machine finds a violation if writes are unconditional
    And the revision state machine finds a violation if a lost answer counts as success

  Scenario: the merge of any two changes
    Then the revision merge keeps the changes of each side and reports conflicting ones
