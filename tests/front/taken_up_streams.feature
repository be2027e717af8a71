Feature: a stream that its caller takes up runs at one server at a time

  Scenario Outline: a caller takes its stream up while its first connection hangs
    Given 4 fronts and servers whose streams take 1.5 s
    When a caller reads two events at <first>, and takes its stream up at <where> while its first connection hangs
    Then the caller gets the rest of its stream
    And no two runs of the stream overlap by more than 0.4 s
    And the log tells that the stream was taken up

    Examples:
      | first                              | where                      |
      | the first host                     | another host               |
      | the first host                     | the same host              |
      | the first host                     | a host, and then another   |
      | a host that is cut off             | another host               |
      | a host that is cut off             | the same host              |
      | the first host                     | a host that is cut off     |

  Scenario Outline: messages between the hosts are lost
    Given 4 fronts and servers whose streams take 1.5 s
    And the first <count> messages that tell of a stream taken up are lost
    When a caller reads two events at the first host, and takes its stream up at another host while its first connection hangs
    Then the caller gets the rest of its stream
    And no two runs of the stream overlap by more than 0.4 s

    Examples:
      | count |
      | 1     |
      | 3     |
      | 5     |

  Scenario: a caller takes its stream up without naming it
    Given 4 fronts and servers whose streams take 1.5 s
    And the caller does not name its stream
    When a caller reads two events at the first host, and takes its stream up at another host while its first connection hangs
    Then the caller gets the rest of its stream
    And no two runs of the stream overlap by more than 0.4 s

  Scenario: a host that has no server for a stream refuses to take it up
    Given 4 fronts and servers whose streams take 1.5 s
    When a caller names the stream that it still reads at a host that has no server for it
    Then the caller that reads it gets its whole stream

  Scenario: a host that was not told that a stream moved takes it up
    Given 4 fronts and servers whose streams take 1.5 s
    And the third host is not told what the second one serves
    When a caller reads two events at the first host, and takes its stream up at a host, and then another while its first connection hangs
    Then the caller gets the rest of its stream
    And no two runs of the stream overlap by more than 0.4 s

  Scenario: a caller of another organisation names the stream
    Given 4 fronts and servers whose streams take 1.5 s
    When a caller of another organisation names the stream of a caller that reads it
    Then the caller that reads it gets its whole stream

  Scenario: a late message that a stream was taken up does not end a later answer
    Given 4 fronts and servers whose streams take 1.5 s
    When a caller takes its stream up at another host and then at the first one, and the news of the other arrive once more
    Then the caller gets the rest of its stream
