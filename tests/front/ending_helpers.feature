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
