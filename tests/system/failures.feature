Feature: the promises hold while processes die, freeze and are cut off

  Background:
    Given a failing system of 3 daemons, 3 engines and 1 service

  Scenario: an engine killed midway costs its callers nothing but time
    When the failing system has 12 streams of 60 tokens under way
    And the failing system's engine 0 is killed
    Then the failing system gave each caller its one whole right answer
    And the failing system made no delivered token twice

  Scenario: a daemon killed between a call's sending and its outcome never makes it run twice
    When the failing system's daemon 0 is killed while a call is running
    Then the failing system answers a resend at each other daemon with ran "maybe"
    And the failing system's service ran the call once

  Scenario: the platform is down for the whole run
    When the failing system's platform is down
    Then the failing system answers requests of each class through each daemon
    And the failing system refuses a call that must be recorded with code 1300 and ran "no"
    And the failing system's service ran nothing

  Scenario: a daemon that starts while the platform is down takes the table from its peers
    When the failing system's platform is down
    And the failing system's daemon 1 is killed and started again
    Then the failing system's daemon 1 has the table in force

  Scenario: a daemon frozen past its leases comes back and serves
    When the failing system's daemon 2 is frozen till the others think it dead
    Then the failing system answers requests of each class through each daemon

  Scenario: a backend server in graceful shutdown gets no new work, a cut-off daemon's included
    When the failing system's daemon 2 is cut off from the other daemons
    And the failing system has 6 streams of 60 tokens under way
    And the failing system's engine 1 is set to draining in the table
    Then the failing system gave each caller its one whole right answer
    And the failing system's engine 1 gets none of 30 further requests

  Scenario: all daemons are restarted one by one under load
    When the failing system's daemons are restarted one by one under load
    Then the failing system gave each caller its one whole right answer
    And the failing system's daemons have the newest revision in force
