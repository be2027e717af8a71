Feature: a damaged message from another host is dropped

  Scenario: no damaged message ends or holds up the process that gets it
    When 200 damaged copies of each kind of message are decoded, with the seeds 1 to 5
    Then the processes that decode them live on
    And no message is decoded for longer than 500 ms
