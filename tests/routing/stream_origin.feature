Feature: what is remembered of a stream is bounded and ends with it

  Scenario: a stream is known until it ends, or its caller gives up
    Given a host that remembers streams r-1 for 2 s and r-2 for 5 s
    Then r-1 and r-2 are known
    When stream r-2 ends
    Then only r-1 is known
    When 2 s pass
    Then nothing is remembered

  Scenario: a stream whose origins differ is not known
    Given a host that remembers streams r-1 for 2 s and r-2 for 5 s
    When it is told that r-1 began at version v9
    And it is told that r-1 began at version v1
    Then only r-2 is known

  Scenario: a stream that another host serves keeps its origin
    Given a host that remembers streams r-1 for 2 s and r-2 for 5 s
    When it is told that r-1 began at version v1, by another host and for 4 s
    And 3 s pass
    Then r-1 and r-2 are known

  Scenario: neither callers nor names make memory grow
    When 50000 streams of up to 3600 s begin, with ids of 10000 characters
    Then at most 20000 of them are remembered, with keys of 24 characters, for 300 s at most
    When a stream begins at a version with a name of 5000 characters
    Then it is not remembered

  Scenario Outline: versions are names
    Given servers of versions 1, 1.0, v1, V1, 10 and none
    When a stream that began at version <began> goes on
    Then it may go on at <servers>

    Examples:
      | began | servers |
      | 1     | i-1     |
      | 1.0   | i-2     |
      | v1    | i-3     |
      | V1    | i-4     |
      | none  | nothing |
      | 01    | nothing |

  Scenario Outline: a pool has had a single version
    Given a host that watches a list with versions <before> for 10 s and then <after> for 3 s
    Then within <seconds> s the pool has had <version>

    Examples:
      | before | after | seconds | version |
      | v1     | v1    | 12      | v1      |
      | v1     | v1    | 14      | several |
      | v1     | v1 v2 | 2       | several |
      | v1 v2  | v1    | 5       | several |
      | v1 v2  | v1    | 2       | v1      |

  Scenario: a host that was held up does not know which versions a pool has had
    Given a host that watches a list with versions v1 for 10 s and then v1 for 3 s
    When it is held up for 2 s
    Then within 5 s the pool has had several
