Feature: all hosts together keep to the room of brittle servers

  Scenario Outline: hosts with late digests do not let servers fall over
    Given <hosts> hosts and <servers> servers of 12 slots that let <queue> requests wait
    When they run for <seconds> s at <load> of the room, with <most> rejections a second allowed
    Then no server falls over

    Examples: digests that take 3 to 60 ms
      | hosts | servers | queue | load | most | seconds |
      | 9     | 3       | 2     | 0.9  | 4    | 15      |
      | 9     | 3       | 2     | 1.4  | 4    | 15      |
      | 9     | 3       | 2     | 2.5  | 4    | 15      |
      | 9     | 3       | 0     | 0.9  | 0    | 15      |
      | 9     | 3       | 0     | 1.4  | 0    | 15      |
      | 9     | 3       | 0     | 2.5  | 0    | 15      |
      | 30    | 10      | 0     | 1.4  | 0    | 6       |
      | 30    | 10      | 0     | 2.5  | 4    | 6       |

  Scenario Outline: the room is used in spite of late digests
    Given <hosts> hosts and <servers> servers of 12 slots that let <queue> requests wait
    When they run for <seconds> s at <load> of the room, with <most> rejections a second allowed
    Then at least 0.95 of the lesser of the room and the demand is served

    Examples:
      | hosts | servers | queue | load | most | seconds |
      | 9     | 3       | 2     | 0.9  | 4    | 15      |
      | 9     | 3       | 2     | 1.4  | 4    | 15      |
      | 9     | 3       | 2     | 2.5  | 4    | 15      |
      | 9     | 3       | 0     | 0.9  | 0    | 15      |
      | 9     | 3       | 0     | 1.4  | 0    | 15      |
      | 9     | 3       | 0     | 2.5  | 0    | 15      |

  Scenario: a host that starts uses no share that others still use
    Given a host with the whole of a server of 12 slots
    When another host is heard and the shares change
    Then neither uses more than its smaller share before the hosts have settled
    And both use their shares after that

  Scenario: room that was lent is not used twice
    Given a host with the whole of a server of 12 slots
    When it lends 3 requests to another host that has 2 of them in flight when the loan ends
    Then it gets 1 request back at once and the rest when they have ended

  Scenario: a server that fell over is tried by one request before it gets more
    Given a host with the whole of a server of 12 slots
    When the server breaks a connection
    Then it gets no request for 1 s, one after that, and all again after an answer

  Scenario: a new server of a brittle pool is taken for brittle until it answers
    Given a brittle server and a new one of its pool
    Then the new one has room for its slots only, and for all after an answer without the statement
