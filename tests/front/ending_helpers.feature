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
