Feature: brittle servers are not overrun by all hosts together

  Scenario Outline: servers that say they are brittle do not fall over
    Given <hosts> fronts and 3 servers that let <queue> requests wait once they are brittle
    When callers ask for <load> of the room, and the servers say that they can turn away <most> a second
    Then the servers fall over 0 times
    And every refusal is not run, with a time to return

    Examples:
      | hosts | queue | most | load |
      | 3     | 2     | 4    | 0.9  |
      | 3     | 2     | 4    | 1.4  |
      | 3     | 2     | 4    | 2.5  |
      | 3     | 2     | 0    | 0.9  |
      | 3     | 2     | 0    | 1.4  |
      | 3     | 2     | 0    | 2.5  |

  Scenario Outline: the room of brittle servers is used
    Given <hosts> fronts and 3 servers that let <queue> requests wait once they are brittle
    When callers ask for <load> of the room, and the servers say that they can turn away <most> a second
    Then callers are served at least 0.95 of the lesser of the room and what they ask for

    Examples:
      | hosts | queue | most | load |
      | 3     | 2     | 4    | 0.9  |
      | 3     | 2     | 4    | 1.4  |
      | 3     | 2     | 4    | 2.5  |
      | 3     | 2     | 0    | 1.4  |

  Scenario: a sound server that is silent for 1.2 s is not ejected, and nothing crowds anywhere
    Given 2 fronts and 3 servers that let 8 requests wait once they are brittle
    When one of the servers is silent for 1.2 s while callers ask for 0.5 of the room
    Then no server is ejected, and no request is run twice
    And no server has more than twice its slots in flight
    And every request is answered by a server

  Scenario Outline: a bad statement of brittleness changes nothing and is counted
    Given 1 fronts and 3 servers that let 8 requests wait once they are brittle
    When the servers say that they are brittle with "<value>" while callers ask for 0.5 of the room
    Then no server is taken for brittle, and the metrics count what could not be read
    And every request is answered by a server

    Examples:
      | value     |
      | many      |
      | -4        |
      | 123456789 |

  Scenario: the end of the brittle time ends the limit at all hosts
    Given 2 fronts and 3 servers that let 8 requests wait once they are brittle
    When the servers say for 1 s that they are brittle while callers ask for 0.5 of the room
    Then no server is taken for brittle at any host
