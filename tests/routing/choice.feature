Feature: a request goes to the server that meets its targets and delays other requests least

  Scenario: a prompt goes to the server that caches its shared parts
    Given a choice of 3 engines
    When a memo with the shared part "file" was read by engine 2
    Then the choice for a memo with the shared part "file" is engine 2

  Scenario: a long prompt avoids servers with running streams
    Given a choice of 3 engines
    When 10 short streams run at engine 1
    And 10 short streams run at engine 3
    Then the choice for a memo with the shared part "new" is engine 2

  Scenario: a short stream avoids servers that read long prompts
    Given a choice of 2 engines
    When 3 memos of 20000 tokens were sent to engine 1 just now
    Then the choice for a short stream is engine 2

  Scenario: a request avoids a backlog that would make it miss its target
    Given a choice of 2 engines
    When a memo with the shared part "file" was read by engine 1
    And 3 memos of 20000 tokens were sent to engine 1 just now
    Then the choice for a memo with the shared part "file" is engine 2

  Scenario: a server that reads prompts slowly is avoided
    Given a choice of 2 engines
    When engine 1 has read 20 prompts at a tenth of the usual speed
    Then the choice for a memo with the shared part "new" is engine 2

  Scenario: a busy server's cached prompt is copied to another one instead of being read again
    Given a choice of 2 engines that copy prompts
    When a memo with the shared part "file" was read by engine 1
    And 3 memos of 20000 tokens were sent to engine 1 just now
    Then the choice for a memo with the shared part "file" is engine 2
    And 6000 tokens of it are copied from engine 1

  Scenario: a prompt that is not read yet can't be copied
    Given a choice of 2 engines that copy prompts
    When a memo with the shared part "file" was sent to engine 1 just now
    And 3 memos of 20000 tokens were sent to engine 1 just now
    Then nothing of a memo with the shared part "file" is copied

  Scenario: the server that holds the prompt copies nothing
    Given a choice of 2 engines that copy prompts
    When a memo with the shared part "file" was read by engine 1
    Then the choice for a memo with the shared part "file" is engine 1
    And nothing of a memo with the shared part "file" is copied

  Scenario: nothing is copied from an ejected server
    Given a choice of 2 engines that copy prompts
    When a memo with the shared part "file" was read by engine 1
    And 3 answers in a row were lost at server 1
    Then the choice for a memo with the shared part "file" is engine 2
    And nothing of a memo with the shared part "file" is copied

  Scenario: nothing is copied from a server of another software version
    Given a choice of 3 engines that copy prompts
    When engine 1 is of another software version
    And a memo with the shared part "file" was read by engine 1
    And 3 memos of 20000 tokens were sent to engine 1 just now
    Then nothing of a memo with the shared part "file" is copied
    When a memo with the shared part "file" was read by engine 3
    And 3 memos of 20000 tokens were sent to engine 3 just now
    Then the choice for a memo with the shared part "file" is engine 2
    And 6000 tokens of it are copied from engine 3

  Scenario: engines that can't copy read the prompt
    Given a choice of 2 engines
    When a memo with the shared part "file" was read by engine 1
    And 3 memos of 20000 tokens were sent to engine 1 just now
    Then nothing of a memo with the shared part "file" is copied

  Scenario: a long prompt avoids the server to which urgent requests come
    Given a choice of 2 engines
    When 20 short streams of a higher tier came to engine 1 within the last 2 s and ended
    Then the choice for a memo of 20000 tokens is engine 2
    And the choice for a short stream of a higher tier is engine 1

  Scenario: a short stream avoids the server that reads a long prompt of a lower tier
    Given a choice of 2 engines
    When 1 memos of 30000 tokens were sent to engine 1 just now
    Then the choice for a short stream of a higher tier is engine 2

  Scenario: plain calls go to the least loaded server, the nearest among equals
    Given a choice of 3 plain servers
    Then the choice for a plain call is the server in its data centre
    When 2 plain calls run at the server in its data centre
    Then the choice for a plain call is another server

  Scenario: requests of other hosts count as load
    Given two hosts that report their requests to each other
    When the other host sends a memo of 20000 tokens to engine 1
    Then this host knows of 20000 tokens waiting at engine 1
    When the other host's memo has started and ended
    Then this host knows of no requests at engine 1

  Scenario: the requests of a silent host are removed
    Given two hosts that report their requests to each other
    When the other host sends a memo of 20000 tokens to engine 1
    And the other host is silent for 4 s
    Then this host knows of no requests at engine 1

  Scenario: the earlier requests of a restarted host are removed
    Given two hosts that report their requests to each other
    When the other host sends a memo of 20000 tokens to engine 1
    And the other host restarts and reports it
    Then this host knows of no requests at engine 1

  Scenario: cached prompt parts are limited by the engine's memory
    Given a prompt cache of 1000 tokens
    When parts "a b c" of 300 tokens are added to it
    Then the prompt cache holds parts "b c" only
    And a prompt that begins with "a" has no cached tokens

  Scenario: a prompt that can't be read in time is refused, not sent
    Given a choice of 1 engines
    When 6 memos of 39000 tokens were sent to engine 1 just now
    Then a memo is refused because its target is unreachable

  Scenario: less urgent prompts leave time for the streams of a higher tier
    Given a choice of 1 engines
    When 20 short streams of a higher tier run at engine 1
    And memos of 8000 tokens are sent to engine 1 every 0.15 s for 2 s
    Then a memo is refused in favour of the higher tier
    And a short stream of a higher tier is not refused

  Scenario: a stream that its caller takes up does not yield to new ones
    Given a choice of 1 engines
    When 20 short streams of a higher tier run at engine 1
    And memos of 8000 tokens are sent to engine 1 every 0.15 s for 2 s
    Then a memo is refused in favour of the higher tier
    But a memo that its caller takes up is not refused

  Scenario: of less urgent prompts the least urgent yield first
    Given a choice of 1 engines
    When 20 short streams of a higher tier run at engine 1
    And memos of 8000 tokens of the lowest tier are sent to engine 1 every 0.15 s for 2 s
    Then a memo of the lowest tier is refused in favour of the higher tiers
    And a short stream of the middle tier is not refused

  Scenario: a prompt waits longer where more urgent ones take most of the server's time
    Given a choice of 1 engines
    When 45 short streams of a higher tier came to engine 1 within the last 2 s and ended
    And 2 memos of 20000 tokens were sent to engine 1 just now
    Then a memo is expected to wait at least 1.5 times the 1 s of what is ahead

  Scenario: prompts of the same rank don't yield to each other
    Given a choice of 1 engines
    When 20 memos of 9000 tokens run at engine 1
    And memos of 8000 tokens are sent to engine 1 every 0.15 s for 2 s
    Then a memo is not refused

  Scenario: prompts of lower tiers are no backlog for those of a higher tier
    Given a choice of 1 engines
    When 6 memos of 39000 tokens were sent to engine 1 just now
    Then a short stream of a higher tier is not refused

  Scenario: a prompt that would wait too long for a slot is refused, not sent
    Given a choice of 1 engines
    When 64 short streams run at engine 1
    And 100 short streams were sent to engine 1 just now
    Then a short stream is refused because its target is unreachable

  Scenario: a prompt does not wait for slots behind those of lower tiers
    Given a choice of 1 engines
    When 64 short streams run at engine 1
    And 100 short streams were sent to engine 1 just now
    Then a short stream of a higher tier is not refused

  Scenario: a free slot at another server outweighs reading the prompt there
    Given a choice of 2 engines
    When 64 short streams run at engine 1
    And 20 short streams were sent to engine 1 just now
    Then the choice for a short stream is engine 2

  Scenario: one lost answer does not eject a server
    Given a choice of 2 plain servers
    When 1 answers in a row were lost at server 2
    Then server 2 is still chosen

  Scenario: a server that loses several answers in a row is ejected
    Given a choice of 2 plain servers
    When 3 answers in a row were lost at server 2
    Then server 2 is not chosen

  Scenario: if every server is ejected, one is tried instead of refusing the request
    Given a choice of 2 plain servers
    When 3 answers in a row were lost at server 1
    And 3 answers in a row were lost at server 2
    Then some server is chosen
