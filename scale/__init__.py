"""The scale run: real and hollow gateways, discovery, servers and load on loopback, and what they cost."""
