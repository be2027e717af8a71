Feature: an accepted table is in force on every host and never reverts

  Scenario Outline: a change reaches all of 7 hosts in 3 data centres
    Given the tables of 7 hosts, <variant>
    When the tables change while <fault>
    Then the tables are <verdict>

    Examples: as it is
      | variant | fault                                        | verdict          |
      | as is   | all is well                                  | in force on all  |
      | as is   | a tenth of the messages is lost              | in force on all  |
      | as is   | messages are late and out of order           | in force on all  |
      | as is   | a link is cut                                | in force on all  |
      | as is   | the platform fails right after the change    | in force on all  |
      | as is   | one host alone reaches the platform          | in force on all  |
      | as is   | the relays of a data centre are gone         | in force on all  |
      | as is   | a member serves spoiled pages                | in force on all  |
      | as is   | the platform gives stale reads               | in force on all  |
      | as is   | three changes follow each other              | in force on all  |

    Examples: how it fails without the mechanism
      | variant           | fault                                     | verdict             |
      | without pulls     | one host alone reaches the platform       | not in force on all |
      | without polls     | one host alone reaches the platform       | not in force on all |
      | without the order of revisions | the platform gives stale reads | reverted            |

  Scenario Outline: a host that starts takes the highest revision there is, and only that
    Given the tables of 3 hosts, as is
    When the tables change twice
    And a host of the tables starts, <variant>, <fault>
    Then the tables of that host were <revisions>

    Examples:
      | variant           | fault                                      | revisions |
      | as is             | with all well                              | 3         |
      | as is             | with the platform down                     | 3         |
      | as is             | with the platform giving stale reads       | 3         |
      | as is             | with the platform down and nobody to ask   | none      |
      | as is             | with a seed that has another key           | 3         |
      | without gathering | with the platform giving stale reads       | 1,3       |

  Scenario: the table outlives a restart of all hosts one by one with the platform down
    Given the tables of 3 hosts, as is
    When the tables change twice
    And the hosts of the tables restart one by one with the platform down
    Then the tables are in force on all

  Scenario: two hosts a data centre watch the platform, however many there are
    Given the tables of 10 hosts, as is
    Then the tables keep 2 watches a data centre waiting
    And the tables keep 2 watches a data centre waiting after a watcher is gone
