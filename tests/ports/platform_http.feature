Feature: the platform client distinguishes known outcomes from unknown ones

  Scenario: versions, conditions and watches
    Given the platform client and a stand-in
    Then the platform client creates "a/b c" and reads it back
    And the platform client cannot create "a/b c" twice
    And the platform client updates "a/b c" only at its version
    And the platform client lists "a/b c" below "a/"
    And the platform client's watch of "a/b c" ends when it changes
    And the platform client's watch of "a/b c" ends unchanged at its timeout
    And the platform client deletes "a/b c" only at its version
    And the platform client never sees a version of "a/b c" twice

  Scenario Outline: a fault yields the right outcome
    Given the platform client and a stand-in
    When the platform client has written "k" and the fault is <fault>
    Then the platform client's <call> of "k" is <result>
    And the platform client then reads <value> once the fault is over

    Examples:
      | fault                  | call   | result  | value |
      | {"down": true}         | read   | Unknown | old   |
      | {"down": true}         | update | Unknown | old   |
      | {"down": true}         | watch  | Unknown | old   |
      | {"down": true}         | list   | Unknown | old   |
      | {"down": true}         | hosts  | Unknown | old   |
      | {"hang": true}         | read   | Unknown | old   |
      | {"hang": true}         | update | Unknown | old   |
      | {"lost_answers": 1}    | update | Unknown | new   |
      | {"lost_before": 1}     | update | Unknown | old   |
      | {"stale_s": 60}        | read   | Absent  | old   |
      | {"stale_s": 60}        | update | Stored  | new   |
      | {"writes_per_s": 1e-9} | update | Unknown | old   |
      | {"reads_per_s": 1e-9}  | read   | Unknown | old   |

  Scenario: a value over a megabyte is refused
    Given the platform client and a stand-in
    Then the platform client cannot write 1000001 bytes

  Scenario: no server listens at the address
    Given a platform client of a closed port
    Then the platform client's read of "k" is Unknown
    And the platform client's update of "k" is Unknown

  Scenario: the membership list lags
    Given the platform client and a stand-in
    When the platform client's stand-in lists "entry-1" and lags
    Then the platform client sees no host
    And the platform client sees "entry-1" once the lag is over

  Scenario: the stand-in counts calls by kind, including watches
    Given the platform client and a stand-in
    Then the platform client's calls are counted by kind
