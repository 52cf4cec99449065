"""The subset of the listed servers that a gateway works with: docs/decisions/subset.md."""

from __future__ import annotations

from hashlib import blake2b
from math import ceil
from struct import Struct

from quota_gateway.policy.concurrency import INITIAL_CONCURRENCY_PER_SERVER

SERVERS_PER_CONCURRENT_ATTEMPT = 4.0  # for each attempt in this gateway's even share of the initial limit
MIN_SUBSET_SIZE = 256  # servers: a smaller subset saves little, and a lost region could leave it too few
RETAINED_NAMES_PER_SUBSET_SERVER = 2  # so that servers that are down or full can be replaced
RING_SIZE = 1 << 32
# The fractional parts of the golden ratio and of the root of two: their multiples spread evenly over a ring
# for any number of gateways, and neighbors differ from ring to ring.
RING_STEPS = int(0.6180339887498949 * RING_SIZE), int(0.4142135623730951 * RING_SIZE)
RING_POSITIONS = Struct("<2I")  # a name's position on each ring


class Subset:
    """Which servers this gateway works with: the ``size`` nearest by ``distance`` of those that are ready."""

    def __init__(self, gateways: int, index: int, min_size: int = MIN_SUBSET_SIZE) -> None:
        self.gateways = max(1, gateways)
        self.min_size = min_size
        self.ring_positions = (index * RING_STEPS[0] % RING_SIZE, index * RING_STEPS[1] % RING_SIZE)

    def size(self, servers: int) -> int:
        """How many of so many listed servers this gateway works with: all of them where all fit."""
        concurrency_share = INITIAL_CONCURRENCY_PER_SERVER * servers / self.gateways
        size = ceil(SERVERS_PER_CONCURRENT_ATTEMPT * concurrency_share)
        return min(servers, max(self.min_size, size))

    def retained(self, listed: int) -> int:
        """How many names to retain of so many listed servers: the subset and its standby servers."""
        return RETAINED_NAMES_PER_SUBSET_SERVER * self.size(listed)

    def distance(self, name: str) -> float:
        """How far behind this gateway the server of this name stands, in rings, from 0 to below 1."""
        digest = blake2b(name.encode(errors="surrogatepass"), digest_size=RING_POSITIONS.size).digest()
        positions: tuple[int, int] = RING_POSITIONS.unpack(digest)
        first = (positions[0] - self.ring_positions[0]) % RING_SIZE
        second = (positions[1] - self.ring_positions[1]) % RING_SIZE
        return min(first, second) / RING_SIZE

    def gateways_per_server(self, servers: int) -> float:
        """How many gateways work with one of so many servers, on average; all where all servers fit."""
        return self.gateways * self.size(servers) / servers if servers > 0 else float(self.gateways)
