Feature: result codes say truly whether a request ran

  Scenario: every code has one row and a valid status
    Then every code has a meaning
    And only codes with ran "no" promise that nothing ran
    And the page docs/RESULT-CODES.md lists each code as the code does
