"""Small stand-ins of clients, servers, the platform's store and its interface of duties."""
