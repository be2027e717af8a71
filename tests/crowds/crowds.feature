Feature: clients that don't behave leave a host alive, within its memory, and able to serve others

  Scenario Outline: a crowd sends <requests>
    Given a host of 80 MB and 400 descriptors, whose servers read <reading>
    When <count> clients send it <requests>, again if they are refused or closed, and stay
    Then one ordinary request to the host is answered beside the crowd
    When the crowd leaves
    Then one ordinary request to the host is answered
    And the host's process has lived, within its memory and descriptors

    Examples:
      | count | reading | requests                                        |
      | 60    | at once | bodies of legal size, one byte short            |
      | 60    | at once | bodies of legal size in one chunk, never ended  |
      | 60    | at once | bodies of legal size in small chunks, not ended |
      | 60    | at once | bodies of legal size without a valid key        |
      | 60    | at once | bodies of legal size, whole                     |
      | 60    | slowly  | bodies of legal size, whole                     |
      | 60    | never   | bodies of legal size, whole                     |
      | 60    | slowly  | eight whole requests of legal size at once      |
      | 200   | at once | heads of very many short lines, and a body      |
      | 100   | never   | heads of very many short lines, and a body      |
      | 200   | at once | heads of very many short lines, one byte short  |
      | 200   | at once | heads of very many short lines, unfinished      |
      | 200   | at once | header lines without end                        |
      | 200   | at once | a header line without end                       |
      | 200   | at once | empty lines without end                         |
      | 200   | at once | requests without end, and read no answer        |
      | 60    | at once | requests of long answers, and read none         |
      | 450   | at once | nothing                                         |

  Scenario: a request of legal size is served in calm
    Given a host of 80 MB and 400 descriptors, whose servers read slowly
    Then a single request to the host of the largest legal head and body is answered
    And the host's process has lived, within its memory and descriptors
