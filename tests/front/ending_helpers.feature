Feature: a helper ends or freezes while it sends requests for a host that is cut off

  Scenario Outline: a forwarded <kind> request whose helper ends reaches no more servers than its class allows
    Given 3 fronts, of which the first is cut off, and servers that take their time
    When the helper that sends a <kind> request ends
    Then the caller gets status <status>, and <servers> servers ran it

    Examples:
      | kind    | status | servers |
      | single  | 502    | 1       |
      | once    | 502    | 1       |
      | read    | 200    | 2       |

  Scenario Outline: a helper that ends counts for the servers that it may have tried
    Given 3 fronts, of which the first is cut off, and servers that take their time
    And the helpers are of <release>
    When the helper that sends a read request ends as <ends>
    Then the caller gets status <status>, and <servers> servers ran it

    Examples: a read request may reach two servers, which a helper of the earlier release may both have tried
      | release             | ends                      | status | servers |
      | this release        | the first server has it   | 200    | 2       |
      | this release        | the first server has lost | 502    | 2       |
      | the earlier release | the first server has it   | 502    | 1       |
      | the earlier release | the first server has lost | 502    | 2       |

  Scenario Outline: a forwarded <kind> request whose first server fails is sent on to another one
    Given 3 fronts, of which the first is cut off, and servers that take their time
    When the first server that gets a <kind> request is in mode <mode>
    Then the caller gets status 200, and 2 servers ran it
    And the answer is complete

    Examples:
      | kind | mode   |
      | read | lost   |
      | read | error  |
      | memo | broken |

  Scenario Outline: a host that was frozen does not run a request whose <sender> has left meanwhile
    Given a front that keeps a connection to its server
    When it is frozen while a <sender> sends a <kind> request and leaves
    Then no server gets the request

    Examples:
      | sender | kind   |
      | caller | single |
      | host   | single |
      | host   | read   |
      | host   | memo   |

  Scenario Outline: a host that was frozen counts the time for which a request waited to be read
    Given a front that keeps a connection to its server
    When it is frozen for 0.6 s while a <sender> sends a <kind> request that may take <deadline> s
    Then its answer has status <status>, and the server was given <server> s at most

    Examples:
      | sender | kind   | deadline | status | server |
      | caller | single | 1.2      | 200    | 0.65   |
      | host   | single | 1.2      | 200    | 0.65   |
      | host   | read   | 1.2      | 200    | 0.65   |
      | caller | single | 0.5      | 200    | 0.001  |
      | host   | single | 0.5      | 200    | 0.001  |
      | host   | read   | 0.5      | 200    | 0.001  |
