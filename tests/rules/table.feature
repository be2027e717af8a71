Feature: the table is validated as a whole and all errors are reported together

  Scenario: a table is parsed and converted back
    Given the table's sample sheets
    Then the table has tier 1 for class "question"
    And the table's defaults are filled in
    And the table parsed from its own sheets is the same
    And the table's pool "memo-models" has 3 servers

  Scenario Outline: one wrong cell is reported with sheet, row and column
    Given the table's sample sheets
    When the table's cell <cell> is "<value>"
    Then the table's only error is <error>

    Examples:
      | cell                                           | value          | error                                          |
      | classes/memo/tier                              | 0              | classes/memo/tier                              |
      | classes/memo/tier                              | 100            | classes/memo/tier                              |
      | classes/memo/tier                              | one            | classes/memo/tier                              |
      | classes/memo/first_token_ms                    | -5             | classes/memo/first_token_ms                    |
      | classes/memo/token_ms                          | .              | classes/memo/token_ms                          |
      | classes/memo/weight                            | nan            | classes/memo/weight                            |
      | classes/memo/weight                            | 1e3            | classes/memo/weight                            |
      | classes/memo/weight                            | 0              | classes/memo/weight                            |
      | classes/memo/minimum                           | 0.46           | classes/(all)/minimum                          |
      | classes/memo/minimum                           | 1.1            | classes/memo/minimum                           |
      | classes/memo/limit                             | 2.5            | classes/memo/limit                             |
      | classes/memo/give_up_s                         | inf            | classes/memo/give_up_s                         |
      | classes/memo/colour                            | red            | classes/memo/colour                            |
      | colours/red/shade                              | dark           | colours/(all)/(all)                            |
      | organisations/organisation-1/key_hash          | secret         | organisations/organisation-1/key_hash          |
      | organisations/organisation-1/default_class     | draft          | organisations/organisation-1/default_class     |
      | organisations/organisation-1/tokens_per_minute | 99999999999999 | organisations/organisation-1/tokens_per_minute |
      | pools/branch-app/kind                          | cart           | pools/branch-app/kind                          |
      | pools/a b/kind                                 | service        | pools/a b/name                                 |
      | backend_servers/runner-1/pool                  | nowhere        | backend_servers/runner-1/pool                  |
      | backend_servers/runner-1/address               | runner:80      | backend_servers/runner-1/address               |
      | backend_servers/runner-1/address               | 10.0.0.1:0     | backend_servers/runner-1/address               |
      | backend_servers/runner-1/slots                 | 0              | backend_servers/runner-1/slots                 |
      | backend_servers/runner-1/state                 | gone           | backend_servers/runner-1/state                 |
      | backend_servers/runner-1/fencing               | maybe          | backend_servers/runner-1/fencing               |
      | backend_servers/runner-1/role                  | two words      | backend_servers/runner-1/role                  |

  Scenario: errors of several sheets are reported together
    Given the table's sample sheets
    When the table's cell classes/memo/tier is "none"
    And the table's cell backend_servers/runner-0/address is "127.0.0.1:9101"
    And the table's cell organisations/organisation-0/default_class is "draft"
    Then the table's errors are
      | error                                      |
      | classes/memo/tier                          |
      | organisations/organisation-0/default_class |
      | backend_servers/runner-0/address           |
      | backend_servers/runner-1/address           |

  Scenario: two organisations may not share a key, and the error does not reveal it
    Given the table's sample sheets
    When the table's organisations 0 and 1 have one key
    Then the table's errors are
      | error                                 |
      | organisations/organisation-0/key_hash |
      | organisations/organisation-1/key_hash |
    And the table's errors show no key
