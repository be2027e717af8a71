Feature: the control socket's counters are exported as metrics

  Scenario Outline: each counter is exported with its kind or reason and its latest value
    Given the peer metrics' counter "<counter>" increases by <first> for "<key>"
    When the peer metrics are exported
    And the peer metrics' counter "<counter>" increases by <more> for "<key>"
    And the peer metrics are exported
    Then the peer metrics contain the line
      """
      <line>
      """

    Examples:
      | counter      | key       | first | more | line                                                    |
      | messages_out | heartbeat | 1     | 2    | redwingbank_peer_messages_out_total{kind="heartbeat"} 3 |
      | bytes_out    | demand    | 60    | 40   | redwingbank_peer_bytes_out_total{kind="demand"} 100     |
      | messages_in  | demand    | 1     | 0    | redwingbank_peer_messages_in_total{kind="demand"} 1     |
      | bytes_in     | dropped   | 5     | 6    | redwingbank_peer_bytes_in_total{kind="dropped"} 11      |
      | dropped      | stranger  | 1     | 1    | redwingbank_peer_dropped_total{reason="stranger"} 2     |
