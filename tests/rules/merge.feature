Feature: two operators' changes merge by cell

  Scenario Outline: changes of both operators to the same table
    Given the merge of sample sheets
    When the merge's first operator sets <mine> to "<my value>"
    And the merge's second operator sets <theirs> to "<their value>"
    Then the merge has <conflicts> conflicts
    And the merge without conflicts contains both changes

    Examples:
      | mine               | my value | theirs                | their value | conflicts |
      | classes/memo/tier  | 2        | classes/question/tier | 2           | 0         |
      | classes/memo/tier  | 2        | classes/memo/weight   | 3           | 0         |
      | classes/memo/tier  | 2        | classes/memo/tier     | 2           | 0         |
      | classes/memo/tier  | 2        | classes/memo/tier     | 4           | 1         |
      | classes/memo/tier  | 2        | classes/memo/         | -           | 1         |
      | classes/memo/      | -        | classes/memo/tier     | 2           | 1         |
      | classes/memo/      | -        | classes/memo/         | -           | 0         |
      | classes/memo/      | -        | classes/question/tier | 2           | 0         |
      | classes/draft/tier | 2        | classes/draft/tier    | 3           | 1         |
      | classes/draft/tier | 2        | classes/draft/weight  | 3           | 0         |

  Scenario: a conflict shows both values, but no full key
    Given the merge of sample sheets
    When the merge's first operator sets organisations/organisation-1/key_hash to "aaaaaaaaaaaaaaaa"
    And the merge's second operator sets organisations/organisation-1/key_hash to "bbbbbbbbbbbbbbbb"
    Then the merge's conflict shows "aaaaaaaa..." and "bbbbbbbb..." and no full key

  Scenario: differences are listed by cell
    Given the merge of sample sheets
    When the merge's first operator sets classes/memo/tier to "2"
    Then the merge's first difference is "classes: row memo: column tier: 3 -> 2"
