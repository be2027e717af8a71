Feature: result codes state correctly whether a request ran

  Scenario: every code has one row and a valid status
    Then every code has a meaning
    And codes of backend failures never claim ran "no"
    And the page docs/RESULT-CODES.md lists each code as the code does
