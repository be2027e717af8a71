Feature: entries that name a live server's address take it from no host

  # review/6: all hosts refused everything, as a dead or foreign entry had dropped each live server
  Scenario Outline: <host> while <trouble>
    When <host> serves 12 requests while <trouble>
    Then each of them is answered with 200, and the log tells which entry stands

    Examples:
      | host                         | trouble                                              |
      | a host that starts           | the store lists dead starts that then lapse          |
      | a host that runs             | late writes of dead starts land and then lapse       |
      | a host that runs             | entries of another writer tell no start              |
      | a host that runs             | entries of another writer tell a later start         |
      | a host that starts           | entries of another writer tell a later start         |
      | a host that runs             | entries of another writer tell that they drain       |
      | a host that runs             | entries of another writer tell a service of no route |
      | a host that reads from relays | late writes of dead starts land and then lapse       |
      | a host that reads from relays | entries of another writer tell a later start         |

  Scenario: the decisions about a request tell which entry gave way to which, and why
    When an operator asks why a request reached a server whose address another entry names
    Then the explanation tells "z-i-1 stands at" and later "the server denies a later start"
    And the explanation tells "latest start; i-1 stood there before" and later "granted a slot on i-1"
