"""The subset of the listed servers that a gateway works with: docs/decisions/subset.md."""

from __future__ import annotations

from hashlib import blake2b
from math import ceil
from struct import Struct

PLACES = 6.0  # attempts in flight at a server over all gateways: as concurrency.FIRST_LIMIT
SPARE = 4.0  # servers that a gateway works with for each such attempt that is its even part of all
LEAST = 256  # servers: fewer spare little memory, and a lost region would leave some gateway too few
RESERVE = 2  # times as many names are kept, from which those that are down or full are replaced
TURN = 1 << 32  # a whole ring, in the parts in which places are told
# How far the next gateway stands round each ring: the golden ratio and the root of two, less their whole
# parts, as their multiples spread evenly over any number of gateways. Neighbours differ from ring to ring.
STEPS = int(0.6180339887498949 * TURN), int(0.4142135623730951 * TURN)
PAIR = Struct("<2I")


class Subset:
    """Which servers this gateway works with: the ``size`` nearest by ``distance`` of those that are ready."""

    def __init__(self, gateways: int, index: int, least: int = LEAST) -> None:
        self.gateways = max(1, gateways)
        self.least = least
        self.starts = (index * STEPS[0] % TURN, index * STEPS[1] % TURN)

    def size(self, servers: int) -> int:
        """How many of so many listed servers this gateway works with: all of them where all fit."""
        return min(servers, max(self.least, ceil(SPARE * PLACES * servers / self.gateways)))

    def retained(self, listed: int) -> int:
        """How many names to retain of so many listed servers: the subset and the reserve behind it."""
        return RESERVE * self.size(listed)

    def distance(self, name: str) -> float:
        """How far behind this gateway the server of this name stands, in rings, from 0 to below 1."""
        digest = blake2b(name.encode(errors="surrogatepass"), digest_size=PAIR.size).digest()
        places: tuple[int, int] = PAIR.unpack(digest)
        return min((places[0] - self.starts[0]) % TURN, (places[1] - self.starts[1]) % TURN) / TURN

    def sharers(self, servers: int) -> float:
        """How many gateways work with one of so many servers, on average; all where all servers fit."""
        return self.gateways * self.size(servers) / servers if servers > 0 else float(self.gateways)
