Feature: an entry of another writer that can't be used affects no other

  Scenario Outline: a server's entry with an odd <field>: <value>
    When a host follows a list of servers while some have the <field> "<value>"
    Then it uses the sound servers only, and logs each odd entry once
    And no task of it has failed

    Examples:
      | field | value            |
      | extra | deep             |
      | extra | deep object      |
      | seq   | 5000 digits      |
      | seq   | 1e999            |
      | slots | deep             |
      | slots | 5000 digits      |
      | slots | 2**70            |
      | slots | 2**40            |
      | slots | NaN              |
      | born  | 2**70            |
      | leaves_ms | 400 digits   |
      | zone  | half surrogate   |
      | service | bad bytes      |
      | zone  | megabyte         |
      | addr  | port 0           |
      | addr  | port -1          |
      | addr  | port 65536       |
      | addr  | port 5000 digits |
      | addr  | long label       |
      | addr  | wide label       |
      | addr  | any address      |

  Scenario: hosts that get the list from relays follow it beside odd entries
    When 16 hosts follow a list of servers while some have odd fields
    Then all use the sound servers only
    And no task of them has failed

  Scenario: a server whose entry becomes odd is not taken for one whose entry lapsed in an outage
    When an odd entry replaces a server's just after an outage of the store
    Then that server is not used, while one whose entry lapsed still is

  Scenario: an odd table leaves the one before in force
    When an odd table is written, and then a sound one with a new route
    Then the table before serves requests until the new one is in force
    And no task of it has failed

  Scenario Outline: a list of hosts with an odd address: <value>
    When a host reads a list of hosts of which one has the peer "<value>"
    Then it greets the sound ones, and can still send messages

    Examples:
      | value            |
      | deep             |
      | long label       |
      | wide label       |
      | name             |
      | port 0           |
      | port 5000 digits |

  Scenario Outline: a <document> with one odd value is decoded or found malformed, never more
    When one value after the other of a <document> is replaced by each odd one
    Then decoding it fails with its own error, or the result can be told to other hosts

    Examples:
      | document         |
      | list of servers  |
      | change of a server |
      | table            |
      | lease            |
      | server's report  |
      | helper's refusal |
      | list of hosts    |
      | settings file    |

  Scenario Outline: an odd <document> as a whole
    When a <document> consists of each odd value
    Then decoding it fails with its own error, or the result can be told to other hosts

    Examples:
      | document         |
      | list of servers  |
      | server's report  |
      | helper's refusal |
      | settings file    |

  Scenario Outline: an address that can't be connected to is an address out of reach
    Then connecting to "<host>" and port <port> fails as one to an unreachable server

    Examples:
      | host             | port  |
      | long label       | 80    |
      | 127.0.0.1        | 99999 |
      | 127.0.0.1        | -1    |

  Scenario Outline: a <document> may have anything in a key that is not used
    When a <document> has an unused key with each odd value
    Then it is decoded in each case

    Examples:
      | document         |
      | table            |
      | settings file    |

  Scenario Outline: a request with <header> "<value>" is refused, and hosts are told of the next
    When a memo with <header> "<value>" arrives at the same time as a sound one
    Then the first is refused as malformed, and the other host knows of the second

    Examples:
      | header        | value             |
      | Token-Count   | 1099511627776,5   |
      | Token-Count   | -5,5              |
      | Token-Count   | digits            |
      | Prompt-Prefix | aa:1e3,bb:1       |
      | Prompt-Prefix | aa:99999999999,bb:1 |
      | Prompt-Prefix | aa:-1,bb:2        |
      | Prompt-Prefix | aa:digits,bb:2 |
      | Deadline-Ms   | nan               |

  Scenario: tokens that add up to more than a message holds are told as its highest number
    Then a digest of a request behind many of the longest is encoded with the highest number
