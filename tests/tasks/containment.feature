Feature: a daemon before real engines contains crashes

  Scenario Outline: a poison prompt that its caller sends again
    Given a containment daemon <variant> before 5 engines that "POISON" crashes
    When the containment's callers stream 16 answers while one sends "POISON pill" 3 times
    Then the containment's engines lost are <lost>
    And the containment's answers are <answers>

    Examples:
      | variant            | lost       | answers                                     |
      | as it is           | at most 2  | whole, and the poison is told 1231 1230 1230 |
      | without quarantine | at least 3 | any                                         |

  Scenario: an engine that crashes in the middle of its answers
    Given a containment daemon as it is before 3 engines that "nothing" crashes
    When the containment's callers stream 16 answers while an engine crashes after 5 tokens
    Then the containment's engines lost are at most 1
    And the containment's answers are whole
