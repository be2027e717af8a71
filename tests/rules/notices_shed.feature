Feature: notices reach others though messages are shed

  Scenario Outline: a notice whose messages never left is passed on all the same
    Given the shed notices <variant> of a host among 3
    When the shed notices' next 20 messages are shed
    Then the shed notices' next message carries <carried> notices

    Examples:
      | variant         | carried |
      | as they are     | 1       |
      | without unsent  | 0       |

  Scenario: notices of one moment share messages
    Then the shed notices of one moment, 5 of them, are spread in 2 messages to each of 2 members
