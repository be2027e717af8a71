Feature: of all hosts one at a time may give orders

  Scenario Outline: what a host may do by what it knows
    Given a lease of 10 s that another host renewed last at 0 s
    Then a lease <deed> at <at> s: <result>

    Examples:
      | deed                                      | at   | result |
      | of another may be taken                   | 9.9  | no     |
      | of another may be taken                   | 11.9 | no     |
      | of another may be taken                   | 12   | yes    |
      | of another renewed at 6 s may be taken    | 12   | no     |
      | of another renewed at 6 s may be taken    | 18   | yes    |
      | of another released at 6 s may be taken   | 6    | yes    |
      | taken at 12 s, sent at 12 s, gives orders | 12   | yes    |
      | taken at 12 s, sent at 12 s, gives orders | 19.9 | yes    |
      | taken at 12 s, sent at 12 s, gives orders | 20   | no     |
      | taken at 12 s, sent at 12 s, gives orders | 999  | no     |
      | released by ourselves gives orders        | 12   | no     |

  Scenario: fencing numbers rise at each taking and not at a renewal
    Given a lease of 10 s that another host renewed last at 0 s
    Then a lease taken at 12 s has number 8, renewed at 15 s 8, taken again at 99 s 9

  Scenario: old and stale reads change nothing
    Given a lease of 10 s that another host renewed last at 0 s
    Then a lease seen again at an older version or not at all still waits from 0 s

  Scenario: it is stored and read back
    Then a lease is read back and nothing else is taken for one

  Scenario: an answer that comes after the term, when another host has taken the lease
    Then a lease whose answer came late is not held
    And a lease whose term counts from the answer is held twice then

  Scenario: any order of freezes, slow and fast clocks, lost and late writes
    Then a lease machine finds no two hosts that may give orders at once
    And a lease machine finds two where a taker does not wait for the term
    And a lease machine finds two where a holder does not look at the clock
