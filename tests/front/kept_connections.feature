Feature: a connection that is kept after an answer carries the next one

  Scenario: a slow caller's answer ends while its server's connection is paused
    When an answer ends in the same bytes that fill its slow caller's buffer
    Then the next call on the server's connection gets its answer

  Scenario: a server starts again under its name, at another address
    When the only server starts again at another address after a call
    Then the next call is answered at the new address
