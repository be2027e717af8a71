Feature: connections to backend servers are cheap to keep

  Scenario: requests one after another use one connection
    Given an engine client of a small deployment
    When the engine client makes 20 calls one after another
    Then the engine client opened 1 connection
    And the engine client's transport finds the event loop's library without a search

  Scenario Outline: a prefix block's KV cache is moved from one engine to another
    Given an engine client of a small deployment
    When the engine client moves <what> to another engine
    Then the engine client is told <told>, and the other engine holds it: <held>

    Examples:
      | what                      | told        | held |
      | a block the engine holds  | taken       | yes  |
      | a block it does not hold  | nothing     | no   |
      | spoiled bytes             | not taken   | no   |
