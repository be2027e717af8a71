Feature: a table is stored in small pages named by their content

  Scenario Outline: every value stays under a megabyte and a one-row change is small
    Given pages of a table with <rows> organisations
    Then the pages are <count> and the largest value is under a megabyte
    And the pages change by one when one row changes, by less than <bytes> bytes with the head
    And the pages unpack to the same sheets

    Examples:
      | rows  | count | bytes |
      | 10    | 1     | 10000 |
      | 5100  | 128   | 10000 |
      | 20000 | 512   | 20000 |

  Scenario: the count of pages stays as rows come and go
    Given pages of a table with 5100 organisations
    Then the pages keep their count at 2600 and at 15000 organisations

  Scenario: the same sheets in another order give the same pages
    Given pages of a table with 100 organisations
    Then the pages are the same for the rows in reverse order

  Scenario Outline: a page that is not what its name says is refused
    Given pages of a table with 100 organisations
    When the pages' first value is <state>
    Then the pages are refused

    Examples:
      | state   |
      | missing |
      | another |
      | cut     |
      | empty   |

  Scenario: a host asks only for what it does not have
    Given pages of a table with 5100 organisations
    Then the pages missing after one row's change are one

  Scenario Outline: a head is written and read, and nothing else is taken for one
    Then the pages' head is read back, and "<value>" is refused

    Examples:
      | value                                                                    |
      | {}                                                                       |
      | []                                                                       |
      | not json                                                                 |
      | {"revision": 1, "pages": "AAAA", "nonce": "", "author": "", "at_s": 0}   |
      | {"revision": "x", "pages": "", "nonce": "", "author": "", "at_s": 0}     |
