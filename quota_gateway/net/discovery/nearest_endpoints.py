"""The names of the listed endpoints that are nearest to a gateway, found while a list is read row by row."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from math import inf
from typing import NamedTuple

from quota_gateway.policy.subset import Subset

# A name with its distance before it, so that plain comparison sorts by distance. A bare tuple, as two are
# made for each row of a list of any length.
RankedName = tuple[float, str]


class OfferResult(NamedTuple):
    """What came of a name that was offered.

    Attributes:
        is_kept: Whether the name is among the nearest.
        displaced: The name that had to go for it, if any.
    """

    is_kept: bool
    displaced: str | None


KEPT = OfferResult(is_kept=True, displaced=None)
PASSED_OVER = OfferResult(is_kept=False, displaced=None)


class NearestEndpoints:
    """The nearest names of a list, as many as the subset retains; iterates with the nearest first.

    A row costs by how many names are kept, not by how many are listed. Each name is to be offered once when
    it is listed and dropped once when it no longer is, also if it was passed over.

    Attributes:
        subset: Ranks the names, and says how many are kept.
        listed: How many names are listed.
    """

    def __init__(self, subset: Subset) -> None:
        self.subset = subset
        self.listed = 0
        self._ranked: list[RankedName] = []  # in order
        self._nearest_passed_over: RankedName = (inf, "")  # or displaced

    def __len__(self) -> int:
        return len(self._ranked)

    def __iter__(self) -> Iterator[str]:
        return (name for _, name in self._ranked)

    def __contains__(self, name: str) -> bool:
        ranked_name = self.subset.distance(name), name
        return self._is_at(bisect_left(self._ranked, ranked_name), ranked_name)

    @property
    def farthest(self) -> float:
        """Distance of the farthest name that is kept, in rings; 0 without any."""
        return self._ranked[-1][0] if self._ranked else 0.0

    def offer(self, name: str) -> OfferResult:
        """Take note of a name that is listed now.

        Returns:
            Whether it is kept, and which name it displaced.
        """
        ranked_name = self.subset.distance(name), name
        position = bisect_left(self._ranked, ranked_name)
        if self._is_at(position, ranked_name):
            return KEPT
        self.listed += 1
        self._ranked.insert(position, ranked_name)
        if len(self._ranked) <= self.subset.retained(self.listed):
            return KEPT
        displaced = self._ranked.pop()
        self._nearest_passed_over = min(self._nearest_passed_over, displaced)
        if displaced == ranked_name:
            return PASSED_OVER
        return OfferResult(is_kept=True, displaced=displaced[1])

    def drop(self, name: str) -> bool:
        """Take note of a name that is listed no more.

        Returns:
            Whether it was kept.
        """
        self.listed = max(0, self.listed - 1)
        ranked_name = self.subset.distance(name), name
        position = bisect_left(self._ranked, ranked_name)
        was_kept = self._is_at(position, ranked_name)
        if was_kept:
            del self._ranked[position]
        return was_kept

    def certain_count(self) -> int:
        """How many names, from the nearest on, are certain to be the nearest of the complete list.

        Fewer than the subset's size after many have gone: then the complete list has to be offered anew, to
        another instance.
        """
        return bisect_left(self._ranked, self._nearest_passed_over)

    def _is_at(self, position: int, ranked_name: RankedName) -> bool:
        return position < len(self._ranked) and self._ranked[position] == ranked_name
