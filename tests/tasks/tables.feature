Feature: an accepted table is in force on every host and never reverts

  Scenario Outline: a change reaches all of 7 hosts in 3 data centres
    Given the tables of 7 hosts, <variant>
    When the tables change while <fault>
    Then the tables are <verdict>

    Examples: as it is
      | variant | fault                                        | verdict          |
      | as is   | nothing fails                                | in force on all  |
      | as is   | a tenth of the messages is lost              | in force on all  |
      | as is   | messages are late and out of order           | in force on all  |
      | as is   | a link is cut                                | in force on all  |
      | as is   | the platform fails right after the change    | in force on all  |
      | as is   | only one host reaches the platform           | in force on all  |
      | as is   | a relay of a data centre stops               | in force on all  |
      | as is   | a member serves corrupt pages                | in force on all  |
      | as is   | the platform gives stale reads               | in force on all  |
      | as is   | three changes follow each other              | in force on all  |

    Examples: how it fails without the mechanism
      | variant           | fault                                     | verdict             |
      | without pulls     | only one host reaches the platform        | not in force on all |
      | without polls     | only one host reaches the platform        | not in force on all |
      | without the order of revisions | the platform gives stale reads | reverted            |

  Scenario Outline: a host that starts takes the highest revision there is, and only that
    Given the tables of 3 hosts, as is
    When the tables change twice
    And a host of the tables starts, <variant>, <fault>
    Then the tables of that host were <revisions>

    Examples:
      | variant           | fault                                      | revisions |
      | as is             | without a fault                            | 3         |
      | as is             | with the platform down                     | 3         |
      | as is             | with the platform giving stale reads       | 3         |
      | as is             | with the platform down and no known host   | none      |
      | as is             | with a seed that has another key           | 3         |
      | without the wait  | with the platform giving stale reads       | 1,3       |

  Scenario: the table survives a restart of all hosts one by one with the platform down
    Given the tables of 3 hosts, as is
    When the tables change twice
    And the hosts of the tables restart one by one with the platform down
    Then the tables are in force on all

  Scenario: two hosts per data centre watch the platform, whatever the number of hosts
    Given the tables of 10 hosts, as is
    Then the tables keep 2 watches per data centre open
    And the tables keep 2 watches per data centre open after a watching host stops
