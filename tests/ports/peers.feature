Feature: the control socket accepts only fresh messages from peers

  Scenario Outline: a datagram is accepted, or dropped and counted
    Given a peer socket <variant>
    When the peer socket receives <datagram>
    Then the peer socket counts the last one as <verdict>

    Examples: valid messages
      | variant | datagram                             | verdict  |
      | as is   | a first message                      | accepted |
      | as is   | a message out of order               | accepted |
      | as is   | a message of a restarted sender      | accepted |
      | as is   | a message sealed with the second key | accepted |

    Examples: messages that must be dropped
      | variant | datagram                                     | verdict  |
      | as is   | the same message again                       | replay   |
      | as is   | a message below the replay window            | replay   |
      | as is   | a message from before a restart              | replay   |
      | as is   | a message sealed with a removed key          | stranger |
      | as is   | a message sealed with an unknown key         | stranger |
      | as is   | a message to another host                    | stranger |
      | as is   | a tampered message                           | stranger |
      | as is   | a truncated message                          | stranger |
      | as is   | an empty datagram                            | stranger |
      | as is   | a sealed payload that is no envelope         | garbage  |
      | as is   | a message with the host's own name as sender | garbage  |
      | as is   | a message from a cut-off host                | cut      |

    Examples: without its mechanism an invalid message is accepted
      | variant                   | datagram                        | verdict  |
      | without replay windows    | the same message again          | accepted |
      | without replay windows    | a message from before a restart | accepted |
      | without recipient binding | a message to another host       | accepted |

  Scenario: rotating keys loses no message
    Given a peer socket as is
    When the peer sockets rotate from key 1 to key 2 step by step
    Then the peer sockets open every message during the rotation

  Scenario: secrets appear neither in the settings' nor in the key ring's representation
    Given a peer socket as is
    Then the peer socket's representation contains no secret

  Scenario Outline: faults are injected at the socket
    Given a peer socket as is
    And the peer socket's faults are <faults>
    When the peer socket sends 200 messages
    Then the peer socket's remote end receives between <least> and <most> of them

    Examples:
      | faults            | least | most |
      | none              | 200   | 200  |
      | a cut             | 0     | 0    |
      | loss of a quarter | 120   | 180  |
      | jitter            | 200   | 200  |

  Scenario Outline: heartbeats are shed first, allocations never
    Given a peer budget of 1000 bytes per second
    When the peer budget is charged <messages> within one second
    Then the peer budget allows <heartbeats> heartbeats and <others> others

    Examples:
      | messages                      | heartbeats | others |
      | 10 heartbeats                 | 10         | 0      |
      | 40 heartbeats                 | 20         | 0      |
      | 100 others then 40 heartbeats | 12         | 100    |
