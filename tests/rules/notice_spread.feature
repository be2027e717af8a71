Feature: notices reach other hosts although messages are shed

  Scenario Outline: a notice whose messages were shed is sent again
    Given the shed notices <variant> of a host among 3
    When the shed notices' next 20 messages are shed
    Then the shed notices' next message carries <carried> notices

    Examples:
      | variant         | carried |
      | as implemented  | 1       |
      | without refunds | 0       |

  Scenario: simultaneous notices share messages
    Then 5 simultaneous notices are spread in 2 messages to each of 2 members
