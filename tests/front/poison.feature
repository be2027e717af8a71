Feature: a request that crashes each server that runs it is kept from the rest

  Scenario: after three crashes in a row a request is refused without a run
    Given a front whose 6 servers crash with each request
    When the same request is sent 5 times
    Then at most 4 servers have crashed
    And the next sending is answered 503 with code 1232 and reaches no server
    And a request at another path still reaches a server

  Scenario: requests that ran at servers crashing at the same time are not suspect
    Given what a host holds against requests
    When servers "i-1 i-2 i-3 i-4" crash at the same time, each with a request like "f"
    Then "f" is not held

  Scenario: crashes one after the other hold a request for ten minutes
    Given what a host holds against requests
    When servers "i-1 i-2 i-3" crash one after the other with a request like "f"
    Then "f" is held
    And "f" is not held 601 s later

  Scenario: a whole answer clears a request
    Given what a host holds against requests
    When servers "i-1 i-2" crash one after the other with a request like "f"
    And a request like "f" is answered whole
    And server "i-3" crashes with a request like "f"
    Then "f" is not held

  Scenario: an answer that was lost at a living server is no crash
    Given what a host holds against requests
    When servers "i-1 i-2 i-3 i-4" lose the answer to a request like "f" and live on
    Then "f" is not held

  Scenario: hosts count crashes together
    Given what a host holds against requests
    When servers "i-1 i-2" crash one after the other with a request like "f"
    And another host tells that a request like "f" crashed its server
    Then "f" is held

  Scenario: a host's news of a crash reaches the others
    Given what two hosts hold against requests
    When servers "i-1 i-2 i-3" crash one after the other with a request like "f"
    Then "f" is held at the other host
    When a request like "f" is answered whole
    Then "f" is not held at the other host
