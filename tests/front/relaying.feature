Feature: in a large fleet one host of each data centre passes on what its hosts say

  Scenario: every host knows of a request soon, and it crosses to another data centre once
    Given 24 hosts in 3 data centres that hear each other
    When host 1 sends a memo of 20000 tokens
    Then all hosts know of it within 0.15 s
    And at most 2 digests of it crossed between data centres

  Scenario: a request's first event and end reach every host
    Given 24 hosts in 3 data centres that hear each other
    When host 1 sends a memo of 20000 tokens
    And it begins and ends
    Then no host knows of a request within 0.6 s

  Scenario: a relay that is gone is passed over
    Given 24 hosts in 3 data centres that hear each other
    When the relay of host 1 is gone for 2 s
    And host 1 sends a memo of 20000 tokens
    Then all hosts that are left know of it within 0.15 s

  Scenario: the requests of a host that is gone are forgotten
    Given 24 hosts in 3 data centres that hear each other
    When host 1 sends a memo of 20000 tokens
    And all hosts know of it
    And host 1 is gone for 4 s
    Then no host that is left knows of a request within 0.1 s

  Scenario: in a small fleet every host tells all others
    Given 7 hosts in 3 data centres that hear each other
    When host 1 sends a memo of 20000 tokens
    Then all hosts know of it within 0.1 s
    And no host has passed anything on

  Scenario: only hosts whose links carry it are relays
    Given 24 hosts of which number 7 on have links of 10 Mbit/s
    When host 1 sends a memo of 20000 tokens
    Then all hosts know of it within 0.15 s
    And only hosts 1 2 3 4 5 6 have passed anything on

  Scenario: where no link carries what a relay sends, every host tells all others
    Given 24 hosts of which number 1 on have links of 10 Mbit/s
    When host 1 sends a memo of 20000 tokens
    Then all hosts know of it within 0.1 s
    And no host has passed anything on

  Scenario: a bundle whose counts don't fit is dropped and told in the log
    Given a host and a bundle with a count too few
    When the host gets the bundle
    Then it knows of nothing and tells that a message was unreadable
