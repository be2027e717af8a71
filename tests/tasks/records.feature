Feature: a call that may run at most once is recorded before it runs

  Scenario: a call, its outcome, and resends to another host
    Given the records of two hosts
    When the records' first host begins a call
    Then the records' second host answers its resend with STILL_RUNNING
    And the records' second host answers another body with KEY_REUSED
    When the records' first host finishes it with "booked"
    Then the records' second host replays "booked"
    And the records took 2 writes and one for each of 3 resends

  Scenario Outline: the end of the first call decides the answer to its resend
    Given the records of two hosts
    When the records' first host begins a call
    And the records' call at the first host ends: <ends>
    Then the records' second host answers its resend with <answer>

    Examples:
      | ends                    | answer          |
      | released                | Run             |
      | given up                | OUTCOME_UNKNOWN |
      | finished, far too large | OUTCOME_UNKNOWN |
      | killed right after      | STILL_RUNNING   |
      | killed an hour after    | OUTCOME_UNKNOWN |

  Scenario Outline: faults while a call is being recorded
    Given the records of two hosts
    When the records' first host encounters <faults> from now on
    And the records' first host begins a call
    Then the records' first host got <begun>
    And once the faults are over the records' second host answers its resend with <resent>
    And the records show that the call ran at most once

    Examples:
      | faults                   | begun                | resent        |
      | lost answer              | Run                  | STILL_RUNNING |
      | lost before              | Run                  | STILL_RUNNING |
      | late                     | Run                  | STILL_RUNNING |
      | down, down               | PLATFORM_UNAVAILABLE | Run           |
      | lost answer, down        | PLATFORM_UNAVAILABLE | Run           |
      | late, down               | PLATFORM_UNAVAILABLE | Run           |
      | late, none, late, none, late, none, late | NOT_RECORDED | Run   |
      | lost answer, stale, none, stale, none, stale, none | OUTCOME_UNKNOWN | Run |
      | lost before, stale       | Run                  | STILL_RUNNING |

  Scenario: without void records a lost create that takes effect late blocks a call that never ran
    Given the records of two hosts without void records
    When the records' first host encounters late, down from now on
    And the records' first host begins a call
    Then the records' first host got PLATFORM_UNAVAILABLE
    And once the faults are over the records' second host answers its resend with STILL_RUNNING

  Scenario Outline: the outcome's write encounters a fault
    Given the records of two hosts
    When the records' first host begins a call
    And the records' first host encounters <faults> from now on
    And the records' first host finishes it with "booked"
    Then once the faults are over the records' second host replays "booked"

    Examples:
      | faults                                       |
      | lost answer                                  |
      | lost before                                  |
      | late                                         |
      | down, down                                   |
      | lost answer, down, down, down                |
      | lost answer, stale, none, stale              |
      | lost before, stale, lost before, stale, down |

  Scenario: a host that took over a void record stores its outcome despite stale reads
    Given the records of two hosts
    When the records' first host begins a call
    And the records' call at the first host ends: released
    And the records' second host begins the call again
    And the records' second host encounters lost before, stale from now on
    And the records' second host finishes it with "booked"
    Then once the faults are over the records' first host replays "booked"

  Scenario: pending changes are bounded while the platform is down
    Given the records of two hosts
    When the records' first host finds the platform down for 1200 calls
    Then the records' first host refused each as not run and keeps 1000 pending changes

  Scenario: the platform's rate limit is respected
    Given the records of two hosts
    When the records' first host shares the rate with 100 hosts and begins 500 calls
    Then the records' first host refused some with a retry time and made no platform call for them

  Scenario: a host that froze after recording may no longer send
    Given the records of two hosts
    When the records' first host begins a call
    Then the records' first host may send it now and not after a freeze of 301 s

  Scenario: expired records are removed, others stay
    Given the records of two hosts
    When the records' first host finished 40 calls
    Then the records are all there after a full scan a day later
    And the records are removed after a full scan 26 hours later

  Scenario Outline: hosts, resends, kills, freezes and faults, interleaved; the call runs at most once
    Then the records keep every guarantee in <runs> interleaved runs from seed <seed> with faults in <share> of the calls

    Examples:
      | runs | seed | share |
      | 150  | 1    | 0.0   |
      | 300  | 1000 | 0.2   |
      | 150  | 5000 | 0.5   |

  Scenario Outline: without the mechanism a guarantee fails
    Then the records without <mechanism> break a guarantee within <runs> interleaved runs from seed <seed>

    Examples:
      | mechanism              | runs | seed |
      | conditional creates    | 300  | 1000 |
      | confirmation           | 300  | 1000 |
      | the nonce              | 300  | 1000 |
