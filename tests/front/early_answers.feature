Feature: an answer that comes before its request was sent is whole, or it is none

  Scenario Outline: a server answers a long <kind> request at once, <how>
    When a server answers a long <kind> request of a caller before it has read it, <how>
    Then the caller gets <answer>

    Examples:
      | kind   | how                                                 | answer             |
      | single | with a length, and keeps reading                    | the whole answer   |
      | single | with a length, and closes its connection            | the whole answer   |
      | single | with a length, and resets its connection            | the whole answer   |
      | single | with a length, a part of it, then a reset           | no complete answer |
      | single | without a length, a part of it, then a reset        | no complete answer |
      | single | without a length, a part of it, then a close        | no complete answer |
      | single | without a length, a part of it, an end, then a reset | no complete answer |
      | memo   | without a length, a part of it, then a reset        | no complete answer |
      | memo   | without a length, a part of it, then a close        | no complete answer |
      | single | in chunks, a part of it, then a reset               | no complete answer |

  Scenario Outline: a server answers with the status <status>
    When a server gives a <kind> request the status <status>
    Then the caller gets a status from 200 to 599

    Examples:
      | kind   | status |
      | single | 000    |
      | memo   | 000    |
      | single | 099    |
      | single | 600    |
      | single | 999    |
      | single | 0200   |
