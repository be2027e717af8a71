Feature: the platform's formats are decoded, and malformed input is rejected

  Scenario: the settings file
    When the platform's settings are read
    Then each setting has the file's value in seconds or as an address
    And unknown keys are ignored

  Scenario Outline: an invalid setting is reported by its key
    When the platform's settings have <key> set to <value>
    Then the only settings error names <key>

    Examples:
      | key                 | value  |
      | platform.addr       | "none" |
      | listen.front        | 7      |
      | bounds.revokeMs     | "soon" |
      | portRange           | [1]    |
      | nodeName            | ""     |

  Scenario Outline: the settings of the duties
    When the platform's settings have the cloud <cloud>
    Then the duties are <duties>

    Examples:
      | cloud                                                                                   | duties       |
      | {}                                                                                      | off          |
      | {"addr": "127.0.0.1:9", "duties": []}                                                   | off          |
      | {"addr": "127.0.0.1:9", "ratePerS": 50.0, "duties": ["usage", "scale"], "dutyPerS": 20} | usage,scale  |
      | {"addr": "127.0.0.1:9", "duties": "usage"}                                              | cloud.duties |
      | {"duties": ["usage"]}                                                                   | cloud.addr   |

  Scenario: the table
    When the platform's table is read
    Then a path finds the route with its longest prefix
    And keys identify organisations

  Scenario Outline: the speed at which engines copy cached prompts
    When the platform's table has a service with the engine <engine>
    Then its servers copy <speed> tokens a second

    Examples:
      | engine                                                            | speed  |
      | {"kvCapacity": 1000, "kvTokenBytes": 160000, "linkMbps": 320000.0} | 250000 |
      | {"kvCapacity": 1000, "kvTokenBytes": 160000}                       | 0      |
      | {"kvCapacity": 1000, "linkMbps": 320000.0}                         | 0      |
      | null                                                              | 0      |

  Scenario: how many servers of a pool may be ordered
    When the platform's table has a service with the scaling {"min": 1, "max": 38, "bootS": 4.0, "spotPrice": 0.18, "zonePrices": {"dc-a": 0.85}}
    Then from 1 to 38 of its servers may be ordered, a spot server for 0.18 of the price

  Scenario Outline: bounds that can't be used leave a pool alone, and the table in force
    When the platform's table has a service with the scaling <scaling>
    Then no servers of it are ordered

    Examples:
      | scaling                                |
      | null                                   |
      | 7                                      |
      | {"min": 1}                             |
      | {"min": 5, "max": 4}                   |
      | {"min": 1, "max": "many"}              |
      | {"max": 4, "bootS": -1}                |
      | {"max": 4, "zonePrices": {"dc-a": 0}}  |

  Scenario: a spot server that leaves is known as such, also from other hosts
    When a spot server's entry tells that it leaves in 2500 ms
    Then it is a draining spot server that leaves in 2.5 s
    And a host that is told of it knows the same

  Scenario: the server that a cached prompt is copied from is named, a caller's is dropped
    When a request that names a server to copy from is sent with another one
    Then only the router's server to copy from is named

  Scenario Outline: an invalid entry of a server
    When a server's entry has <field> set to <value>
    Then the platform's entry is malformed

    Examples:
      | field   | value    |
      | service | null     |
      | addr    | "x"      |
      | slots   | "many"   |
      | slots   | 0        |
      | state   | "asleep" |
      | state   | null     |
      | born    | 1.5      |

  Scenario: a request's headers
    When a platform request's headers are read
    Then its parts, tokens, key and deadline are decoded
    And headers of the connection are dropped

  Scenario Outline: the limit that a server names
    When a server's answer names the limit "<value>"
    Then its limit is <limit>

    Examples:
      | value  | limit      |
      | 2      | 2.0        |
      | 2.1    | 2.1        |
      | .5     | 0.5        |
      | 0      | 0.0        |
      | -1     | unreadable |
      | 1e3    | unreadable |
      | nan    | unreadable |
      | inf    | unreadable |
      | 1_000  | unreadable |
      | 2, 3   | unreadable |
      | many   | unreadable |
      |        | unreadable |

  Scenario: an answer that names no limit
    When a server's answer names no limit
    Then its limit is none
