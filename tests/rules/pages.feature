Feature: a table is stored in small content-addressed pages

  Scenario Outline: every value is under a megabyte and a change of one row is small
    Given pages of a table with <rows> organisations
    Then there are <count> pages and the largest value is under a megabyte
    And the pages differ by one after one row changes, under <bytes> bytes with the head
    And the pages unpack to the same sheets

    Examples:
      | rows  | count | bytes |
      | 10    | 1     | 10000 |
      | 5100  | 128   | 10000 |
      | 20000 | 512   | 20000 |

  Scenario: the page count is kept as rows are added and removed
    Given pages of a table with 5100 organisations
    Then the pages keep their count at 2600 and at 15000 organisations

  Scenario: the same sheets in another order give the same pages
    Given pages of a table with 100 organisations
    Then the pages are the same for the rows in reverse order

  Scenario Outline: a page that does not match its name is refused
    Given pages of a table with 100 organisations
    When the pages' first value is <state>
    Then the pages are refused

    Examples:
      | state     |
      | missing   |
      | another   |
      | truncated |
      | empty     |

  Scenario: a host requests only the pages it does not have
    Given pages of a table with 5100 organisations
    Then one of the pages is missing after a change of one row

  Scenario Outline: a head is encoded and decoded, and other values are refused
    Then the pages' head is decoded as encoded, and "<value>" is refused

    Examples:
      | value                                                                  |
      | {}                                                                     |
      | []                                                                     |
      | not json                                                               |
      | {"revision": 1, "pages": "AAAA", "nonce": "", "author": "", "at_s": 0} |
      | {"revision": "x", "pages": "", "nonce": "", "author": "", "at_s": 0}   |
