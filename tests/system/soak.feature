Feature: fronts keep their guarantees under random faults

  Scenario Outline: a short soak
    When the soak runs for <seconds> s with seed <seed>
    Then the soak found no violation
    And the soak's callers were served in each class

    Examples:
      | seconds | seed |
      | 5       | 7    |
      | 15      | 28   |

  Scenario: helpers end, freeze and lose their servers while they send another host's requests
    When a soak of silent cuts and forwarded requests runs for 12 s with seed 46
    Then the soak found no violation
    And the soak's callers were served in each class

  Scenario: a soak of hosts of several releases starts fronts of each of them
    Given the source code of 2 releases
    When 3 fronts of a soak start and exit for 2 s
    Then fronts of each release have started, and the fleet has counted them

  Scenario: servers rest, leave, name limits and crash by parts of prompts beside cuts
    When a soak of the newer faults runs for 6 s with seed 76
    Then the soak found no violation
    And each newer fault showed at the servers

  Scenario: clients that don't behave come and go beside all other faults
    When a soak with a crowd runs for 8 s with seed 58
    Then the soak found no violation
    And the soak's callers were served in each class
    And the crowd has come often

  Scenario Outline: the soak's checks detect each violation
    Given the records of a soak without violations
    Then the soak's checks find nothing
    When the soak's records change: <change>
    Then the soak's checks find "<violation>"

    Examples:
      | change                                            | violation |
      | a caller received the response of another request | mixed     |
      | a caller received a partial response as complete  | mixed     |
      | a stream ended as complete without its last event | order     |
      | a stream event arrived twice                      | order     |
      | a stream has events of two versions               | versions  |
      | a stream that was taken up has events of two versions | versions  |
      | a booking ran twice                               | twice     |
      | a booking answered with 503 ran                   | refused   |
      | a request ran but was never sent                  | unasked   |
      | an API key reached a server                       | unasked   |
      | a request ran long after its key was revoked      | revoked   |
      | a request reached a server long after its deadline | late      |
      | a server got more than the limit that it names    | limit     |
      | a request got no answer from a host that ran all the while | lost |
      | a request that ran got no answer on a kept connection      | lost |
      | a booking that was sent again had run before its refusal   | refused |
      | a leaving server got a request sent long after its word    | leaving |
      | a server that rests got 3 requests from a host             | rest |
      | a stream runs on at the server before                      | overlap |
      | a request runs at two servers                              | overlap |
      | a host goes on with a run after it was suspended           | overlap |
      | a host was suspended before the stream was taken up        | overlap |
      | a host that is in touch goes on with a run while others are suspended | overlap |
