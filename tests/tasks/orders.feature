Feature: engines get their orders from one host at a time

  Scenario: missing state is ordered, and the lease is released
    Given orders of hosts a and b for 3 engines without model, adapter and role
    When the orders of host a run for 60 s
    Then the orders' engines have the model, the adapter and the role
    And the orders' lease is released and its number is 1
    And the orders sent are 9, none of them twice

  Scenario: if nothing is missing the platform is not called
    Given orders of hosts a and b for 3 engines with model, adapter and role
    When the orders of host a run for 60 s
    Then the orders' platform received no call

  Scenario: two hosts that both rank themselves first
    Given orders of hosts a and b for 3 engines without model, adapter and role
    When the orders of hosts a and b run for 60 s alternately
    Then the orders' engines have the model, the adapter and the role
    And the orders sent are 9, none of them twice

  Scenario Outline: the weight store's rate limit is respected
    Given orders of hosts a and b for 30 engines without model, adapter and role
    When the orders of hosts a and b run for <seconds> s alternately
    Then the orders to load were at most <loads>

    Examples:
      | seconds | loads |
      | 10      | 11    |
      | 30      | 31    |

  Scenario: an unanswered order is sent again, a load only after its longer interval
    Given orders of hosts a and b for 1 engines without model, adapter and role
    When the orders' engines receive nothing for 100 s while the orders of host a run
    Then the orders to load were 1 for each name, and to change the role more than 10
    When the orders of host a run for 200 s
    Then the orders' engines have the model, the adapter and the role

  Scenario: the platform is down
    Given orders of hosts a and b for 3 engines without model, adapter and role
    When the orders' platform is down and the orders of host a run for 60 s
    Then the orders sent are 0, none of them twice
    When the orders' platform is back and the orders of host a run for 60 s
    Then the orders' engines have the model, the adapter and the role

  Scenario Outline: a holder frozen past its term
    Given orders of hosts a and b for 1 engines whose fencing is <fencing>
    When the orders' host a freezes <moment> for <seconds> s while b wants role "decode"
    Then the orders' engine accepted <accepted> orders of a after those of b
    And the orders' engine ends with role "decode"

    Examples:
      | fencing | moment           | seconds | accepted |
      | checked | before its check | 60      | 0        |
      | ignored | before its check | 60      | 0        |
      | checked | after its check  | 60      | 0        |
      | ignored | after its check  | 60      | 1        |

  Scenario Outline: without the mechanism the guarantee fails
    Given orders of hosts a and b for 1 engines whose fencing is ignored
    And the orders lack <mechanism>
    When the orders' host a freezes <moment> for 60 s while b wants role "decode"
    Then the orders' engine <end>

    Examples:
      | mechanism        | moment           | end                                     |
      | the clock check  | before its check | accepted 1 orders of a after those of b |
      | level triggering | after its check  | does not end with role "decode"         |

  Scenario: a host that was suspended sends no orders on a lease that has run out
    Given a host that holds the lease of a pool's orders
    When the host is suspended for 20 s, which its monotonic clock does not count
    Then the host no longer acts on the lease
