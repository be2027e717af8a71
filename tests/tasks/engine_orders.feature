Feature: a daemon gives an engine the orders that the table wants

  Scenario: an adapter and a role set in the table come to the engine, once
    Given a deployment whose table wants an adapter and a role of its first engine
    Then the deployment's first engine gets the adapter and the role with fencing number 1
    And the deployment's second engine gets no order
    And the deployment's lease on orders goes back
