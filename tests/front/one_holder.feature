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

  Scenario Outline: an unexpected error as <step> ends the request
    Given a front with one server, in mode <mode>
    When an error occurs as <step> of a <kind> request
    Then its caller gets status <status> within 1 s, and no request is left

    Examples:
      | step                      | mode   | kind   | status |
      | an attempt fails          | lost   | single | 500    |
      | an attempt is given up    | lost   | single | 500    |
      | an attempt is answered    | ok     | single | 200    |
      | an attempt's stream ends  | stream | memo   | 200    |
      | a verdict ends an attempt | ok     | single | 500    |
      | the time ends             | hang   | single | 500    |

  Scenario: a server breaks off a long refusal
    Given a front with one server, in mode long-refusal
    When the front gets a single request
    Then its caller's answer breaks off within 1 s, and no request is left

  Scenario: a helper that has no server tells it of a HEAD request, which goes to another one
    Given 4 fronts, of which the first is cut off and the others find it as a connection to a server fails
    When its caller asks it for the head of a read
    Then the caller gets a head with status 503, and it was forwarded 2 times

  Scenario Outline: a HEAD request that has run is forwarded to helpers of <release> that have no server
    Given 4 fronts, of which the first is cut off once a request has run, and the others have no server
    And the others are of <release>
    When its caller asks it for the head of a read
    Then the caller gets a head with status 502, and it was forwarded <forwards> times

    Examples:
      | release             | forwards |
      | this release        | 2        |
      | the earlier release | 1        |

  Scenario: a request that has run is forwarded to helpers that have no server
    Given 4 fronts, of which the first is cut off once a request has run, and the others have no server
    When its caller sends a read request to it
    Then the caller gets status 502, and is not told that the request did not run

  Scenario: questions whether a request waits for a verdict, or may be forwarded, change nothing
    Given 4 fronts, of which the first has evidence of a cut as a server works on a request
    When it is asked ten times whether the read request waits for a verdict, or may be forwarded
    Then it has found no cut and used no repeat

  Scenario Outline: a front finds that it is cut off as a server works on a request
    Given 4 fronts, of which the first finds that it is cut off as a server works on a request
    When its caller sends a <kind> request to it
    Then the caller gets status 200, and <servers> servers ran it

    Examples: a read request may reach two servers, one of the class once a single one
      | kind    | servers |
      | single  | 1       |
      | /once/x | 1       |
      | read    | 2       |

  # Guards against BUDGET of incident 3: a request that ran at more servers than its class allows
  Scenario: a request that found no connection, and waited for a verdict, runs at as many servers as its class allows
    Given a front with 6 servers that answer 500, the first 3 of which are not reached until a verdict is in
    When a read request comes to it
    Then 2 servers ran it, and its caller gets the error

  Scenario: a request that is forwarded adds to the retry budget once
    Given 4 fronts that have just started, of which the first is cut off
    When its caller sends a read request to it
    Then it was forwarded, and all fronts together may use a fifth of a retry
