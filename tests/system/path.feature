Feature: the complete request path, with separate processes

  Scenario: each class gets complete, correct answers through each of three daemons
    Given a system of 3 daemons, 2 engines and 1 service, as processes
    Then the system answers a request of each class through each daemon, completely and correctly
    And the system runs each call of the service once, even if it is sent again to another daemon
    And the system's daemons all have the table's revision 1 in force
    And the system completes all requests in progress when its daemons are stopped
