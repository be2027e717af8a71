Feature: unfinished bodies of a daemon's callers leave room for others

  Scenario: large requests are refused with a time to return, small ones are served
    Given a daemon whose callers may hold 4 MB, and 8 callers that have sent 600 kB of 1 MB each
    When a further caller sends a request of 600 kB, and another one a small request
    Then the further caller gets 503 with code 1227 and a time to return, and the other an answer
    And the large request is answered once the 8 have left
