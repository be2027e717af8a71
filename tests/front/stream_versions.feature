Feature: a stream goes on only at the version of the servers' software that began it

  Scenario Outline: a stream that breaks off goes on in one answer at the version that began it
    Given 1 fronts and servers of versions <versions>
    And the first server breaks its streams off after two events, and is the first to get them
    When 8 callers read a stream to its end
    Then no caller got events of two versions
    And every caller got its whole stream

    Examples: names without an order
      | versions               |
      | v1, v1.1, v1           |
      | 10, 9, 9, 10           |
      | green, blue, green     |

  Scenario Outline: a stream that its caller takes up goes on at the version that began it
    Given <hosts> fronts and servers of versions v1, v1.1, v1, v1.1
    When 12 callers read two events at the first front and take their streams up at <where>
    Then no caller got events of two versions
    And every caller got its whole stream

    Examples:
      | hosts | where                                 |
      | 1     | the same host                         |
      | 3     | another host                          |
      | 3     | another host after the first is gone  |
      | 6     | a host that has just started          |

  Scenario: a stream that was taken up and breaks off again is still bound
    Given 3 fronts and servers of versions v1, v1.1, v1, v1.1
    When 8 callers take their streams up at another host after each event
    Then no caller got events of two versions
    And every caller got its whole stream

  Scenario Outline: a host that can't know which version began a stream refuses it at once
    Given 2 fronts and servers of versions v1, v1.1
    When a caller takes up a stream that <which>
    Then it is refused within 500 ms with code 1225, not run, and a time to return
    And no server got the request

    Examples:
      | which                    |
      | no host knows            |
      | it does not name         |
      | only a lost host knew of |

  Scenario Outline: no stream is joined from two versions after all hosts ended at once
    Given 3 fronts and servers of versions v1, v1.1, v1, v1.1
    When all hosts end while 12 callers read, <change>, and their streams are taken up <how>
    Then no caller got events of two versions
    And every stream taken up was continued whole or refused with a time to return

    Examples:
      | change                                | how               |
      | both versions stay                    | by name           |
      | both versions stay                    | without a name    |
      | servers of the old version have left  | by name           |
      | servers of the old version have left  | without a name    |
      | the old have left and timeouts fall   | without a name    |

  Scenario: a stream that its caller takes up is bound although its class is not resumable any more
    Given 3 fronts and servers of versions v1, v1.1, v1, v1.1
    When 8 callers take their streams up at another host when the class is not resumable any more
    Then no caller got events of two versions
    And every caller got its whole stream

  Scenario: a stream whose version serves no more does not go on at another one
    Given 2 fronts and servers of versions v1, v1.1
    When a caller takes its stream up after the server of its version has left
    Then it is refused within 500 ms with code 1226, not run, and a time to return

  Scenario Outline: a server that is back with another version before the list tells
    Given 1 fronts and servers of versions <versions>
    And the first server breaks its streams off after two events, and is the first to get them
    When server <number> is back with version v2, the list does not tell, and 4 callers read a stream
    Then no caller got events of two versions

    Examples: it would go on with the stream, or it began it
      | versions   | number |
      | v1, v1     | 2      |
      | v1, v1, v1 | 2      |
      | v1, v1     | 1      |
      | v1, v2, v1 | 1      |

  Scenario: a stream goes on at a sound server beside one that is back with another version
    Given 1 fronts and servers of versions v1, v1, v1
    And the first server breaks its streams off after two events, and is the first to get them
    When server 2 is back with version v2, the list does not tell, and 4 callers read a stream
    Then no caller got events of two versions
    And every caller got its whole stream

  Scenario Outline: a server's report on a connection is told from other answers there
    Given 1 fronts and servers of versions v1, v1
    When <what> on the connection of a memo
    Then every caller got its whole stream
    And it was sent <sends> times, and the server was asked for its start at most <reports> times

    Examples:
      | what                                                        | sends | reports |
      | the server sends a booking's answer again before the report | 1     | 2       |
      | the server sends the report twice                           | 1     | 4       |
      | the server closes the connection after each report          | 1     | 2       |
      | the server tells no start                                   | 1     | 1       |
      | the host is delayed for 1.5 s while it waits for the report | 1     | 2       |

  Scenario: a stream that began at a server that is leaving goes on at its version
    Given 1 fronts and servers of versions v1, v1.1, v1
    And the first server breaks its streams off after two events, and is the first to get them
    And the first server closes its connections after each report
    When 4 callers read a stream to its end
    Then no caller got events of two versions
    And every caller got its whole stream

  Scenario: a server that never ends its report holds a caller no longer than its class's timeout
    Given 1 fronts and servers of versions v1
    When the server of a memo goes on with its report byte by byte
    Then the caller is answered 503 or 504 within 4500 ms

  Scenario: what is remembered of a stream ends with it, also at another host
    Given 4 fronts and servers of versions v1, v1.1, v1, v1.1
    When 12 callers read streams, and half of them take them up at another host
    Then every caller got its whole stream
    And no host remembers a stream

  Scenario: what is remembered of a stream ends when its caller gives up
    Given 4 fronts and servers of versions v1, v1.1
    When 6 callers leave their streams after two events and do not come back
    Then no host remembers a stream

  Scenario: a relay's news of servers tell their versions
    When a relay sends news of a server of version v1.1
    Then the host that gets them knows that it is of version v1.1

  Scenario: the log tells at which version a stream goes on
    Given 3 fronts and servers of versions v1, v1.1, v1, v1.1
    When 1 callers read two events at the first front and take their streams up at another host
    Then the explanation of its second try tells its server's version and the stream that goes on

  Scenario: a stream is taken up at its host before its first connection has ended
    When a stream is taken up at the same host, and its first answer ends before the second
    Then the second answer is taken up at another host
