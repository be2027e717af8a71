Feature: notices are stored once and until they expire

  Scenario Outline: which notices are new
    Given the notices hold number 5 of a kind, subject and origin for 10 s
    When the notices receive number <number> of the <same> with a TTL of <ttl_s> s after <passed_s> s
    Then the notices treat it as <result>

    Examples:
      | number | same          | ttl_s | passed_s | result |
      | 6      | same          | 10    | 1        | new    |
      | 5      | same          | 10    | 1        | known  |
      | 4      | same          | 10    | 1        | known  |
      | 4      | other subject | 10    | 1        | new    |
      | 4      | other origin  | 10    | 1        | new    |
      | 6      | same          | 0     | 1        | known  |
      | 5      | same          | 10    | 11       | new    |

  Scenario: a notice is sent a fixed number of times
    Given the notices hold number 5 of a kind, subject and origin for 10 s
    Then the notices send it 16 times among 7 hosts
    And the notices send it as often if others have it already

  Scenario Outline: a notice reaches every host
    Given the notices hold number 5 of a kind, subject and origin for 10 s
    Then the notices reach all of <hosts> hosts in each of <trials> trials

    Examples:
      | hosts | trials |
      | 5     | 500    |
      | 60    | 20     |

  Scenario: the number of notices is bounded
    Given the notices hold number 5 of a kind, subject and origin for 10 s
    When the notices receive 5000 more with longer TTLs
    Then the notices keep at most the 4096 with the longest TTLs

  Scenario: the TTL of a notice decreases as it is sent on
    Given the notices hold number 5 of a kind, subject and origin for 10 s
    Then the notices send it with a TTL of 6 s after 4 s
