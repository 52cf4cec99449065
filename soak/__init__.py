"""A randomized fault soak: real processes on loopback, overlapping troubles, the invariants as its oracle."""
