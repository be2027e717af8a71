Feature: a host that is out of step does not go on with a stream at another version

  Scenario Outline: a host is <how> while servers of a new version join
    Given 3 fronts and servers of versions v1, v1
    When the last host is <how>, servers of v2 join, and streams begun there are taken up <named>
    Then no caller got events of two versions
    And every stream taken up was continued whole or refused with a time to return

    Examples:
      | how                                   | named          |
      | cut off from the store                | by name        |
      | cut off from the store                | without a name |
      | cut off from the hosts                | by name        |
      | cut off from the hosts                | without a name |
      | cut off from the store and the hosts  | by name        |
      | cut off from the store and the hosts  | without a name |
      | standing still                        | by name        |
      | standing still                        | without a name |
      | standing still for a moment           | by name        |
      | standing still for a moment           | without a name |

  Scenario: a helper that is cut off from the store gets a stream to go on with
    Given 3 fronts and servers of versions v1, v1
    When the last host is a helper cut off from the store, servers of v2 join, and streams begun there are taken up without a name
    Then no caller got events of two versions
    And every stream taken up was continued whole or refused with a time to return

  Scenario Outline: a server is back with a new version, and a host that is <how> does not know
    Given 3 fronts and servers of versions v1, v1
    When the last host is <how>, a server is back with v2, and streams begun there are taken up <named>
    Then no caller got events of two versions
    And every stream taken up was continued whole or refused with a time to return

    Examples:
      | how                                   | named          |
      | cut off from the store                | by name        |
      | cut off from the store                | without a name |
      | cut off from the store and the hosts  | without a name |

  Scenario Outline: servers of a new version have come and gone when a host has the store again
    Given 3 fronts and servers of versions v1, v1
    When the last host is cut off from the store until servers of v2 have left, <history>, and streams begun there are taken up <named>
    Then no caller got events of two versions
    And every stream taken up was continued whole or refused with a time to return

    Examples:
      | history                         | named          |
      | the store tells all changes     | without a name |
      | the store has dropped some      | without a name |
      | the store has dropped some      | by name        |

  Scenario: hosts that are in step go on with streams that are not named
    Given 3 fronts and servers of versions v1, v1
    When 4 s pass, and 4 callers take their streams up at each host without a name
    Then every caller got its whole stream
    And the streams of a host were taken up within 300 ms, with 2 questions to the store at most

  Scenario Outline: a stream that is not named, when its route <change> to another service
    Given 3 fronts and servers of versions v1, v1
    When the route of streams <change> to another service of v2, and streams begun there are taken up at <where>
    Then no caller got events of two versions
    And every stream taken up was continued whole or refused with a time to return

    Examples:
      | change   | where                                       |
      | is split | a host in step                              |
      | is moved | a host in step                              |
      | is moved | a host cut off from the store               |
      | is moved | a host cut off from the store and the hosts |
