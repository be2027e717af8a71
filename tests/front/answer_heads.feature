Feature: an answer ends where its head says, whatever the head looks like

  Scenario Outline: HEAD for a <kind> call gets the server's head alone, and the next call its own answer
    When a caller sends HEAD and then POST for a <kind> request to a server in mode <mode>
    Then it gets the server's head, and then the whole answer

    Examples:
      | kind   | mode   |
      | single | ok     |
      | read   | error  |
      | memo   | stream |

  Scenario Outline: <what> costs the caller of a <kind> request at most its answer
    When a server answers a <kind> request with <what>
    Then the caller gets <status> soon, and nothing that is no answer

    Examples: heads and ends of bodies that say how long an answer is
      | kind   | what                                | status |
      | single | chunks of a coded body              | 502    |
      | fixed  | events in chunks of a coded body    | 502    |
      | single | a body with an unknown coding       | 502    |
      | fixed  | events with an unknown coding       | 502    |
      | single | two lengths                         | 502    |
      | single | a length and chunks                 | 502    |
      | single | a folded line                       | 502    |
      | single | bare line feeds                     | 502    |
      | single | trailers that contradict the head   | 200    |
      | single | a length in its trailers            | 502    |
      | single | half of its trailers, and the end   | 502    |
      | single | half of its last chunk, and the end | 502    |
      | single | half of a long header, and the end  | 502    |
