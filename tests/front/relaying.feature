Feature: in a large fleet one host of each data centre relays the reports of its hosts

  Scenario: every host soon knows of a request, which is sent to another data centre once
    Given 24 hosts in 3 data centres that know each other
    When host 1 sends a memo of 20000 tokens
    Then all hosts know of it within 0.15 s
    And at most 2 digests of it crossed between data centres

  Scenario: a request's first event and end reach every host
    Given 24 hosts in 3 data centres that know each other
    When host 1 sends a memo of 20000 tokens
    And it starts and ends
    Then no host knows of a request within 0.6 s

  Scenario: a relay that is down is passed over
    Given 24 hosts in 3 data centres that know each other
    When the relay of host 1 is down for 2 s
    And host 1 sends a memo of 20000 tokens
    Then all remaining hosts know of it within 0.15 s

  Scenario: the requests of a host that is down are removed
    Given 24 hosts in 3 data centres that know each other
    When host 1 sends a memo of 20000 tokens
    And all hosts know of it
    And host 1 is down for 4 s
    Then no remaining host knows of a request within 0.1 s

  Scenario: in a small fleet every host sends to all others
    Given 7 hosts in 3 data centres that know each other
    When host 1 sends a memo of 20000 tokens
    Then all hosts know of it within 0.1 s
    And no host has relayed anything

  Scenario: only hosts with enough bandwidth are relays
    Given 24 hosts of which number 7 and later have links of 10 Mbit/s
    When host 1 sends a memo of 20000 tokens
    Then all hosts know of it within 0.15 s
    And only hosts 1 2 3 4 5 6 have relayed anything

  Scenario: if no host has enough bandwidth for a relay, every host sends to all others
    Given 24 hosts of which number 1 and later have links of 10 Mbit/s
    When host 1 sends a memo of 20000 tokens
    Then all hosts know of it within 0.1 s
    And no host has relayed anything

  Scenario: a bundle with inconsistent counts is dropped and logged
    Given a host and a bundle with a missing count
    When the host gets the bundle
    Then it knows of no request and logs that a message was unreadable
