Feature: a stream goes on only at the version of the servers' software that began it

  Scenario: the log tells at which version a stream goes on
    Given 3 fronts and servers of versions v1, v1.1, v1, v1.1
    When 1 callers read two events at the first front and take their streams up at another host
    Then the explanation of its second try tells its server's version and the stream that goes on
