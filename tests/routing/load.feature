Feature: the load of a server is estimated from what all hosts tell of its requests

  Scenario: urgent prompts that pass a backlog don't make a server look faster
    Given an engine that reads 30000 tokens a second
    When 20 prompts of 9000 tokens wait there, and 40 urgent ones of 1000 tokens pass them
    Then the engine's learned read speed is within a fifth of 30000

  Scenario: the speed of an idle engine is not learned from the time between requests
    Given an engine that reads 30000 tokens a second
    When it reads a prompt of 9000 tokens every 2 s, 40 times
    Then the engine's learned read speed is within a fifth of 30000

  Scenario: a request of any tier waits for the prompt that is being read
    Given an engine that reads 40000 tokens a second
    When a prompt of 20000 tokens of a lower tier is being read since 0.1 s
    Then 16000 tokens are ahead of an urgent request
    And 16000 tokens are ahead of one of the lower tier

  Scenario: a prompt of a lower tier that is not being read yet delays no urgent one
    Given an engine that reads 40000 tokens a second
    When a prompt of 20000 tokens of a lower tier is being read since 0.1 s
    And another one of 20000 tokens waits behind it
    Then 16000 tokens are ahead of an urgent request
    And 36000 tokens are ahead of one of the lower tier

  Scenario: pauses while prompts are read are learned from streams
    Given an engine that reads 40000 tokens a second
    When its streams pause for 0.11 s while it reads prompts, 300 times
    Then the longest pause expected beside a prompt of 40000 tokens is 0.1 to 0.13 s
    And the longest pause expected beside a prompt of 400 tokens is 0.03 to 0.06 s

  Scenario: pauses while no prompt is read say nothing about prompts
    Given an engine that reads 40000 tokens a second
    When its streams pause for 1.5 s while it reads no prompt, 300 times
    Then the longest pause expected beside a prompt of 40000 tokens is 0.2 to 0.3 s
