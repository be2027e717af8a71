Feature: limits of organisations and classes

  Scenario Outline: the limits admit up to the share and refuse with the right code
    Given limits of concurrency <concurrency>, <tokens> tokens a minute and class limit <limit> on <hosts> hosts
    Then the limits answer "<codes>" to 4 requests

    Examples:
      | concurrency | tokens | limit | hosts | codes                                                       |
      | 0           | 0      | 0     | 1     | OK OK OK OK                                                 |
      | 2           | 0      | 0     | 1     | OK OK ORGANISATION_CONCURRENCY ORGANISATION_CONCURRENCY     |
      | 4           | 0      | 0     | 2     | OK OK ORGANISATION_CONCURRENCY ORGANISATION_CONCURRENCY     |
      | 1           | 0      | 0     | 7     | OK ORGANISATION_CONCURRENCY ORGANISATION_CONCURRENCY ORGANISATION_CONCURRENCY |
      | 0           | 0      | 3     | 1     | OK OK OK CLASS_LIMIT                                        |

  Scenario: the limits count a request once, from admission to its end
    Given limits of concurrency 1, 0 tokens a minute and class limit 0 on 1 hosts
    Then the limits answer "OK ORGANISATION_CONCURRENCY" to 2 requests
    When the first request under the limits finishes twice
    Then the limits answer "OK ORGANISATION_CONCURRENCY" to 2 requests

  Scenario Outline: the limits refuse while the tokens of the last minute reach the share
    Given limits of concurrency 0, 600 tokens a minute and class limit 0 on <hosts> hosts
    When the limits record <served> tokens at 10 s
    Then the limits answer "<code>" at <now_s> s

    Examples:
      | hosts | served | now_s | code                |
      | 1     | 599    | 11    | OK                  |
      | 1     | 600    | 11    | ORGANISATION_TOKENS |
      | 2     | 300    | 11    | ORGANISATION_TOKENS |
      | 1     | 600    | 66    | ORGANISATION_TOKENS |
      | 1     | 600    | 76    | OK                  |

  Scenario Outline: the limits use a share while it is in force
    Given limits of concurrency 7, 0 tokens a minute and class limit 0 on 7 hosts
    When the limits apply a share of <share> until 2 s
    Then the limits admit <count> at <now_s> s

    Examples:
      | share | now_s | count |
      | 3     | 1     | 3     |
      | 0     | 1     | 0     |
      | 3     | 2.5   | 1     |

  Scenario Outline: the limits are divided among hosts without being exceeded
    Given limit shares of a limit of <limit>
    When the limit shares receive use "<used>" and refusals "<refused>"
    Then the limit shares are "<shares>"

    Examples:
      | limit | used        | refused | shares       |
      | 7     | a=0 b=0     |         | a=4 b=3      |
      | 7     | a=5 b=0     |         | a=6 b=1      |
      | 6     | a=6 b=0     | b=4     | a=3 b=0      |
      | 6     | a=4 b=2     | b=9     | a=3 b=2      |
      | 6     | a=1 b=1     | a=9     | a=5 b=1      |

  Scenario: the limit shares never sum to more than the limit
    Then the limit shares stay within the limit over random uses

  Scenario: the limit shares drop silent hosts
    Given limit shares of a limit of 6
    When the limit shares receive use "a=1 b=1" and refusals ""
    And the limit shares receive a report at 3 s from host a only
    Then the limit shares are "a=6"

  Scenario Outline: the limits hold across 7 hosts, and shares move to the hosts with requests
    Given limits of concurrency 14 on 7 hosts with <variant>
    When every host's limits get 20 requests in each of 5 rounds
    Then the limits have admitted at most 14 in all: <verdict>
    When the requests of 6 hosts' limits finish and the first gets 20 in each of 5 rounds
    Then the first host's limits hold <least>

    Examples:
      | variant        | verdict | least |
      | shares         | yes     | 14    |
      | whole limits   | no      | 14    |
      | static limits  | yes     | 2     |
