Feature: the stand-in engine implements the engine protocol

  Scenario Outline: an answer is the one that checkers recompute
    Given the stand-in engine with 2 slots
    When the stand-in engine is asked for 7 tokens, stream <stream>, from <from>, at most <limit>
    Then the stand-in engine's answer is complete with tokens <from> to <to>
    And the stand-in engine's answer finishes with reason "<reason>"

    Examples:
      | stream | from | limit | to | reason |
      | true   | 0    | 100   | 7  | stop   |
      | false  | 0    | 100   | 7  | stop   |
      | true   | 3    | 100   | 7  | stop   |
      | true   | 7    | 100   | 7  | stop   |
      | true   | 0    | 4     | 4  | length |
      | false  | 0    | 4     | 4  | length |

  Scenario Outline: a malformed request is refused
    Given the stand-in engine with 1 slots
    When the stand-in engine receives "<method>" "<path>" with "<body>"
    Then the stand-in engine responds with status <status>
    And the stand-in engine's counter "started" is 0

    Examples:
      | method | path                 | body                               | status |
      | POST   | /v1/chat/completions | [                                  | 400    |
      | POST   | /v1/chat/completions | {}                                 | 400    |
      | POST   | /v1/chat/completions | {"messages": "x"}                  | 400    |
      | POST   | /v1/chat/completions | {"messages": [], "model": "other"} | 404    |
      | GET    | /v1/chat/completions |                                    | 404    |
      | POST   | /cancel/nobody       |                                    | 404    |
      | GET    | /kv/12               |                                    | 404    |
      | PUT    | /kv/12               | wrong                              | 422    |
      | POST   | /orders              | {"fencing": 1}                     | 400    |
      | POST   | /orders              | {"fencing": 1, "order": "fly"}     | 400    |
      | POST   | /faults              | {"fly": 1}                         | 400    |
      | POST   | /faults              | {"slow": "very"}                   | 400    |

  Scenario Outline: a fault switch has its effect
    Given the stand-in engine with 2 slots
    And the stand-in engine's faults are <faults>
    When the stand-in engine is asked for 6 tokens, stream <stream>, from 0, at most 100
    Then the stand-in engine's answer is <outcome> with status <status> and <tokens> tokens
    When the stand-in engine is asked for 6 tokens, stream true, from 0, at most 100
    Then the stand-in engine's answer is <next> with status <status-next> and <tokens-next> tokens

    Examples:
      | faults                                     | stream | outcome  | status | tokens | next     | status-next | tokens-next |
      | {}                                         | true   | complete | 200    | 6      | complete | 200         | 6           |
      | {"garbage": 1}                             | true   | complete | 200    | 0      | complete | 200         | 6           |
      | {"refuse": 1}                              | true   | complete | 503    | 0      | complete | 200         | 6           |
      | {"close_early": 1, "close_after_tokens": 2} | true  | cut off  | 200    | 2      | complete | 200         | 6           |
      | {"close_early": 1}                         | false  | cut off  | 0      | 0      | complete | 200         | 6           |
      | {"slow": 3}                                | true   | complete | 200    | 6      | complete | 200         | 6           |
      | {"freeze_s": 0.05}                         | true   | complete | 200    | 6      | complete | 200         | 6           |
      | {"crash": true}                            | true   | cut off  | 0      | 0      | cut off  | 0           | 0           |
      | {"crash_after_tokens": 4}                  | true   | cut off  | 200    | 4      | cut off  | 0           | 0           |
      | {"crash_marker": "length=6"}               | true   | cut off  | 0      | 0      | cut off  | 0           | 0           |

  Scenario: a restarted engine serves again after a crash
    Given the stand-in engine with 2 slots
    And the stand-in engine's faults are {"crash": true}
    When the stand-in engine is asked for 6 tokens, stream true, from 0, at most 100
    And the stand-in engine's faults are {"restart": true}
    And the stand-in engine is asked for 6 tokens, stream true, from 0, at most 100
    Then the stand-in engine's answer is complete with tokens 0 to 6

  Scenario: waiting requests start by priority, then arrival, without preemption of running ones
    Given the stand-in engine with 1 slots
    When the stand-in engine runs a long request "first" of priority 9
    And the stand-in engine has these waiting requests
      | request | priority |
      | low-1   | 5        |
      | low-2   | 5        |
      | high    | 1        |
      | middle  | 3        |
    And the stand-in engine's request "first" is cancelled by its id
    Then the stand-in engine starts in the order "first, high, middle, low-1, low-2"

  Scenario Outline: a cancelled request frees its slot
    Given the stand-in engine with 1 slots
    When the stand-in engine runs a long request "first" of priority 1
    And the stand-in engine's request "first" is cancelled by its <method>
    Then the stand-in engine's load becomes 0 running and 0 waiting
    And the stand-in engine's counter "cancelled" is 1
    And the stand-in engine's counter "finished" is 0

    Examples:
      | method     |
      | id         |
      | connection |

  Scenario: a request with the id of a running one replaces it
    Given the stand-in engine with 1 slots
    When the stand-in engine runs a long request "first" of priority 1
    And the stand-in engine receives request "first" again
    Then the stand-in engine's answer is complete with tokens 0 to 3
    And the stand-in engine's counter "cancelled" is 1

  Scenario Outline: an order with an old fencing number
    Given the stand-in engine with 1 slots and "<fencing>" fencing
    When the stand-in engine receives the order "drain" with fencing number 5
    And the stand-in engine receives the order "undrain" with fencing number <number>
    Then the stand-in engine responds with status <status>
    And the stand-in engine has executed <executed> orders
    And the stand-in engine reports draining <draining>

    Examples:
      | fencing | number | status | executed | draining |
      | checked | 4      | 409    | 1        | true     |
      | checked | 5      | 200    | 2        | false    |
      | checked | 6      | 200    | 2        | false    |
      | ignored | 4      | 200    | 2        | false    |

  Scenario Outline: load reports are delayed, hide their age or are missing
    Given the stand-in engine with 1 slots
    And the stand-in engine's faults are <faults>
    When the stand-in engine runs a long request "first" of priority 1
    Then the stand-in engine's load report has status <status>, <running> running and age <age> ms

    Examples:
      | faults                                             | status | running | age     |
      | {}                                                 | 200    | 1       | 0.0     |
      | {"report_lag_ms": 100000}                          | 200    | 0       | 100000.0 |
      | {"report_lag_ms": 100000, "report_hides_age": true} | 200   | 0       | 0.0     |
      | {"no_reports": true}                               | 404    | 0       | 0.0     |

  Scenario: a repeated prompt is served from the cache while its blocks are kept
    Given the stand-in engine with a cache of 4 blocks
    When the stand-in engine processes a prompt of 3 blocks named "a"
    And the stand-in engine processes a prompt of 3 blocks named "a"
    Then the stand-in engine's counter "prompt_tokens_cached" is 192
    When the stand-in engine processes a prompt of 3 blocks named "b"
    And the stand-in engine processes a prompt of 3 blocks named "a"
    Then the stand-in engine's counter "prompt_tokens_cached" is 256

  Scenario Outline: cache events are delayed and have gaps
    Given the stand-in engine with a cache of 100 blocks
    And the stand-in engine's faults are <faults>
    When the stand-in engine processes a prompt of 1 blocks named "a"
    And the stand-in engine processes a prompt of 1 blocks named "b"
    And the stand-in engine processes a prompt of 1 blocks named "c"
    Then the stand-in engine's cache events after <after> are numbered "<numbers>"

    Examples:
      | faults                      | after | numbers |
      | {}                          | 0     | 1,2,3   |
      | {}                          | 2     | 3       |
      | {"event_gap": 2}            | 0     | 1,3     |
      | {"event_delay_ms": 1000000} | 0     |         |

  Scenario: an engine does not recompute the blocks of an imported KV cache
    Given the stand-in engine with a cache of 100 blocks
    When the stand-in engine imports the KV cache of a prompt of 3 blocks named "a"
    And the stand-in engine processes a prompt of 3 blocks named "a"
    Then the stand-in engine's counter "prompt_tokens_cached" is 192
    And the stand-in engine exports the KV cache of a prompt of 3 blocks named "a"

  Scenario: in a separate process it prints its address, and a crash ends the process
    Given the stand-in engine in a separate process
    When the stand-in engine's faults are {"crash": true}
    And the stand-in engine is asked for 6 tokens, stream true, from 0, at most 100
    Then the stand-in engine's answer is cut off with status 0 and 0 tokens
    And the stand-in engine's process has crashed
