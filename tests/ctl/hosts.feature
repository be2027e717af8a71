Feature: redwingctl status, drain and release ask the daemons and tell what failed

  Background:
    Given the hosts' daemons
      | host    | data_centre | revision | ready | attained | missed | engine-1 | case               |
      | entry-1 | clyde       | 7        | yes   | 90       | 10     | serving  | f1 suspect 50      |
      | entry-2 | clyde       | 6        | yes   | 9        | 1      | ejected  | f1 quarantined 500 |
      | entry-3 | forth       | 7        | no    | 0        | 0      | serving  |                    |

  Scenario: status sums all hosts
    When the hosts' operator runs "status {hosts}"
    Then the hosts' exit code is 0 and the output has
      | words                                                              |
      | 3 hosts answered, 0 did not                                        |
      | not ready: entry-3                                                 |
      | in flight: 6                                                       |
      | crew                        99        11    90.00%         3       |
      | hosts (NOT the same everywhere)                                    |
      | clyde                   6 to 7  entry-1, entry-2                   |
      | engine-1        desk-model           2  serving (2), ejected (1)   |
      | f1  quarantined  500 s left  engine-1                              |

  Scenario: status in JSON
    When the hosts' operator runs "status {hosts} --json"
    Then the hosts' JSON has "converged" false, "in_flight" 6 and 3 hosts

  Scenario Outline: faults are told in one line and by exit code
    When the hosts' operator runs "<command>"
    Then the hosts' exit code is <code> and the output has
      | words   |
      | <words> |

    Examples:
      | command                                      | code | words                               |
      | status                                       | 2    | --host: expected a daemon's IP:port |
      | status {hosts} --host 127.0.0.1:1            | 4    | 127.0.0.1:1: out of reach           |
      | status {hosts} --host 127.0.0.1:1            | 4    | 3 hosts answered, 1 did not         |
      | status --host nonsense://x                   | 4    | no address of a daemon              |
      | status {hosts} --key-file /nowhere           | 2    | /nowhere: --key-file: expected a    |
      | status {locked}                              | 1    | the operators' key is needed        |
      | status {garbled}                             | 1    | no JSON; is it a daemon?            |
      | drain                                        | 2    | --host: expected the hosts to drain |
      | drain engine-1 {hosts}                       | 0    | engine-1 draining                   |
      | drain engine-9 {hosts}                       | 1    | engine-9 not drained                |
      | drain {hosts}                                | 0    | host draining                       |
      | release f1 {hosts}                           | 0    | f1 released by                      |
      | release f9 {hosts}                           | 1    | f9 is not in quarantine             |
      | release f1 --host 127.0.0.1:1                | 4    | out of reach                        |
