Feature: hosts know who is there, whatever fails between them

  Scenario Outline: seven hosts in three data centres agree again after a fault
    Given the membership of 7 hosts, <variant>
    When the membership meets <fault>
    Then the membership <verdict>

    Examples: as it is
      | variant | fault                                       | verdict              |
      | as is   | no fault                                    | agrees, none blamed  |
      | as is   | a twentieth of all messages lost            | agrees, none dead    |
      | as is   | one link cut                                | agrees, none blamed  |
      | as is   | a host killed                               | agrees without it    |
      | as is   | a host killed with a twentieth lost         | agrees without it    |
      | as is   | two hosts killed together                   | agrees without them  |
      | as is   | a host killed and restarted at once         | agrees on the new one |
      | as is   | a host restarted with its clock an hour back | agrees on the new one |
      | as is   | a host frozen for half a minute             | agrees, only it was blamed |
      | as is   | a host frozen while it suspects another     | agrees, only it was blamed |
      | as is   | two hosts that disagree about a third       | agrees               |
      | as is   | halves cut off from each other for two minutes | agrees            |
      | as is   | a host that leaves                          | agrees without it, not suspected |
      | as is   | a list that names hosts long gone           | agrees, none blamed  |
      | as is   | late word of a restarted host's old process | agrees on the new one, none went back |

      | as is   | other messages that take half the byte budget | agrees, none dead    |
      | as is   | other messages that take five times the byte budget | agrees, none dead |

    Examples: how it fails without the mechanism
      | variant              | fault                                          | verdict         |
      | without reserved bytes | other messages that take five times the byte budget | blames |
      | without helpers      | one link cut                                   | blames          |
      | without refutation   | two hosts that disagree about a third          | does not agree  |
      | without recontact    | halves cut off from each other for two minutes | does not agree  |
      | without stall check  | a host frozen while it suspects another        | blames others   |
      | without incarnations | late word of a restarted host's old process    | goes back       |

  Scenario Outline: twenty-eight hosts that start together on 2 KB/s each stay calm
    Given the membership of 28 hosts, <variant>
    When the membership meets a start of all at once on a tight budget
    Then the membership <verdict>

    Examples:
      | variant               | verdict             |
      | as is                 | agrees, none dead   |
      | shedding heartbeats   | blames              |

  Scenario Outline: news reaches 390 hosts in 10 data centres within the budget of 2 KB/s
    Given the membership of 390 hosts, as is
    When the membership has <news> with <loss> lost
    Then the membership of all has it within <limit_s> s at 2048 bytes a second a host

    Examples:
      | news          | loss | limit_s |
      | no news       | 0    | 3       |
      | new revisions | 0    | 3       |
      | new revisions | 0.02 | 3       |
      | notices       | 0.02 | 3       |
      | a death       | 0.02 | 5.4     |

  Scenario: without pushes a new revision comes too late
    Given the membership of 390 hosts, without pushes
    When the membership has new revisions with 0 lost
    Then the membership of all does not always have it within 3 s

  Scenario: heartbeats a host sends do not grow with the host count
    Given the membership of 7 hosts, as is
    Then the membership of 7 and of 120 hosts sends as many messages a host

  Scenario: every host finds the same owner, and a death moves only what the dead owned
    Given the membership of 7 hosts, as is
    Then the membership has one owner a key on all hosts, also after a host died
