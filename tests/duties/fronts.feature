Feature: fronts report usage together

  Scenario: reports go on after the holder is killed
    # Guards against a takeover that is late, loses the counts of other hosts, or contradicts a
    # report of the holder before.
    Given 3 front processes that share the usage reports
    When callers send requests for 24 s, and the holder is killed after 13 s
    Then another host reported on, no window got two reports
    And each window was reported within 10 s of its end
    And all windows but those of the loss have the counts that the servers began

  Scenario: a front that stops releases the duties and tells its last counts
    # Guards against a stop that leaves the duties to nobody until the lease runs out, and against
    # counts that are lost with it.
    Given 3 front processes that share the usage reports
    When callers send requests for 22 s, and the holder gets SIGTERM after 13 s
    Then another host reported on, no window got two reports
    And each window was reported within 10 s of its end
    And redwingctl shows the new holder, its windows and the changes of holder
    And all windows have the counts that the servers began
