Feature: real fronts keep their promises while everything around them fails

  Scenario Outline: a short soak
    When the soak runs for 5 s with seed <seed>
    Then the soak found no broken promise
    And the soak's callers were served in each class

    Examples:
      | seed |
      | 7    |

  Scenario Outline: the soak's checks find a broken promise
    Given a soak in which every promise was kept
    Then the soak's checks find nothing
    When in that soak <happened>
    Then the soak's checks find "<broken>"

    Examples:
      | happened                                    | broken  |
      | a caller got the answer of another request  | mixed   |
      | a caller got half an answer as a whole one  | mixed   |
      | a stream ended as whole without its last event | order |
      | a stream's event came twice                 | order   |
      | a booking ran twice                         | twice   |
      | a booking that was told 503 ran             | refused |
      | a request ran that nobody sent              | unasked |
      | a key reached a server                      | unasked |
      | a request ran long after its key was withdrawn | revoked |
