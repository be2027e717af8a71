Feature: hosts agree on the live members despite failures

  Scenario Outline: seven hosts in three data centres recover from a fault
    Given the membership of 7 hosts, <variant>
    When the membership faces <fault>
    Then the membership <result>

    Examples: as implemented
      | variant        | fault                                               | result                               |
      | as implemented | no fault                                            | agrees, none suspected               |
      | as implemented | a twentieth of all messages lost                    | agrees, none dead                    |
      | as implemented | one link cut                                        | agrees, none suspected               |
      | as implemented | a host killed                                       | agrees without it                    |
      | as implemented | a host killed with a twentieth lost                 | agrees without it                    |
      | as implemented | two hosts killed together                           | agrees without them                  |
      | as implemented | a host killed and restarted at once                 | agrees on the new one                |
      | as implemented | a host restarted with its clock an hour back        | agrees on the new one                |
      | as implemented | a host frozen for half a minute                     | agrees, only it was suspected        |
      | as implemented | a host frozen while it suspects another             | agrees, only it was suspected        |
      | as implemented | two hosts that disagree about a third               | agrees                               |
      | as implemented | a partition of two minutes                          | agrees                               |
      | as implemented | a host that leaves                                  | agrees without it, not suspected     |
      | as implemented | a list with addresses of stopped hosts              | agrees, none suspected               |
      | as implemented | a late claim about a restarted host's old process   | agrees on the new one, none reverted |
      | as implemented | other messages that take half the byte budget       | agrees, none dead                    |
      | as implemented | other messages that take five times the byte budget | agrees, none dead                    |

    Examples: variants without one mechanism fail
      | variant                 | fault                                               | result                 |
      | without reserved bytes  | other messages that take five times the byte budget | suspects a live host   |
      | without indirect probes | one link cut                                        | suspects a live host   |
      | without refutation      | two hosts that disagree about a third               | does not agree         |
      | without recontact       | a partition of two minutes                          | does not agree         |
      | without stall check     | a host frozen while it suspects another             | suspects others        |
      | without incarnations    | a late claim about a restarted host's old process   | reverts to the old one |

  Scenario Outline: 28 hosts that start together on 2 KB/s each do not declare each other dead
    Given the membership of 28 hosts, <variant>
    When the membership faces a start of all at once on a tight budget
    Then the membership <result>

    Examples:
      | variant             | result               |
      | as implemented      | agrees, none dead    |
      | shedding heartbeats | suspects a live host |

  Scenario Outline: updates reach 390 hosts in 10 data centres within the budget of 2 KB/s
    Given the membership of 390 hosts, as implemented
    When the membership spreads <updates> with <loss> lost
    Then the membership reaches all hosts within <limit_s> s at 2048 bytes/s per host

    Examples:
      | updates       | loss | limit_s |
      | no updates    | 0    | 3       |
      | new revisions | 0    | 3       |
      | new revisions | 0.02 | 3       |
      | notices       | 0.02 | 3       |
      | a death       | 0.02 | 5.4     |

  Scenario: without pushes a new revision spreads too slowly
    Given the membership of 390 hosts, without pushes
    When the membership spreads new revisions with 0 lost
    Then the membership does not always reach all hosts within 3 s

  Scenario: the heartbeats that a host sends do not grow with the host count
    Given the membership of 7 hosts, as implemented
    Then the membership of 7 and of 120 hosts sends as many messages per host

  Scenario: every host finds the same owner, and a death moves only the keys of the dead host
    Given the membership of 7 hosts, as implemented
    Then the membership has one owner per key on all hosts, also after a host died
