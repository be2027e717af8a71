Feature: values and members are pulled from other daemons

  Scenario Outline: a pull returns a complete answer or nothing
    Given a pull server <server>
    When the pull requests <names> <condition>
    Then the pull returns <answer>

    Examples:
      | server                     | names        | condition                    | answer      |
      | with our keys              | page-1       | as is                        | page-1      |
      | with our keys              | page-1,no    | as is                        | page-1      |
      | with our keys              | members      | as is                        | the members |
      | with our keys              | page-1       | with the link cut at our end | nothing     |
      | with our keys              | page-1       | with the link cut at its end | nothing     |
      | with other keys            | page-1       | as is                        | nothing     |
      | that is closed             | page-1       | as is                        | nothing     |
      | that hangs                 | page-1       | as is                        | nothing     |
      | with large pages           | page-1,large | as is                        | page-1      |
      | that replays an old answer | page-1       | as is                        | nothing     |
      | that sends garbage         | page-1       | as is                        | nothing     |
      | that announces 4 GB        | page-1       | as is                        | nothing     |

  Scenario: idle connections of strangers don't block the server
    Given a pull server with our keys
    When the pull server gets 40 idle connections
    Then the pull server answers again once they are closed

  Scenario Outline: an envelope is decoded as it was encoded
    Given the envelope codec
    Then the envelope codec round-trips any <message>

    Examples:
      | message    |
      | heartbeat  |
      | demand     |
      | allocation |
      | pull       |
      | pulled     |

  Scenario: arbitrary bytes are decoded without an exception
    Given the envelope codec
    Then the envelope codec returns an envelope or nothing for any bytes, and never raises
