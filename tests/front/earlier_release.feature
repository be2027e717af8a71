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
      | a stream told          | EBdQAgMBB8EHekQRCTpRDAEBEQUSP2VkZ2UtMQFhAAARAS9RBAEEA9wFEQ3KERkqERkaERk6/zU1NjQ3ZmM0AjRkZGIzZTJjMjg0YzY5MDMAAA9wb29sA3YxP2VkZ2UtMQ==                                                         |
      | a stream asked for     | EBRQAgMBB8EHekQRCTpRDAEBEQUSP2VkZ2UtMQFhAQERAS9RBAEEAAARDcoAAv81NTY0N2ZjNAI0ZGRiM2UyYzI4NGM2OTAzAAA=                                                                                         |
      | a stream that has ended | EBRQAgMBB8EHekQRCTpRDAEBEQUSP2VkZ2UtMQFhAQMRAS9RBAEEAAARDcoAAv81NTY0N2ZjNAI0ZGRiM2UyYzI4NGM2OTAzAAA=                                                                                         |

  Scenario Outline: the earlier release <does> <message>
    Then a host writes <message> as the bytes "<bytes>"

    Examples: what the earlier release did with these bytes was seen with its code
      | message                    | does  | bytes                                                                                                                                                        |
      | a stream told              | reads | EBlQAgMBB8EHekQRCTpRDAEBEQUSP2VkZ2UtMQFhAAARATdRBAEFA9wFERHKESEqESEaESE6EREK/zU1NjQ3ZmM0AjRkZGIzZTJjMjg0YzY5MDMAAQ9wb29sA3YxP2VkZ2UtMQ==                     |
      | a stream asked for         | reads | EBZQAgMBB8EHekQRCTpRDAEBEQUSP2VkZ2UtMQFhAQERATdRBAEFAAAREcoAAhERCv81NTY0N2ZjNAI0ZGRiM2UyYzI4NGM2OTAzAAE=                                                     |
      | a stream that has ended    | reads | EBZQAgMBB8EHekQRCTpRDAEBEQUSP2VkZ2UtMQFhAQMRATdRBAEFAAAREcoAAhERCv81NTY0N2ZjNAI0ZGRiM2UyYzI4NGM2OTAzAAE=                                                     |
      | a stream that was taken up | drops | EBlQAgMBB8EHekQRCTpRDAEBEQUSP2VkZ2UtMQFhAQQRATdRBAEFEPoREcoAAhERyv81NTY0N2ZjNAI0ZGRiM2UyYzI4NGM2OTAzAAD/NGE2MGI0ZTcCYzMyYzYwYjJkODI1YjQ5YQAA                 |
      | a stream that was released | drops | EBZQAgMBB8EHekQRCTpRDAEBEQUSP2VkZ2UtMQFhAQURATdRBAEFAAAREcoAAhERCv81NTY0N2ZjNAI0ZGRiM2UyYzI4NGM2OTAzAAE=                                                     |

  Scenario: a host drops a message about streams of a purpose that came after its release
    When a host reads a message about a stream whose purpose is not known
    Then it drops it, and reads the next one
