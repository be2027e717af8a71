Feature: brittle servers are not overrun by all hosts together

  Scenario Outline: servers that say they are brittle do not fall over, and their room is used
    Given <hosts> fronts and 3 servers that let <queue> requests wait once they are brittle
    When callers ask for <load> of the room, and the servers say that they can turn away <most> a second
    Then the servers fall over 0 times
    And callers are served at least 0.95 of the lesser of the room and what they ask for
    And every refusal is not run, with a time to return

    Examples:
      | hosts | queue | most | load |
      | 3     | 2     | 4    | 0.9  |
      | 3     | 2     | 4    | 1.4  |
      | 3     | 2     | 4    | 2.5  |
      | 3     | 2     | 0    | 0.9  |
      | 3     | 2     | 0    | 1.4  |
      | 3     | 2     | 0    | 2.5  |
