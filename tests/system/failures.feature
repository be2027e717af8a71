Feature: the guarantees hold while processes crash, freeze and are partitioned

  Background:
    Given a fault-test system of 3 daemons, 3 engines and 1 service

  Scenario: callers get complete answers although an engine is killed during their streams
    When the fault-test system has 12 streams of 60 tokens in progress
    And the fault-test system's engine 0 is killed
    Then the fault-test system gave each caller one complete correct answer
    And the fault-test system generated no delivered token twice

  Scenario: a call runs once although its daemon is killed before the call's outcome
    When the fault-test system's daemon 0 is killed while a call is running
    Then the fault-test system answers a retry at each other daemon with ran "maybe"
    And the fault-test system's service ran the call once

  Scenario: the platform is down for the whole run
    When the fault-test system's platform is down
    Then the fault-test system answers requests of each class through each daemon
    And the fault-test system refuses a call that must be recorded with code 1300 and ran "no"
    And the fault-test system's service ran nothing

  Scenario: a daemon that starts while the platform is down fetches the table from its peers
    When the fault-test system's platform is down
    And the fault-test system's daemon 1 is killed and started again
    Then the fault-test system's daemon 1 has the table in force

  Scenario: a daemon frozen beyond its leases serves again
    When the fault-test system's daemon 2 is frozen until the others consider it dead
    Then the fault-test system answers requests of each class through each daemon

  Scenario: a draining backend server gets no new requests, not even from a partitioned daemon
    When the fault-test system's daemon 2 is partitioned from the other daemons
    And the fault-test system has 6 streams of 60 tokens in progress
    And the fault-test system's engine 1 is set to draining in the table
    Then the fault-test system gave each caller one complete correct answer
    And the fault-test system's engine 1 gets none of 30 further requests

  Scenario: all daemons are restarted one by one under load
    When the fault-test system's daemons are restarted one by one under load
    Then the fault-test system gave each caller one complete correct answer
    And the fault-test system's daemons have the newest revision in force
