"""Deterministic subsetting: the part of the listed servers that a gateway uses.

See docs/decisions/subset.md.
"""

from __future__ import annotations

from hashlib import blake2b
from math import ceil
from struct import Struct

from quota_gateway.policy.concurrency import INITIAL_CONCURRENCY_PER_SERVER

# Servers in the subset per attempt in the gateway's even share of the initial concurrency.
SERVERS_PER_CONCURRENT_ATTEMPT = 4.0
# Minimum number of servers in the subset: a smaller subset saves little, and the loss of a region could leave
# too few servers.
MIN_SUBSET_SIZE = 256
RETAINED_NAMES_PER_SUBSET_SERVER = 2  # the retained names cover the subset and as many servers on standby
RING_SIZE = 1 << 32  # positions on a hash ring
# Distance from each gateway to the next on each ring. Multiples of these fractions (golden ratio - 1, square
# root of 2 - 1) spread evenly over a ring for any number of gateways. The fractions differ, so that neighbors
# on one ring are not neighbors on the other.
RING_STEPS = int(0.6180339887498949 * RING_SIZE), int(0.4142135623730951 * RING_SIZE)
NAME_DIGEST = Struct("<2I")  # the positions of a server's name on the two rings


class Subset:
    """The subset of a gateway: the ``size`` ready servers with the least ``distance`` on two hash rings."""

    def __init__(self, gateways: int, index: int, min_size: int = MIN_SUBSET_SIZE) -> None:
        self.gateways = max(1, gateways)
        self.min_size = min_size
        self.ring_positions = (index * RING_STEPS[0] % RING_SIZE, index * RING_STEPS[1] % RING_SIZE)

    def size(self, servers: int) -> int:
        """Return how many of this number of listed servers the gateway uses."""
        even_concurrency_share = INITIAL_CONCURRENCY_PER_SERVER * servers / self.gateways
        size = ceil(SERVERS_PER_CONCURRENT_ATTEMPT * even_concurrency_share)
        return min(servers, max(self.min_size, size))

    def retained(self, servers: int) -> int:
        """Return how many names to retain of this number of listed servers, including those on standby."""
        return RETAINED_NAMES_PER_SUBSET_SERVER * self.size(servers)

    def distance(self, name: str) -> float:
        """Return the distance from this gateway forward to a server on the nearer ring, from 0 to below 1."""
        digest = blake2b(name.encode(errors="surrogatepass"), digest_size=NAME_DIGEST.size).digest()
        server_positions: tuple[int, int] = NAME_DIGEST.unpack(digest)
        first = (server_positions[0] - self.ring_positions[0]) % RING_SIZE
        second = (server_positions[1] - self.ring_positions[1]) % RING_SIZE
        return min(first, second) / RING_SIZE

    def gateways_per_server(self, servers: int) -> float:
        """Return how many gateways use each of this number of listed servers, on average."""
        return self.gateways * self.size(servers) / servers if servers > 0 else float(self.gateways)
