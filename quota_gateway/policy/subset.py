"""Which of the listed servers a gateway works with, where the list is longer than it has use for.

Gateways and servers stand on two rings. A server's places are a hash of its name, a gateway's follow from
its index, and a gateway works with the servers that come next after it on either ring. So each gateway finds
its own from the settings and the list; a server that goes is missed only by those that had it, and a gateway
that comes moves nobody else. With one ring, neighbours there would share all their servers, and a gateway
with too much traffic would have no server with less to move to.
"""

from __future__ import annotations

from hashlib import blake2b
from math import ceil
from struct import Struct

PLACES = 6.0  # attempts out at a server over all gateways: logic.FIRST_LIMIT, before answers tell more
SPARE = 4.0  # servers that a gateway works with for each such attempt that is its even part of all
LEAST = 256  # servers: fewer spare little memory, and a lost region would leave some gateway too few
RESERVE = 2  # times as many names are kept, from which those that are down or full are replaced
TURN = 1 << 32  # a whole ring, in the parts in which places are told
# How far the next gateway stands round each ring: the golden ratio and the root of two, less their whole
# parts, as their multiples spread evenly over any number of gateways. Neighbours differ from ring to ring.
STEPS = int(0.6180339887498949 * TURN), int(0.4142135623730951 * TURN)
PAIR = Struct("<2I")


class Subset:
    """Which servers this gateway works with: the ``size`` nearest by ``distance`` of those that are ready.

    ``gateways`` and ``index`` are those of the settings, ``least`` the smallest size, in servers. Guards
    against a fleet in which each gateway opens connections to all servers. Harm: the servers of a gateway
    that gets many times the mean have more to do, until it chooses those with less.
    """

    def __init__(self, gateways: int, index: int, least: int = LEAST) -> None:
        self.gateways, self.least = max(1, gateways), least
        self.starts = index * STEPS[0] % TURN, index * STEPS[1] % TURN

    def size(self, servers: int) -> int:
        """How many of so many listed servers this gateway works with: all of them where all fit.

        SPARE times its even part of the attempts that may be out at all of them, and at least ``least``.
        """
        return min(servers, max(self.least, ceil(SPARE * PLACES * servers / self.gateways)))

    def retained(self, listed: int) -> int:
        """How many names to retain of so many listed servers: the subset and the reserve behind it."""
        return RESERVE * self.size(listed)

    def distance(self, name: str) -> float:
        """How far behind this gateway the server of this name stands, in rings, from 0 to below 1.

        The lesser of both rings. The name is any text; which process works it out makes no difference.
        """
        digest = blake2b(name.encode(errors="surrogatepass"), digest_size=PAIR.size).digest()
        places: tuple[int, int] = PAIR.unpack(digest)
        return min((places[0] - self.starts[0]) % TURN, (places[1] - self.starts[1]) % TURN) / TURN

    def sharers(self, servers: int) -> float:
        """How many gateways work with one of so many servers, on average; all where all servers fit."""
        return self.gateways * self.size(servers) / servers if servers > 0 else float(self.gateways)
