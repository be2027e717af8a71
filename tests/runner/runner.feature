Feature: the test run ends and counts whatever its scenarios do

  Scenario Outline: <case>
    Given a feature whose scenario <does>
    When the features run for at most 10 s
    Then <count> of its scenarios passed
    And "<failure>" is counted as failed
    And the output contains the text "<text>"
    And the run ended within 20 s

    Examples:
      | case                            | does                    | count | failure                                 | text           |
      | a failed cleanup is a failure   | fails in its cleanup    | 1     | the one under test                      | broken inbox   |
      | a group without an end is ended | never ends              | 0     | sample: did not end in time             | Current thread |
      | a group that dies is counted    | ends the process        | 0     | sample: no report, exit status 3        | leaving        |
      | a failed hook is a failure      | fails after the feature | 2     | exit status 1 without a failed scenario | broken hook    |
