Feature: at most one host at a time may send orders

  Scenario Outline: what a host may do with a lease
    Given a lease of 10 s that another host last renewed at 0 s
    Then a lease <action> at <at> s: <result>

    Examples:
      | action                                       | at   | result |
      | of another host may be taken                 | 9.9  | no     |
      | of another host may be taken                 | 11.9 | no     |
      | of another host may be taken                 | 12   | yes    |
      | of another host renewed at 6 s may be taken  | 12   | no     |
      | of another host renewed at 6 s may be taken  | 18   | yes    |
      | of another host released at 6 s may be taken | 6    | yes    |
      | taken at 12 s, sent at 12 s, allows orders   | 12   | yes    |
      | taken at 12 s, sent at 12 s, allows orders   | 19.9 | yes    |
      | taken at 12 s, sent at 12 s, allows orders   | 20   | no     |
      | taken at 12 s, sent at 12 s, allows orders   | 999  | no     |
      | released by this host allows orders          | 12   | no     |

  Scenario: fencing numbers rise when a lease is taken and not when it is renewed
    Given a lease of 10 s that another host last renewed at 0 s
    Then a lease taken at 12 s has number 8, renewed at 15 s 8, taken again at 99 s 9

  Scenario: stale reads are ignored
    Given a lease of 10 s that another host last renewed at 0 s
    Then a lease read at an older version or as absent still waits from 0 s

  Scenario: a deleted lease is taken again with a higher number
    Given a lease of 10 s that another host last renewed at 0 s
    Then a lease deleted at 5 s may be created again from 12 s, with number 8
    And a lease deleted while it is held is created again by its holder

  Scenario: a lease is stored and read back
    Then a lease is decoded as it was encoded and other values are refused

  Scenario: an answer arrives after the term, when another host has taken the lease
    Then a lease whose answer arrives late is not held
    And a lease whose term counts from the answer is held twice

  Scenario: any order of freezes, lost writes and late writes, with slow and fast clocks
    Then the lease machine finds no two hosts that may send orders at once
    And the lease machine finds two if a claimer does not wait for the term
    And the lease machine finds two if a holder does not check the clock
