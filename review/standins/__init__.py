"""Stand-ins of the second review: clients, servers, discovery and the starting of gateways."""
