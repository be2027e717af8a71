Feature: redwingctl status, drain and release query the daemons and report errors

  Background:
    Given these daemons
      | host    | data_centre | revision | ready | attained | missed | engine-1 | case               |
      | entry-1 | clyde       | 7        | yes   | 90       | 10     | serving  | f1 suspect 50      |
      | entry-2 | clyde       | 6        | yes   | 9        | 1      | ejected  | f1 quarantined 500 |
      | entry-3 | forth       | 7        | no    | 0        | 0      | serving  |                    |

  Scenario: status aggregates all hosts
    When the operator runs "status {hosts}"
    Then the exit code is 0 and the output contains
      | text                                                             |
      | 3 hosts answered, 0 did not                                      |
      | not ready: entry-3                                               |
      | in flight: 6                                                     |
      | crew                        99        11    90.00%         3     |
      | hosts (NOT the same everywhere)                                  |
      | clyde                   6 to 7  entry-1, entry-2                 |
      | engine-1        desk-model           2  serving (2), ejected (1) |
      | f1  quarantined  500 s left  engine-1                            |

  Scenario: status prints JSON
    When the operator runs "status {hosts} --json"
    Then the JSON output has "converged" false, "in_flight" 6 and 3 hosts

  Scenario Outline: errors are reported on one line and by the exit code
    When the operator runs "<command>"
    Then the exit code is <code> and the output contains
      | text   |
      | <text> |

    Examples:
      | command                            | code | text                                |
      | status                             | 2    | --host: expected a daemon's IP:port |
      | status {hosts} --host 127.0.0.1:1  | 4    | 127.0.0.1:1: unreachable            |
      | status {hosts} --host 127.0.0.1:1  | 4    | 3 hosts answered, 1 did not         |
      | status --host nonsense://x         | 4    | invalid daemon address              |
      | status {hosts} --key-file /nowhere | 2    | /nowhere: --key-file: expected a    |
      | status {locked}                    | 1    | the operators' key is needed        |
      | status {garbled}                   | 1    | without JSON; is it a daemon?       |
      | drain                              | 2    | --host: expected the hosts to drain |
      | drain engine-1 {hosts}             | 0    | engine-1 draining                   |
      | drain engine-9 {hosts}             | 1    | engine-9 not drained                |
      | drain {hosts}                      | 0    | host draining                       |
      | release f1 {hosts}                 | 0    | f1 released by                      |
      | release f9 {hosts}                 | 1    | f9 is not quarantined               |
      | release f1 --host 127.0.0.1:1      | 4    | unreachable                         |
