Feature: hosts find each other over real sockets

  Scenario Outline: hosts know who is there
    Given the members on 5 hosts
    When the members meet <event>
    Then the members are <verdict>

    Examples:
      | event                                           | verdict        |
      | nothing                                         | all alive      |
      | a host that stops                               | all but it     |
      | a host that says that it leaves                 | all but it     |
      | a host restarted at another port                | all alive      |
      | a host restarted with its clock an hour back    | all alive      |
      | a newcomer that knows only the platform's list  | all alive      |
      | a newcomer whose list names hosts long gone     | all alive      |
      | a stranger with another key                     | all alive      |
      | halves cut off until they gave each other up    | all alive      |
      | the platform down from the start of a newcomer  | all alive      |

  Scenario: without raising its incarnation a host whose clock went back is never taken again
    Given the members on 5 hosts
    When the members meet a host with its clock back and its messages unchanged
    Then the members are never all alive

  Scenario: a notice reaches every host, and hosts that start later
    Given the members on 5 hosts
    When the members are told a notice on one host
    Then the members have the notice on every host
    And the members have the notice on a host that starts later

  Scenario: demands count as signs of life
    Given the members on 5 hosts
    When the members of two hosts lose their heartbeats but not their demands
    Then the members of these two do not blame each other
