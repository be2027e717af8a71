Feature: a request is held by one attempt, forward or wait at a time

  Scenario Outline: a front finds that it is cut off as <what>
    Given 4 fronts, of which the first finds that it is cut off as <what>
    When its caller sends a <kind> request to it
    Then the caller gets status <status>
    And servers ran it at most once, and it was forwarded <forwards> times

    Examples:
      | what                              | kind   | status | forwards |
      | a connection to a server fails    | single | 200    | 1        |
      | a connection to a server fails    | fixed  | 200    | 1        |
      | a connection to a server fails    | read   | 200    | 1        |
      | a connection to a server hangs    | single | 200    | 1        |

  Scenario Outline: a helper finds that it is cut off as the connection of a forwarded request fails
    Given 4 fronts, of which the first is cut off and the others find it as a connection to a server fails
    When its caller sends a <kind> request to it
    Then servers did not run it, and the caller gets status 503

    Examples:
      | kind   |
      | single |
      | read   |

  Scenario: a front finds that it is cut off as it asks whether a request may wait for the verdict
    Given 4 fronts and one server, of which the first finds that it is cut off as it asks
    When its caller sends a read request to it
    Then the caller gets status 200
