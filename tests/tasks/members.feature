Feature: hosts find each other over real sockets

  Scenario Outline: hosts agree on the members
    Given the members on 5 hosts
    When the members experience <event>
    Then the members are <verdict>

    Examples:
      | event                                           | verdict        |
      | nothing                                         | all alive      |
      | a host that stops                               | all but it     |
      | a host that announces that it leaves            | all but it     |
      | a host restarted at another port                | all alive      |
      | a host restarted with its clock back an hour    | all alive      |
      | a newcomer that knows only the platform's list  | all alive      |
      | a newcomer whose list also names stopped hosts  | all alive      |
      | a stranger with another key                     | all alive      |
      | a partition until both parts are declared dead  | all alive      |
      | a newcomer that starts with the platform down   | all alive      |

  Scenario: a host whose clock went back is never accepted again without a raised incarnation
    Given the members on 5 hosts
    When the members experience a host with its clock back and no raised incarnation
    Then the members are never all alive

  Scenario: a notice reaches every host, and hosts that start later
    Given the members on 5 hosts
    When the members announce a notice on one host
    Then the members have the notice on every host
    And the members have the notice on a host that starts later

  Scenario Outline: demands show that a host is alive
    Given the members on two hosts that know each other
    When for 5 s they lose their heartbeats and <get>
    Then <verdict> host suspects the other

    Examples:
      | get                      | verdict |
      | get each other's demands | no      |
      | get nothing              | each    |
