Feature: an idempotency record lets a call run once at most

  Scenario Outline: what a record becomes
    Then the idempotency record that is <state> and is told <event> becomes <after>

    Examples:
      | state    | event   | after    |
      | recorded | finish  | done     |
      | recorded | lose    | unknown  |
      | recorded | release | void     |
      | recorded | take    | refused  |
      | done     | finish  | refused  |
      | done     | lose    | refused  |
      | done     | release | refused  |
      | done     | take    | refused  |
      | unknown  | finish  | done     |
      | unknown  | lose    | refused  |
      | unknown  | release | refused  |
      | unknown  | take    | refused  |
      | void     | finish  | refused  |
      | void     | lose    | refused  |
      | void     | release | refused  |
      | void     | take    | recorded |

  Scenario Outline: what a later call with its key gets
    Then the idempotency record that is <state> gives the <body> body after <age> s: <verdict>

    Examples:
      | state    | body    | age | verdict         |
      | recorded | same    | 1   | still running   |
      | recorded | same    | 601 | outcome unknown |
      | recorded | another | 1   | key reused      |
      | done     | same    | 1   | replay          |
      | done     | same    | 601 | replay          |
      | done     | another | 1   | key reused      |
      | unknown  | same    | 1   | outcome unknown |
      | unknown  | another | 1   | key reused      |
      | void     | same    | 1   | take            |
      | void     | another | 1   | take            |

  Scenario: it is stored and read back, and its name tells neither organisation nor key
    Then the idempotency record is read back and nothing else is taken for one
    And the idempotency record's name hides "Haddad & Sons" and "order-77"

  Scenario: any order of calls, lost and late writes, stale reads and kills
    Then the idempotency machine finds no fault
    And the idempotency machine finds a fault where a running record may be taken
    And the idempotency machine finds a fault where writes have no condition
