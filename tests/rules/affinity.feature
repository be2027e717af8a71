Feature: affinity estimates which server holds a prompt's leading blocks

  Scenario Outline: affinity follows sends and events that come late and with gaps
    Given an affinity with a capacity of 100 blocks
    When the affinity processes "<events>"
    Then the affinity holds <held> leading blocks of "1 2 3 4" at "a"

    Examples: an event is written as: event SERVER NUMBER STORED EVICTED
      | events                                             | held |
      | forget a                                           | 0    |
      | sent a 1,2,3,4                                     | 4    |
      | sent a 1,2                                         | 2    |
      | sent b 1,2,3,4                                     | 0    |
      | sent a 2,3,4                                       | 0    |
      | event a 1 1,2,3 -                                  | 3    |
      | sent a 1,2,3,4; event a 1 - 3                      | 2    |
      | event a 5 1,2 -; event a 4 3 -                     | 2    |
      | sent a 1,2,3,4; event a 5 - -; event a 4 - 2       | 1    |
      | event a 900 1,2,3 -; event a 1 1 -                 | 1    |
      | event a 1 1,2,3,4 -; event a 2 - -                 | 4    |
      | event a 1 1,2,3,4 -; event a 9 - -                 | 0    |
      | event a 1 1,2,3,4 -; event a 9 - -; sent a 1,2     | 2    |
      | sent a 1,2,3,4; forget a                           | 0    |

  Scenario Outline: lost events evict blocks of that server only
    Given an affinity <kind>
    When the affinity misses half of the events of an engine that evicts
    Then the affinity is wrong about <wrong> in 100 prompts

    Examples:
      | kind                             | wrong       |
      | with a capacity of 2000 blocks   | at most 10  |
      | without eviction for lost events | at least 20 |

  Scenario: affinity's memory is bounded and drops the least recently used blocks first
    Then the affinity never holds more blocks than its capacity
