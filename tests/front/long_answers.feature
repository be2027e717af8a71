Feature: an answer that is too long to be buffered is never mixed with another server's

  Scenario: a long error answer to a resumable stream breaks off
    When a memo gets a long error that breaks off, and another server would stream
    Then the memo's answer is the error alone, broken off

  Scenario: a server asked to resume a stream gives a long error
    When a memo breaks off, and the next server gives a long error, and another one would stream
    Then the memo's answer is the stream, whole, without a byte of the error

  Scenario: a long error answer to a resumable stream is complete
    When a memo gets a long error
    Then the memo's answer is the error alone, whole
