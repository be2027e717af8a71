Feature: every field of a message between daemons crosses the wire

  Scenario Outline: a message comes back as it went
    Given the codec's message "<kind>" with no field left at its default
    Then the codec gives it back equal

    Examples:
      | kind       |
      | heartbeat  |
      | demand     |
      | allocation |
      | pull       |
      | pulled     |
