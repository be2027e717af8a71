Feature: allocation of a pool's slots to the hosts of a fleet

  Scenario Outline: a fleet leaves no slot unused while requests wait
    Given a fleet of 7 hosts and 6 engines of <slots> slots, <variant>
    When the fleet gets 60 gold requests at 1 s on hosts "<hosts>"
    Then the fleet has every slot in use at 1.5 s: <verdict>

    Examples:
      | slots | variant           | hosts         | verdict |
      | 4     | as built          | 0             | yes     |
      | 4     | as built          | 6             | yes     |
      | 4     | as built          | 1 4           | yes     |
      | 4     | as built          | 0 1 2 3 4 5 6 | yes     |
      | 1     | as built          | 0             | yes     |
      | 1     | as built          | 6             | yes     |
      | 1     | as built          | 0 1 2 3 4 5 6 | yes     |
      | 4     | without hand-back | 6             | no      |
      | 1     | without hand-back | 6             | no      |

  Scenario Outline: a fleet starts a higher tier before a lower one on every host
    Given a fleet of 7 hosts and 6 engines of 4 slots, <variant>
    When the fleet gets 600 iron requests at 0 s on hosts "1 2 3 4 5 6"
    And the fleet gets 6 gold requests at 5 s on hosts "0"
    Then the fleet starts no iron between 5.1 s and the last gold start: <verdict>

    Examples:
      | variant       | verdict |
      | as built      | yes     |
      | without floor | no      |

  Scenario Outline: a fleet starves no class under a load of 4 times its capacity in a higher tier
    Given a fleet of 7 hosts and 6 engines of 4 slots, <variant>
    When the fleet gets gold requests for 4 times its capacity from 0 s to 90 s
    And the fleet gets an iron request each second from 0 s to 90 s
    Then the fleet gives iron 5% to 15% of its slots from 10 s to 90 s: <verdict>
    And the fleet starts an iron request at least every 20 s from 0 s to 90 s: <verdict>

    Examples:
      | variant         | verdict |
      | as built        | yes     |
      | without minimum | no      |

  Scenario Outline: a burst of one organisation at one host does not delay the others in a fleet
    Given a fleet of 7 hosts and 6 engines of 4 slots, <variant>
    When the fleet gets 600 iron requests at 0 s on hosts "0"
    And the fleet gets 8 iron requests of a at 5 s on hosts "2 5"
    Then the fleet starts all requests of a within 12 s: <verdict>

    Examples:
      | variant        | verdict |
      | as built       | yes     |
      | without shares | no      |

  Scenario Outline: a fleet stays within its slots through faults, and recovers
    Given a fleet of 7 hosts and 6 engines of 4 slots, as built
    And the fleet has <fault> from 5 s to 15 s
    When the fleet gets gold requests for 1 times its capacity from 0 s to 60 s
    And the fleet gets 600 iron requests at 0 s on hosts "0 1 2 3 4 5 6"
    Then the fleet has at most <most> times its slots in use up to 60 s
    And the fleet has no more than its slots in use from 12 s to 15 s and from 25 s to 60 s
    And the fleet starts work on every host from 8 s to 15 s
    And the fleet uses all its slots and no more at 50 s

    Examples:
      | fault                              | most |
      | links that lose 30 of 100 messages | 1.0  |
      | links that delay messages by 0.5 s | 1.0  |
      | no allocator                       | 1.4  |
      | a paused allocator                 | 1.4  |
      | two allocators                     | 1.4  |
      | a host cut off                     | 1.0  |
      | a restarted allocator              | 1.0  |

  Scenario Outline: a fleet's slots are never granted twice over random messages
    Then a fleet of 3 hosts with accounts <variant> keeps within slots over random messages: <verdict>

    Examples:
      | variant                        | verdict |
      | as built                       | yes     |
      | that ignore unconfirmed grants | no      |
