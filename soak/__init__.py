"""A randomized soak test: real gateways on loopback under overlapping faults, checked by an oracle."""
