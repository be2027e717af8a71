Feature: a caller that reads no answers has no further ones made for it

  Scenario: requests behind an unread answer wait until it is read
    When 60 requests of a caller get answers of 200 kB in turn, and it reads none
    Then the host holds at most 512 kB of answers for it
    And once it reads, it gets all answers of the requests that it has sent
