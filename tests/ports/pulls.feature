Feature: values and members are pulled from other daemons

  Scenario Outline: a pull answers whole or not at all
    Given a pull server <server>
    When the pull asks for <names> <condition>
    Then the pull gives <answer>

    Examples:
      | server         | names      | condition                      | answer          |
      | of our keys    | page-1     | as is                          | page-1          |
      | of our keys    | page-1,no  | as is                          | page-1          |
      | of our keys    | members    | as is                          | the members     |
      | of our keys    | page-1     | with the link cut at our end   | nothing         |
      | of our keys    | page-1     | with the link cut at its end   | nothing         |
      | of other keys  | page-1     | as is                          | nothing         |
      | that is gone   | page-1     | as is                          | nothing         |
      | that hangs     | page-1     | as is                          | nothing         |
      | of big pages   | page-1,big | as is                          | page-1          |
      | that repeats an old answer | page-1 | as is                  | nothing         |
      | that sends garbage | page-1 | as is                          | nothing         |
      | that says 4 GB     | page-1 | as is                          | nothing         |

  Scenario: a stranger's connections do not stop the server
    Given a pull server of our keys
    When the pull server gets 40 connections that say nothing
    Then the pull server still answers once they are gone

  Scenario Outline: an envelope is read as it was written
    Given the envelope codec
    Then the envelope codec reads back any <message>

    Examples:
      | message    |
      | heartbeat  |
      | demand     |
      | allocation |
      | pull       |
      | pulled     |

  Scenario: bytes that are no envelope are told from one
    Given the envelope codec
    Then the envelope codec gives nothing for any other bytes, and never fails
