Feature: what a host believes of the store is ordered by its era, then by revision

  Scenario Outline: a revoked key stays revoked after <drills> drills, and a moved revision is seen
    Given <hosts> hosts that know a table and three servers written since a copy was kept
    When the store comes back from the copy <drills> times, <seconds> s apart
    And a table without the key is written, under a revision that was given out before
    Then every host knows that table within 2 s
    And every host knows the servers that are written again within 2 s

    Examples:
      | hosts | drills | seconds |
      | 1     | 1      | 0       |
      | 3     | 1      | 0       |
      | 3     | 2      | 4       |

  # review/9: a host that started in a drill ran requests with a key that had been revoked
  Scenario: a host that starts while the store is back from a copy accepts no revoked key
    Given 2 hosts that know a table and three servers written since a copy was kept
    When the key is taken away, and the first host starts again as the store is back from the copy
    Then that host accepts it at no time, and another key once the table is written again

  Scenario: hosts of a large fleet that hear no news of their relay list the new era
    Given 16 hosts that know a table and three servers written since a copy was kept
    And the news of relays are lost from now on
    When the store comes back from the copy 1 times, 0 s apart
    And a table without the key is written, under a revision that was given out before
    Then every host knows that table within 2 s
    And every host knows the servers that are written again within 2 s

  Scenario: the copy's older table and server entries undo nothing
    Given 1 hosts that know a table and three servers written since a copy was kept
    And a server of the copy drains since, and one has left
    When the store comes back from the copy 1 times, 0 s apart
    Then for 3 s every host uses the newer table, and neither the draining server nor the one that left
    And after 6 s the draining server is still not used

  Scenario: servers that the copy lacks stay in use until they are written again, or 2 s
    Given 1 hosts that know a table and three servers written since a copy was kept
    When the store comes back from the copy 1 times, 0 s apart
    Then the servers that it lacks are used for 1.5 s more, and not after 3 s

  Scenario Outline: an entry of a copy counts as the host's knowledge allows
    Given a server list in which "a" <known> before a new era at 10 s
    When the store tells at 10.1 s that "a" <told>
    Then "a" may be sent to <later> s later: <used>

    Examples:
      | known                | told                   | later | used |
      | is ready             | is ready               | 0.1   | yes  |
      | drained in start 5   | is ready in start 5    | 0.1   | no   |
      | drained in start 5   | is ready in start 5    | 60    | no   |
      | drained in start 5   | is ready in start 6    | 0.1   | yes  |
      | departed in start 5  | is ready in start 5    | 3     | no   |
      | departed in start 5  | is ready in start 5    | 6     | yes  |
      | departed in start 5  | is ready in start 6    | 0.1   | yes  |
      | gave its address to b | is ready in start 5   | 6     | no   |

  Scenario Outline: an era that <what> is logged once and changes nothing
    Given 1 hosts that know a table and three servers written since a copy was kept
    When the store states the era "<stated>" for 1 s, in which a table is written
    Then the host has logged it once and has not listed again
    And it knows the table <when>

    Examples:
      | what         | stated               | when                              |
      | is no number | later                | at once                           |
      | is negative  | -3                   | at once                           |
      | is huge      | 99999999999999999999 | at once                           |
      | jumps        | 999999               | at once                           |
      | falls        | 1                    | when the era is the known one     |

  Scenario Outline: a message of another host that tells era <told> where <own> is known
    Given a host that relies on a relay's news
    And it has listed era <own>, which it saw rise
    When the relay answers in era <told>, and again
    Then the answers confirm <confirmed>, and the store is asked <asked> times

    Examples:
      | told | own | confirmed | asked |
      | 2    | 2   | the list  | 0     |
      | 3    | 2   | nothing   | 1     |
      | 1    | 2   | nothing   | 0     |
      | 0    | 2   | nothing   | 0     |
