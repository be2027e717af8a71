Feature: operators read and change the table like a spreadsheet

  Scenario: import, get, set, remove, diff, history and export
    Given redwingctl, a platform stand-in and a folder of sheets
    When redwingctl runs "table import FOLDER --author huda"
    Then redwingctl's exit code is 0 and it prints "accepted as revision 1"
    When redwingctl runs "table get classes memo"
    Then redwingctl's exit code is 0 and it prints "memo,3,4000,80,1,0.1,0,30"
    When redwingctl runs "table set classes memo tier=2 weight=3 --author calum"
    Then redwingctl's exit code is 0 and it prints "accepted as revision 2"
    When redwingctl runs "table diff --old 1 --new 2"
    Then redwingctl's exit code is 0 and it prints "classes: row memo: column tier: 3 -> 2"
    When redwingctl runs "table diff FOLDER"
    Then redwingctl's exit code is 0 and it prints "classes: row memo: column weight: 3 -> 1"
    When redwingctl runs "table remove backend_servers runner-2"
    Then redwingctl's exit code is 0 and it prints "accepted as revision 3"
    When redwingctl runs "table history"
    Then redwingctl's exit code is 0 and it prints "calum"
    When redwingctl runs "table get classes --revision 1 --json"
    Then redwingctl's exit code is 0 and it prints ""tier": "3""
    When redwingctl runs "table export OTHER"
    Then redwingctl's exit code is 0 and it prints "revision 3 written"
    When redwingctl runs "check OTHER"
    Then redwingctl's exit code is 0 and it prints "no errors"

  Scenario: a sheet edited since its export merges with what others changed
    Given redwingctl, a platform stand-in and a folder of sheets
    When redwingctl runs "table import FOLDER"
    And redwingctl runs "table export OTHER"
    And redwingctl runs "table set classes question token_ms=60"
    And redwingctl's file OTHER/classes.csv says "memo,4" in place of "memo,3"
    And redwingctl runs "table import OTHER"
    Then redwingctl's exit code is 0 and it prints "accepted as revision 3"
    When redwingctl runs "table get classes"
    Then redwingctl's exit code is 0 and it prints "question,1,800,60"
    And redwingctl's exit code is 0 and it prints "memo,4,4000"
    When redwingctl runs "table set classes memo tier=5"
    And redwingctl's file OTHER/classes.csv says "memo,6" in place of "memo,4"
    And redwingctl runs "table import OTHER"
    Then redwingctl's exit code is 3 and it tells "column tier: you set 6, another operator set 5 (it was 3)"

  Scenario Outline: an error is one line with its place, and an exit code
    Given redwingctl, a platform stand-in and a folder of sheets
    When redwingctl runs "table import FOLDER"
    And redwingctl runs "<command>"
    Then redwingctl's exit code is <code> and it tells "<line>"
    And redwingctl tells one line

    Examples:
      | command                                   | code | line                                            |
      | table set classes memo tier=none          | 2    | classes: row memo: column tier: expected a tier |
      | table set classes memo                    | 2    | expected COLUMN=VALUE                           |
      | table set colours red shade=dark          | 2    | expected one of the sheets                      |
      | table set classes memo key=secret-9       | 2    | column key: expected a key, of an organisation  |
      | table get classes draft                   | 2    | classes: row draft: column name                 |
      | table get --revision 9                    | 2    | revision 9 is not kept                          |
      | table remove pools nowhere                | 2    | expected the name of a row                      |
      | table remove classes memo                 | 2    | default_class: expected the name of a class     |
      | table import NOWHERE                      | 2    | NOWHERE                                         |
      | table get --platform nowhere              | 2    | --platform: expected the platform's IP:port     |
      | table nothing                             | 2    | nothing                                         |
      | check NOWHERE.toml                        | 2    | a readable TOML file                            |

  Scenario: every fault of several sheets is told, one line each
    Given redwingctl, a platform stand-in and a folder of sheets
    When redwingctl's file FOLDER/classes.csv says "memo,none" in place of "memo,3"
    And redwingctl's file FOLDER/pools.csv says "cart" in place of "service"
    And redwingctl runs "check FOLDER"
    Then redwingctl's exit code is 2 and it tells "classes: row memo: column tier"
    And redwingctl's exit code is 2 and it tells "pools: row branch-app: column kind"

  Scenario: a key is stored as its hash and shown nowhere
    Given redwingctl, a platform stand-in and a folder of sheets
    When redwingctl runs "table import FOLDER"
    And redwingctl runs "table set organisations organisation-1 key=secret-9"
    And redwingctl runs "table get organisations organisation-1"
    And redwingctl runs "table set organisations organisation-2 key=secret-9"
    And redwingctl runs "table diff --old 1"
    And redwingctl runs "table export OTHER"
    Then redwingctl nowhere showed "secret-9", nor has the platform it
    And redwingctl nowhere showed a whole key's hash

  Scenario Outline: the platform is down or answers are lost
    Given redwingctl, a platform stand-in and a folder of sheets
    When redwingctl runs "table import FOLDER"
    And redwingctl's platform has the fault <fault>
    And redwingctl runs "table set classes memo tier=2"
    Then redwingctl's exit code is <code> and it tells "<line>"

    Examples:
      | fault               | code | line                     |
      | {"down": true}      | 4    | the platform gave no table |
      | {"lost_answers": 9} | 4    | it is not known whether  |
      | {"lost_answers": 1} | 0    |                          |
      | {"lost_before": 1}  | 0    |                          |

  Scenario: what is on the platform is no table
    Given redwingctl, a platform stand-in and a folder of sheets
    When redwingctl's platform holds "not a head" as table/head
    And redwingctl runs "table history"
    Then redwingctl's exit code is 1 and it tells "not a head"
    When redwingctl runs "table set classes memo tier=2"
    Then redwingctl's exit code is 4 and it tells "not a head"
