"""A randomized soak: real gateways on loopback under overlapping injected faults, judged by an oracle."""
