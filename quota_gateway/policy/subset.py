"""The subset of the listed servers that a gateway works with: docs/decisions/subset.md."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from hashlib import blake2b
from math import ceil, inf
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
        self.gateways, self.least = max(1, gateways), least
        self.starts = index * STEPS[0] % TURN, index * STEPS[1] % TURN

    def size(self, servers: int) -> int:
        """How many of so many listed servers this gateway works with: all of them where all fit."""
        return min(servers, max(self.least, ceil(SPARE * PLACES * servers / self.gateways)))

    def distance(self, name: str) -> float:
        """How far behind this gateway the server of this name stands, in rings, from 0 to below 1."""
        digest = blake2b(name.encode(errors="surrogatepass"), digest_size=PAIR.size).digest()
        places: tuple[int, int] = PAIR.unpack(digest)
        return min((places[0] - self.starts[0]) % TURN, (places[1] - self.starts[1]) % TURN) / TURN

    def sharers(self, servers: int) -> float:
        """How many gateways work with one of so many servers, on average; all where all servers fit."""
        return self.gateways * self.size(servers) / servers if servers > 0 else float(self.gateways)


class NearestEndpoints:
    """The nearest names of a list that is read row by row, RESERVE times the subset; iterates nearest first.

    What a row costs depends on how many are kept, not on how many are listed. Each name is to be offered
    once when it is listed and dropped once when it no longer is, also if it was passed over.
    """

    def __init__(self, subset: Subset) -> None:
        self.subset, self.listed = subset, 0
        self.rows: list[tuple[float, str]] = []  # distance and name, in order
        self.passed: tuple[float, str] = (inf, "")  # the nearest one that was passed over or displaced

    def __len__(self) -> int:
        return len(self.rows)

    def __iter__(self) -> Iterator[str]:
        return (name for _, name in self.rows)

    def __contains__(self, name: str) -> bool:
        return self._find(name)[2]

    def _find(self, name: str) -> tuple[tuple[float, str], int, bool]:
        """The name's row, where it stands or would stand, and whether it is kept."""
        row = self.subset.distance(name), name
        spot = bisect_left(self.rows, row)
        return row, spot, spot < len(self.rows) and self.rows[spot] == row

    @property
    def farthest(self) -> float:
        """Distance of the farthest name that is kept; 0 without any."""
        return self.rows[-1][0] if self.rows else 0.0

    def offer(self, name: str) -> tuple[bool, str | None]:
        """Take note of a name that is listed now: whether it is kept, and which one it displaced."""
        row, spot, kept = self._find(name)
        if kept:
            return True, None
        self.listed += 1
        self.rows.insert(spot, row)
        if len(self.rows) <= RESERVE * self.subset.size(self.listed):
            return True, None
        out = self.rows.pop()
        self.passed = min(self.passed, out)
        return (False, None) if out == row else (True, out[1])

    def drop(self, name: str) -> bool:
        """Take note of a name that is listed no more; whether it was kept."""
        self.listed = max(0, self.listed - 1)
        _, spot, kept = self._find(name)
        if kept:
            del self.rows[spot]
        return kept

    def sure(self) -> int:
        """How many of the names, from the nearest on, are certain to be the nearest of the whole list.

        Fewer than the subset's size after many have gone: then the list is to be offered anew, to another.
        """
        return bisect_left(self.rows, self.passed)
