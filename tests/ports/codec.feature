Feature: messages between daemons are encoded with all their fields

  Scenario Outline: a message is decoded as it was encoded
    Given the codec's message "<kind>" with no field at its default
    Then the codec decodes an equal message

    Examples:
      | kind       |
      | heartbeat  |
      | demand     |
      | allocation |
      | pull       |
      | pulled     |
