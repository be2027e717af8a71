Feature: daemons before real engines contain crashes

  Scenario Outline: a poison prompt that its caller sends again, to each daemon in turn
    Given a containment of <hosts> daemons <variant> before 5 engines that "POISON" crashes
    When the containment's callers stream 16 answers while one sends "POISON pill" 3 times
    Then the containment's engines lost are <lost>
    And the containment's answers are <answers>

    Examples:
      | hosts | variant            | lost       | answers                                      |
      | 1     | as they are        | at most 2  | whole, and the poison is told 1231 1230 1230 |
      | 3     | as they are        | at most 2  | whole, and the poison is told 1231 1230 1230 |
      | 1     | without quarantine | at least 3 | any                                          |

  Scenario: an engine that crashes in the middle of its answers
    Given a containment of 1 daemons as they are before 3 engines that "nothing" crashes
    When the containment's callers stream 16 answers while an engine crashes after 5 tokens
    Then the containment's engines lost are at most 1
    And the containment's answers are whole
