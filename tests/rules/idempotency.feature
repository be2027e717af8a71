Feature: an idempotency record lets a call run at most once

  Scenario Outline: the states of a record
    Then the idempotency record in state <state> becomes <after> on <event>

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

  Scenario Outline: how a later call with the same key proceeds
    Then the idempotency record in state <state> gives the <body> body after <age> s: <decision>

    Examples:
      | state    | body    | age | decision        |
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

  Scenario: a record is stored and read back, and its name reveals neither organisation nor key
    Then the idempotency record is decoded as it was encoded and other values are refused
    And the idempotency record's name hides "Haddad & Sons" and "order-77"

  Scenario: any order of calls, lost writes, late writes, stale reads and kills
    Then the idempotency machine finds no fault
    And the idempotency machine finds a fault if a running record may be taken
    And the idempotency machine finds a fault if writes are unconditional
