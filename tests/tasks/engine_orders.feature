Feature: a daemon sends an engine the orders that the table requires

  Scenario: an adapter and a role set in the table reach the engine exactly once
    Given a deployment whose table sets an adapter and a role for its first engine
    Then the deployment's first engine gets the adapter and the role with fencing number 1
    And the deployment's second engine gets no order
    And the deployment's lease on orders is released
