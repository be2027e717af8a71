Feature: a table change is accepted once it is known to be stored

  Scenario: the first table, a change and the history
    Given a table store
    When the table store's operator sets classes/memo/tier to "2"
    Then the table store's answer is Accepted
    And the table store holds "2" in classes/memo/tier at revision 2
    And the table store's history is 2, 1
    And the table store still loads revision 1

  Scenario: a corrupt head of the history is passed over
    Given a table store
    When the table store's operator sets classes/memo/tier to "2"
    And the table store's head of revision 1 is corrupt
    Then the table store's history is 2
    And the table store has no revision 1 and finds nothing to prune

  Scenario Outline: one write of a change fails
    Given a table store
    When the table store's writes to <write> fail with "<fault>" <times> times
    And the table store's operator sets classes/memo/tier to "2"
    Then the table store's answer is <answer>
    And the table store answered truthfully

    Examples:
      | write          | fault       | times | answer   |
      | table/head     | lost answer | 1     | Accepted |
      | table/head     | lost before | 1     | Accepted |
      | table/head     | late        | 1     | Accepted |
      | table/head     | lost answer | 9     | Accepted |
      | table/head     | lost before | 9     | Unknown  |
      | table/head     | late        | 9     | Unknown  |
      | table/head     | down        | 9     | Unknown  |
      | table/page/    | lost answer | 1     | Accepted |
      | table/page/    | lost before | 1     | Accepted |
      | table/page/    | lost answer | 9     | Unknown  |
      | table/page/    | down        | 9     | Unknown  |
      | table/history/ | lost answer | 1     | Accepted |
      | table/history/ | lost before | 9     | Unknown  |

  Scenario Outline: two concurrent operators
    Given a table store
    When the table store's operators set <mine> to "<my value>" and <theirs> to "<their value>"
    Then the table store's answers are <answers>
    And the table store answered truthfully

    Examples:
      | mine                      | my value | theirs                         | their value | answers            |
      | classes/memo/tier         | 2        | classes/question/tier          | 2           | Accepted, Accepted |
      | classes/memo/tier         | 2        | classes/memo/weight            | 3           | Accepted, Accepted |
      | classes/memo/tier         | 2        | classes/memo/tier              | 4           | Accepted, Rejected |
      | classes/memo/             | -        | classes/memo/tier              | 4           | Rejected, Accepted |
      | backend_servers/runner-2/ | -        | backend_servers/runner-2/slots | 4           | Accepted, Rejected |
      | pools/branch-app/         | -        | backend_servers/runner-0/pool  | branch-app  | Accepted, Rejected |

  Scenario: a cell set by name to the value of a stale read is not lost silently
    Given a table store
    When the table store returns a stale "5" for classes/memo/tier and the operator sets that value
    Then the table store's answer is Rejected
    Given a table store that merges only cells that differ
    When the table store returns a stale "5" for classes/memo/tier and the operator sets that value
    Then the table store accepts but loses the change

  Scenario: an invalid table is rejected and nothing is written
    Given a table store
    When the table store's operator sets classes/memo/tier to "none"
    Then the table store's answer is Rejected
    And the table store holds "3" in classes/memo/tier at revision 1

  Scenario: 64 revisions are kept and unused pages are deleted
    Given a table store
    When the table store gets 100 changes
    Then the table store keeps 64 revisions, each complete
    And the table store holds few pages that none of them references

  Scenario Outline: no accepted change is lost with many operators, faults and late writes
    Then the table store keeps every guarantee in <runs> interleaved runs from seed <seed> with faults in <share> of the calls

    Examples:
      | runs | seed | share |
      | 40   | 1    | 0.0   |
      | 60   | 1000 | 0.15  |
      | 30   | 5000 | 0.4   |

  Scenario Outline: a guarantee is violated without its mechanism
    Then the table store without <mechanism> violates a guarantee within <runs> interleaved runs from seed <seed>

    Examples:
      | mechanism                      | runs | seed |
      | conditional writes             | 60   | 1000 |
      | read-back of unknown outcomes  | 60   | 1000 |
      | confirmation before acceptance | 60   | 1000 |

  Scenario: pruning at every change, with faults, deletes no page that is needed
    Given a table store that prunes at every change
    Then the table store keeps every guarantee in 60 interleaved runs from seed 9000 with faults in 0.1 of the calls
    And the table store without rewriting of existing pages violates a guarantee within 200 interleaved runs from seed 9000

  Scenario: pruning races with a writer that needs a page again
    Then the table store keeps a page that another operator rewrites during pruning
    And the table store without rewriting of existing pages loses it

  Scenario: 5,100 organisations
    Given a table store of 5100 organisations
    When the table store's operator sets organisations/organisation-7/weight to "2"
    Then the table store's answer is Accepted
    And the table store's values are under a megabyte and the change took 4 writes at most
