Feature: connections to backend servers are cheap to keep

  Scenario: requests one after another use one connection
    Given an engine client of a small deployment
    When the engine client makes 20 calls one after another
    Then the engine client opened 1 connection
    And the engine client's transport finds the event loop's library without a search
