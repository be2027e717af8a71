Feature: the platform's formats are decoded once, and what can't be read names nothing

  Scenario: the settings file
    When the platform's settings are read
    Then each setting holds what the file says in seconds and addresses
    And keys that are not known are ignored

  Scenario Outline: a wrong setting is named
    When the platform's settings have <key> set to <value>
    Then the one fault names <key>

    Examples:
      | key                 | value  |
      | platform.addr       | "none" |
      | listen.front        | 7      |
      | bounds.revokeMs     | "soon" |
      | portRange           | [1]    |
      | nodeName            | ""     |

  Scenario: the table
    When the platform's table is read
    Then a path finds the route with its longest prefix
    And keys lead to organisations

  Scenario Outline: a server's entry that can't be used
    When a server's entry has <field> set to <value>
    Then the platform's entry is malformed

    Examples:
      | field   | value    |
      | service | null     |
      | addr    | "x"      |
      | slots   | "many"   |
      | slots   | 0        |
      | state   | "asleep" |
      | state   | null     |
      | born    | 1.5      |

  Scenario: a request's headers
    When a platform request's headers are read
    Then its parts, tokens, key and deadline are known
    And headers of the connection are left out
