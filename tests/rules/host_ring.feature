Feature: hosts agree on who holds a key, at a cost that does not grow with the hosts

  Scenario Outline: each key has its own holders, spread over all hosts
    Given a ring of <hosts> hosts
    Then 3000 keys have 3 different holders each, the same on a ring built in another order
    And no host holds more than <times> times the mean

    Examples:
      | hosts | times |
      | 3     | 1.01  |
      | 7     | 2.5   |
      | 195   | 4     |

  Scenario: a host that is lost moves only what it held
    Given a ring of 20 hosts
    When a host is lost
    Then each key keeps its other holders

  Scenario: fewer hosts than holders
    Given a ring of 2 hosts
    Then 10 keys have 2 different holders each, the same on a ring built in another order
    Given a ring of 0 hosts
    Then 10 keys have 0 different holders each, the same on a ring built in another order

  Scenario: hosts that differ on who is alive still find what others hold
    Given a ring of 30 hosts
    And another host that does not know 2 of them and knows 2 that are new
    Then of 3000 keys, 5 successors on its ring hold one of the 3 holders for all but 1 in 100
