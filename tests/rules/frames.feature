Feature: an engine's stream is split into whole frames, whatever its chunks

  Scenario Outline: chunks of any size give the same frames
    Given frames of 5 tokens with an end mark, in chunks of <size> bytes
    Then the frames are whole, with 5 tokens, and are finished

    Examples:
      | size |
      | 1    |
      | 7    |
      | 200  |
      | 9999 |

  Scenario Outline: bytes that are not a frame are garbage
    When the frames are fed "<bytes>"
    Then the frames are garbage

    Examples:
      | bytes                                                                                    |
      | <html>                                                                                   |
      | data: {"a":1}\n\nhello\n\n                                                               |
      | data: {"choices":[]}\n\nhello\n\n                                                        |
      | data: not json\n\n                                                                       |
      | data: {"error":{"message":"no"}}\n\n                                                     |
      | data: [DONE]\n\n                                                                         |
      | data: {"choices":[{"finish_reason":null}]}\n\ndata: [DONE]\n\n                           |
      | data: [DONE]\n\ndata: {"a":1}\n\n                                                        |
      | data: {"choices":[{"finish_reason":"stop"}]}\n\ndata: [DONE]\n\ndata: {"choices":[]}\n\n |
      | event: x\n\n                                                                             |

  Scenario: an incomplete frame is dropped when another server continues
    When the frames are fed "data: {\"cho"
    And the frames are reset
    And the frames are fed "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n"
    Then the frames have 1 token and are not finished

  Scenario: a streamed answer is assembled into one completion
    Given frames of 5 tokens with an end mark, in chunks of 64 bytes
    Then the frames assemble to "w0 w1 w2 w3 w4 "
