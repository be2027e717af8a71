Feature: a host decides whether it is cut off from a pool or the pool's servers are down

  Scenario Outline: <evidence>, <probes>, and other hosts <others>
    Given a host that was answered by 3 servers until 10 s
    When from then on <evidence>, <probes>, and other hosts <others>
    Then the host <ends> by <by> s

    Examples:
      | evidence                   | probes        | others         | ends            | by   |
      | connections fail           | probes fail   | hear from them | is cut off      | 11.0 |
      | connections fail           | probes fail   | only claim it  | is cut off      | 11.0 |
      | connections fail           | probes fail   | hear nothing   | stays in doubt  | 20.0 |
      | connections fail           | probes answer | hear from them | stays reaching  | 20.0 |
      | no byte comes              | probes fail   | hear from them | is cut off      | 12.0 |
      | no byte comes              | probes fail   | hear nothing   | stays in doubt  | 20.0 |
      | no byte comes for 1.2 s    | probes fail   | hear nothing   | stays reaching  | 20.0 |
      | only new connections hang  | probes fail   | hear from them | is cut off      | 11.5 |
      | one server fails           | probes answer | hear from them | stays reaching  | 20.0 |

  Scenario: servers that go down while other hosts read what they sent 0.2 s late are no cut
    Given a host that was answered by 3 servers until 10 s
    When the servers go down, and other hosts read until 10.3 s what came before
    Then the host never believes to be cut off

  Scenario: the silence of a process that was suspended is no evidence
    Given a host that was answered by 3 servers until 10 s
    When it is suspended from 10 s to 15 s with requests in flight
    Then it has no doubt at 15.1 s

  Scenario: two probes that answer end a cut, and one that fails between them does not
    Given a host that is cut off
    When its probes answer, fail, answer and answer
    Then it is cut off until the last one

  Scenario: a host whose fellows are cut off too is in doubt again
    Given a host that is cut off
    When no other host hears from the servers for 3.1 s
    Then the host is in doubt
