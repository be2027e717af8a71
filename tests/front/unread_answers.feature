Feature: a caller that reads no answers has no further ones made for it

  Scenario: requests behind an unread answer wait until it is read
    When 60 requests of a caller get answers of 200 kB in turn, and it reads none
    Then the host holds at most 512 kB of answers for it
    And once it reads, it gets all answers of the requests that it has sent

  Scenario: probes that read no answers, or send nothing, hold little
    When a client opens 150 connections for probes, and asks for the metrics 20000 times on one
    Then the host keeps at most 64 of them, and at most 1000 kB for the one
    And the host's readiness is still told
