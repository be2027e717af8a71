Feature: settings are fully checked before anything starts

  Scenario: a complete file is read
    Given the settings file
      """
      host = {name = "entry-1", data_centre = "amman-a"}
      listen = {caller = "127.0.0.1:8080", control = "127.0.0.1:7080"}
      platform = {address = "127.0.0.1:9000"}
      peers = {keys = [{number = 1, secret = "0123456789abcdef"}]}
      """
    Then the setting "caller" is "127.0.0.1:8080"
    And the settings' representation contains no secret

  Scenario Outline: each error is reported with file, key and expected value
    Given the settings file
      """
      host = {name = "entry-1", data_centre = "amman-a"}
      listen = {caller = "127.0.0.1:8080", control = "127.0.0.1:7080"}
      platform = {address = "127.0.0.1:9000"}
      peers = {keys = [{number = 1, secret = "0123456789abcdef"}]}
      <section> = <value>
      """
    Then the only error names "<key>"

    Examples:
      | section            | value                      | key                     |
      | limits.body_bytes  | 0                          | limits.body_bytes       |
      | limits.queue       | "many"                     | limits.queue            |
      | limits.wings       | 2                          | limits.wings            |
      | shutdown.drain_s   | true                       | shutdown.drain_s        |
      | backends.load_interval_s | -1                   | backends.load_interval_s |

  Scenario: a key number too large for a message's header is an error
    Given the settings file
      """
      host = {name = "entry-1", data_centre = "amman-a"}
      listen = {caller = "127.0.0.1:8080", control = "127.0.0.1:7080"}
      platform = {address = "127.0.0.1:9000"}
      peers = {keys = [{number = 256, secret = "0123456789abcdef"}]}
      """
    Then the only error names "peers.keys"

  Scenario: all errors are reported at once
    Given the settings file
      """
      host = {name = ""}
      listen = {caller = "nowhere", control = "127.0.0.1:99999"}
      peers = {keys = [{number = 1, secret = "short"}]}
      """
    Then the errors name
      | key              |
      | host.name        |
      | host.data_centre |
      | listen.caller    |
      | listen.control   |
      | platform.address |
      | peers.keys       |

  Scenario: the daemon reports every error in its own line and exits with code 2
    Given the settings file
      """
      host = {name = ""}
      limits = {queue = 0}
      """
    Then the daemon started with the settings file ends with exit code 2 and 7 lines
