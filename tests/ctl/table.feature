Feature: redwingctl reads and changes the table

  Scenario: import, get, set, remove, diff, history and export
    Given a simulated platform and a folder of sheets
    When redwingctl runs "table import FOLDER --author huda"
    Then the exit code is 0 and stdout contains "accepted as revision 1"
    When redwingctl runs "table get classes memo"
    Then the exit code is 0 and stdout contains "memo,3,4000,80,1,0.1,0,30"
    When redwingctl runs "table set classes memo tier=2 weight=3 --author calum"
    Then the exit code is 0 and stdout contains "accepted as revision 2"
    When redwingctl runs "table diff --old 1 --new 2"
    Then the exit code is 0 and stdout contains "classes: row memo: column tier: 3 -> 2"
    When redwingctl runs "table diff FOLDER"
    Then the exit code is 0 and stdout contains "classes: row memo: column weight: 3 -> 1"
    When redwingctl runs "table remove backend_servers runner-2"
    Then the exit code is 0 and stdout contains "accepted as revision 3"
    When redwingctl runs "table history"
    Then the exit code is 0 and stdout contains "calum"
    When redwingctl runs "table get classes --revision 1 --json"
    Then the exit code is 0 and stdout contains ""tier": "3""
    When redwingctl runs "table export OTHER"
    Then the exit code is 0 and stdout contains "revision 3 written"
    When redwingctl runs "check OTHER"
    Then the exit code is 0 and stdout contains "no errors"

  Scenario: an edited export is merged with changes made by others
    Given a simulated platform and a folder of sheets
    When redwingctl runs "table import FOLDER"
    And redwingctl runs "table export OTHER"
    And redwingctl runs "table set classes question token_ms=60"
    And the file OTHER/classes.csv has "memo,4" in place of "memo,3"
    And redwingctl runs "table import OTHER"
    Then the exit code is 0 and stdout contains "accepted as revision 3"
    When redwingctl runs "table get classes"
    Then the exit code is 0 and stdout contains "question,1,800,60"
    And the exit code is 0 and stdout contains "memo,4,4000"
    When redwingctl runs "table set classes memo tier=5"
    And the file OTHER/classes.csv has "memo,6" in place of "memo,4"
    And redwingctl runs "table import OTHER"
    Then the exit code is 3 and stderr contains "column tier: you set 6, another operator set 5 (it was 3)"

  Scenario Outline: errors are printed on one line each with their location, and set the exit code
    Given a simulated platform and a folder of sheets
    When redwingctl runs "table import FOLDER"
    And redwingctl runs "<command>"
    Then the exit code is <code> and stderr contains "<line>"
    And each error is printed on one line

    Examples:
      | command                             | code | line                                                    |
      | table set classes memo tier=none    | 2    | classes: row memo: column tier: expected a tier         |
      | table set classes memo              | 2    | expected one or more COLUMN=VALUE                       |
      | table set colours red shade=dark    | 2    | expected one of the sheets                              |
      | table set classes memo key=secret-9 | 2    | column key: expected a non-empty key of an organisation |
      | table get classes draft             | 2    | classes: row draft: column name                         |
      | table get --revision 9              | 2    | revision 9 is not kept                                  |
      | table remove pools nowhere          | 2    | expected the name of an existing row                    |
      | table remove classes memo           | 2    | default_class: expected the name of a class             |
      | table import NOWHERE                | 2    | NOWHERE                                                 |
      | table get --platform nowhere        | 2    | --platform: expected the platform's IP:port             |
      | table nothing                       | 2    | nothing                                                 |
      | check NOWHERE.toml                  | 2    | a readable TOML file                                    |

  Scenario: all errors of several sheets are printed, one per line
    Given a simulated platform and a folder of sheets
    When the file FOLDER/classes.csv has "memo,none" in place of "memo,3"
    And the file FOLDER/pools.csv has "cart" in place of "service"
    And redwingctl runs "check FOLDER"
    Then the exit code is 2 and stderr contains "classes: row memo: column tier"
    And the exit code is 2 and stderr contains "pools: row branch-app: column kind"

  Scenario: a key is stored as its hash and never printed
    Given a simulated platform and a folder of sheets
    When redwingctl runs "table import FOLDER"
    And redwingctl runs "table set organisations organisation-1 key=secret-9"
    And redwingctl runs "table get organisations organisation-1"
    And redwingctl runs "table set organisations organisation-2 key=secret-9"
    And redwingctl runs "table diff --old 1"
    And redwingctl runs "table export OTHER"
    Then "secret-9" is neither printed nor stored on the platform
    And no complete key hash is printed

  Scenario Outline: the platform is down or responses are lost
    Given a simulated platform and a folder of sheets
    When redwingctl runs "table import FOLDER"
    And the platform has the fault <fault>
    And redwingctl runs "table set classes memo tier=2"
    Then the exit code is <code> and stderr contains "<line>"

    Examples:
      | fault               | code | line                           |
      | {"down": true}      | 4    | the platform returned no table |
      | {"lost_answers": 9} | 4    | it is unknown whether          |
      | {"lost_answers": 1} | 0    |                                |
      | {"lost_before": 1}  | 0    |                                |

  Scenario: the object on the platform is not a table
    Given a simulated platform and a folder of sheets
    When the platform stores "not a head" as table/head
    And redwingctl runs "table history"
    Then the exit code is 1 and stderr contains "not a head"
    When redwingctl runs "table set classes memo tier=2"
    Then the exit code is 4 and stderr contains "not a head"
