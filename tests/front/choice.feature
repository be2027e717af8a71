Feature: a request goes where it is answered in time and disturbs least

  Scenario: a prompt goes to the server that holds its shared parts
    Given the choice of 3 engines
    When a memo with the shared part "file" was read by engine 2
    Then the choice for a memo with the shared part "file" is engine 2

  Scenario: a long read stays away from running streams
    Given the choice of 3 engines
    When 10 short streams run at engine 1
    And 10 short streams run at engine 3
    Then the choice for a memo with the shared part "new" is engine 2

  Scenario: a short stream stays away from long reads
    Given the choice of 2 engines
    When 3 memos of 20000 tokens were sent to engine 1 just now
    Then the choice for a short stream is engine 2

  Scenario: a request does not wait behind a backlog that costs its target
    Given the choice of 2 engines
    When a memo with the shared part "file" was read by engine 1
    And 3 memos of 20000 tokens were sent to engine 1 just now
    Then the choice for a memo with the shared part "file" is engine 2

  Scenario: a server that shows itself slow is avoided
    Given the choice of 2 engines
    When engine 1 has read 20 prompts at a tenth of the usual speed
    Then the choice for a memo with the shared part "new" is engine 2

  Scenario: plain calls go to the least loaded server, the nearest among equals
    Given the choice of 3 plain servers
    Then the choice for a plain call is the server in its data centre
    When 2 plain calls run at the server in its data centre
    Then the choice for a plain call is another server

  Scenario: requests of other hosts count
    Given two hosts that tell each other of their requests
    When the other host sends a memo of 20000 tokens to engine 1
    Then this host knows of 20000 tokens waiting at engine 1
    When the other host's memo has begun and ended
    Then this host knows of nothing at engine 1

  Scenario: the requests of a host that falls silent are forgotten
    Given two hosts that tell each other of their requests
    When the other host sends a memo of 20000 tokens to engine 1
    And the other host is silent for 4 s
    Then this host knows of nothing at engine 1

  Scenario: a host that starts anew has no requests of before
    Given two hosts that tell each other of their requests
    When the other host sends a memo of 20000 tokens to engine 1
    And the other host starts anew and says so
    Then this host knows of nothing at engine 1

  Scenario: held parts are bounded by the engine's memory
    Given a prompt cache of 1000 tokens
    When parts "a b c" of 300 tokens are read there
    Then the prompt cache holds parts "b c" only
    And a prompt that begins with "a" finds nothing held

  Scenario: a prompt that can't be read in time is refused, not sent
    Given the choice of 1 engines
    When 6 memos of 39000 tokens were sent to engine 1 just now
    Then a memo is refused as out of reach

  Scenario: less urgent prompts leave room for the streams of a higher tier
    Given the choice of 1 engines
    When 20 short streams of a higher tier run at engine 1
    And memos of 8000 tokens are sent to engine 1 every 0.15 s for 2 s
    Then a memo is refused for the higher tier
    And a short stream of a higher tier is not refused

  Scenario: prompts of the same rank don't yield to each other
    Given the choice of 1 engines
    When 20 memos of 9000 tokens run at engine 1
    And memos of 8000 tokens are sent to engine 1 every 0.15 s for 2 s
    Then a memo is not refused

  Scenario: a prompt does not count those of lower tiers that it is read before
    Given the choice of 1 engines
    When 6 memos of 39000 tokens were sent to engine 1 just now
    Then a short stream of a higher tier is not refused

  Scenario: a prompt that would wait too long for a slot is refused, not sent
    Given the choice of 1 engines
    When 64 short streams run at engine 1
    And 100 short streams were sent to engine 1 just now
    Then a short stream is refused as out of reach

  Scenario: a prompt does not wait for slots behind those of lower tiers
    Given the choice of 1 engines
    When 64 short streams run at engine 1
    And 100 short streams were sent to engine 1 just now
    Then a short stream of a higher tier is not refused

  Scenario: a free slot at another server is worth a prompt's read
    Given the choice of 2 engines
    When 64 short streams run at engine 1
    And 20 short streams were sent to engine 1 just now
    Then the choice for a short stream is engine 2

  Scenario: one lost answer does not take a server out
    Given the choice of 2 plain servers
    When 1 answers in a row were lost at server 2
    Then server 2 is still chosen from

  Scenario: a server that loses answers in a row rests
    Given the choice of 2 plain servers
    When 3 answers in a row were lost at server 2
    Then server 2 is not chosen from

  Scenario: where every server rests, one is tried rather than the request refused
    Given the choice of 2 plain servers
    When 3 answers in a row were lost at server 1
    And 3 answers in a row were lost at server 2
    Then a server is chosen all the same
