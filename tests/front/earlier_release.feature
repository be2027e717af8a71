Feature: hosts read the messages of the earlier release, in which newer fields are missing

  Scenario Outline: <message> of the earlier release
    When a host reads the bytes "<bytes>"
    Then it has read <message>

    Examples:
      | message                | bytes                                                                                                                                                                                        |
      | a report of reach      | EB5QAgMBBcDIQhEJOlEMAQcRBRI/ZWRnZS0xAWEBAREZPBElDhEpFhE1FBE1FBE1DBE1FBEHChEUHhHIAQECEQEiB2ktMREFEhEFEgFhAWIRBQYRB/oBBh+GqZGv+g==                                                             |
      | a question about reach | EBFQAgMBBcDIQhEJOlEMAQcRBRI/ZWRnZS0xAWEBAwAFEQEUH4apka/6                                                                                                                                     |
      | an answer about tables | EA1QAgMBBcECyEIRCToRDAURBRI/ZWRnZS0xAWHAFEAT9AH6AQMBBAEF                                                                                                                                     |
      | news of servers        | EB1QAgMBBcEDyEIRCTpRDAICEQUSP2VkZ2UtMQFhAQMBBBENRxEBDhEBIgdpLTJRBAMFEQQBAQUAABERIhERKhERahEVEhEVGgdpLTEPcG9vbP8xMjcuMC4wLgAPMTo4MAFhA3Yx                                                     |
