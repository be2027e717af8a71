Feature: only fresh messages of peers are taken at the control socket

  Scenario Outline: a datagram is taken or dropped and counted
    Given a peer socket <variant>
    When the peer socket gets <datagram>
    Then the peer socket counts the last one as <verdict>

    Examples: what peers send
      | variant | datagram                              | verdict   |
      | as is   | a first message                       | taken     |
      | as is   | a message out of order                | taken     |
      | as is   | a message of a restarted sender       | taken     |
      | as is   | a message sealed with the second key  | taken     |

    Examples: what it must not take
      | variant | datagram                              | verdict   |
      | as is   | the same message again                | replay    |
      | as is   | a message far behind                  | replay    |
      | as is   | a message from before a restart       | replay    |
      | as is   | a message sealed with a removed key   | stranger  |
      | as is   | a message sealed with a stranger's key | stranger |
      | as is   | a message to another host             | stranger  |
      | as is   | an altered message                    | stranger  |
      | as is   | a message cut short                   | stranger  |
      | as is   | an empty datagram                     | stranger  |
      | as is   | a sealed text that is no message      | garbage   |
      | as is   | a message under our own name          | garbage   |
      | as is   | a message from a cut-off host         | cut       |

    Examples: how it fails without the mechanism
      | variant                   | datagram                        | verdict |
      | without replay windows    | the same message again          | taken   |
      | without replay windows    | a message from before a restart | taken   |
      | without recipient binding | a message to another host       | taken   |

  Scenario: keys are rotated with no message lost
    Given a peer socket as is
    When the peer sockets rotate from key 1 to key 2 step by step
    Then the peer sockets lost nothing on the way

  Scenario: a secret shows neither in the settings nor in the key ring
    Given a peer socket as is
    Then the peer socket shows no secret

  Scenario Outline: faults made at the socket
    Given a peer socket as is
    And the peer socket's faults are <faults>
    When the peer socket sends 200 messages
    Then the peer socket's far end gets between <least> and <most> of them

    Examples:
      | faults            | least | most |
      | none              | 200   | 200  |
      | a cut             | 0     | 0    |
      | loss of a quarter | 120   | 180  |
      | jitter            | 200   | 200  |

  Scenario Outline: heartbeats are shed first and allocations never
    Given a peer budget of 1000 bytes a second
    When the peer budget is asked for <messages> in one second
    Then the peer budget allows <heartbeats> heartbeats and <others> others

    Examples:
      | messages                       | heartbeats | others |
      | 10 heartbeats                  | 10         | 0      |
      | 40 heartbeats                  | 20         | 0      |
      | 100 others then 40 heartbeats  | 12         | 100    |
