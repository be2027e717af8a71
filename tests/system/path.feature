Feature: the whole path, as separate processes

  Scenario: each class gets whole, right answers through each of three daemons
    Given a system of 3 daemons, 2 engines and 1 service, as processes
    Then the system answers a request of each class through each daemon, whole and right
    And the system runs each call of the service once, also when it is sent again to another daemon
    And the system's daemons all have the table's revision 1 in force
    And the system ends with no request cut when its daemons are asked to stop under way
