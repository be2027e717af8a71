Feature: daemons limit the crashes of real engines

  Scenario Outline: a caller resends a poison prompt to each daemon in turn
    Given a containment of <hosts> daemons <variant> before 5 engines that "POISON" crashes
    When the containment's callers stream 16 answers while one sends "POISON pill" 3 times
    Then the containment's crashed engines are <lost>
    And the containment's answers are <answers>

    Examples:
      | hosts | variant            | lost       | answers                                      |
      | 1     | unmodified         | at most 2  | complete, and the poison gets 1231 1230 1230 |
      | 3     | unmodified         | at most 2  | complete, and the poison gets 1231 1230 1230 |
      | 1     | without quarantine | at least 3 | any                                          |

  Scenario Outline: a caller sends different prompts that share a poison message
    Given a containment of <hosts> daemons unmodified before 12 engines that "POISON" crashes
    When the containment's callers send 8 different prompts that share the message "POISON pill"
    Then the containment's crashed engines are at most 5
    And each prompt that shares only the first message is answered completely

    Examples:
      | hosts |
      | 1     |
      | 3     |

  Scenario: an engine crashes in the middle of its answers
    Given a containment of 1 daemons unmodified before 3 engines that "nothing" crashes
    When the containment's callers stream 16 answers while an engine crashes after 5 tokens
    Then the containment's crashed engines are at most 1
    And the containment's answers are complete
