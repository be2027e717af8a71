Feature: settings are checked whole before anything starts

  Scenario: a complete file is read
    Given the settings file
      """
      host = {name = "entry-1", data_centre = "amman-a"}
      listen = {caller = "127.0.0.1:8080", control = "127.0.0.1:7080"}
      platform = {address = "127.0.0.1:9000"}
      peers = {keys = [{number = 1, secret = "0123456789abcdef"}]}
      """
    Then the setting "caller" reads "127.0.0.1:8080"
    And the settings show no secret

  Scenario Outline: each fault is told with file, key and what was expected
    Given the settings file
      """
      host = {name = "entry-1", data_centre = "amman-a"}
      listen = {caller = "127.0.0.1:8080", control = "127.0.0.1:7080"}
      platform = {address = "127.0.0.1:9000"}
      peers = {keys = [{number = 1, secret = "0123456789abcdef"}]}
      <section> = <value>
      """
    Then a fault names "<key>"

    Examples:
      | section            | value                      | key                     |
      | limits.body_bytes  | 0                          | limits.body_bytes       |
      | limits.queue       | "many"                     | limits.queue            |
      | limits.wings       | 2                          | limits.wings            |
      | shutdown.drain_s   | true                       | shutdown.drain_s        |
      | backends.load_interval_s | -1                   | backends.load_interval_s |

  Scenario: a key number that a message's header can't carry is a fault
    Given the settings file
      """
      host = {name = "entry-1", data_centre = "amman-a"}
      listen = {caller = "127.0.0.1:8080", control = "127.0.0.1:7080"}
      platform = {address = "127.0.0.1:9000"}
      peers = {keys = [{number = 256, secret = "0123456789abcdef"}]}
      """
    Then a fault names "peers.keys"

  Scenario: all faults are told at once
    Given the settings file
      """
      host = {name = ""}
      listen = {caller = "nowhere", control = "127.0.0.1:99999"}
      peers = {keys = [{number = 1, secret = "short"}]}
      """
    Then the faults name
      | key              |
      | host.name        |
      | host.data_centre |
      | listen.caller    |
      | listen.control   |
      | platform.address |
      | peers.keys       |

  Scenario: the daemon tells every fault in a line of its own and ends with exit code 2
    Given the settings file
      """
      host = {name = ""}
      limits = {queue = 0}
      """
    Then the daemon started with the settings file ends with exit code 2 and 7 lines
