Feature: redwingctl timeline merges the events of all processes

  Scenario Outline: clock offsets are bounded by causes and effects
    Given the event records "<records>"
    When the records are merged
    Then the clock offsets are "<clocks>" and <consistent>

    Examples: a record is host:number:wall:event; note1 and heard1 are a notice sent and received
      | records                                                           | clocks                      | consistent   |
      | a:1:10.0:start b:1:10.0:start                                     | a=0:0:0 b=0:?:?             | consistent   |
      | a:1:10.0:note1 b:1:10.004:heard1                                  | a=0:0:0 b=0:?:0.004         | consistent   |
      | a:1:10.0:note1 b:1:9.0:heard1                                     | a=0:0:0 b=-1:?:-1           | consistent   |
      | a:1:10.0:note1 b:1:15.004:heard1 b:2:16.0:note2 a:2:11.002:heard2 | a=0:0:0 b=5.001:4.998:5.004 | consistent   |
      | a:1:10.0:note1 b:1:10.1:heard1 b:2:11.0:note2 c:1:11.2:heard2     | a=0:0:0 b=0:?:0.1 c=0:?:0.3 | consistent   |
      | a:1:10.0:note1 b:1:9.0:heard1 b:2:9.5:note2 a:2:10.2:heard2       | a=0:?:? b=0:?:?             | inconsistent |

  Scenario Outline: the order is right despite clock skew, restarts and duplicate files
    Given the event records "<records>"
    When the records are merged
    Then the order is "<order>"

    Examples:
      | records                                                               | order          |
      | a:1:10.0:x b:1:9.0:y                                                  | b1 a1          |
      | a:1:10.0:x a:1:10.0:x a:2:11.0:y                                      | a1 a2          |
      | a:1:10.0:note1 b:1:6.0:heard1 b:2:6.5:note2 a:2:11.0:heard2 b:3:6.1:z | a1 b1 b3 b2 a2 |
      | a:1:10.0:note1 b:1:10.0:heard1                                        | a1 b1          |
      | a:1:10.0:x a:2:11.0:y a:1:20.0:x a:2:21.0:y                           | a1 a2 a1 a2    |
      | a:1:10.0:x broken a:2:11.0:y                                          | a1 a2          |

  Scenario: a wall clock stepped back does not reorder a process
    Given the event records "a:1:10.0:x a:2:11.0:x a:3:12.0:x a:4:13.0:x a:5:14.0:x"
    And the wall clock of host "a" is stepped by -60 s before record 5
    When the records are merged
    Then the order is "a1 a2 a3 a4 a5"

  Scenario Outline: the command filters events and reports errors
    Given the event files of a crash
    When the user runs "timeline {files} <arguments>"
    Then the exit code is <code> and <shown> events are shown

    Examples:
      | arguments          | code | shown |
      |                    | 0    | 8     |
      | --request abc      | 0    | 4     |
      | --server engine-2  | 0    | 5     |
      | --host entry-2     | 0    | 1     |
      | --request nothing  | 1    | 0     |
      | missing.jsonl      | 2    | 0     |
      | --from 127.0.0.1:1 | 0    | 8     |

  Scenario: text, JSON and SVG output show the same events
    Given the event files of a crash
    When the user runs "timeline {files} --svg {svg}"
    Then the output contains "entry-2: clock" and "<- entry-1#3"
    And the SVG image is well-formed with 8 dots, 1 link and no external resources

  Scenario Outline: explain shows each decision and its reason
    Given the event files of a crash
    When the user runs "explain <request> {files}"
    Then the exit code is <code>
    And the output contains "<text>" and "<more>"

    Examples:
      | request | code | text                                                         | more                                    |
      | abc     | 0    | granted a slot on engine-2, attempt 1, 12.5 ms after arrival | load 3 of 8 slots                       |
      | abc     | 0    | attempt at engine-2 ended: crashed, 4 tokens delivered       | [engine-2 went from serving to ejected] |
      | abc     | 0    | avoiding engine-2 after failed attempts                      | answered completely, 9 tokens           |
      | def     | 0    | 1210 SHED: the queue is over what can be served              | ran=no; the caller should: come back    |
      | nobody  | 1    | no record of request nobody                                  | add the other hosts                     |
      |         | 1    | no record of request                                         | add the other hosts                     |
