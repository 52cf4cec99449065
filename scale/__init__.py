"""Scale runs: measure what real and hollow gateways, discovery and servers cost under load on loopback."""
