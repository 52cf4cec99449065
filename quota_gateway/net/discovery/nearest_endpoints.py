"""The names of the listed endpoints that are nearest to a gateway, found while an update is read."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from math import inf
from typing import NamedTuple

from quota_gateway.policy.subset import Subset

# The distance, in rings, and the name: compares by distance. A bare tuple, as each row makes two of them.
RankedName = tuple[float, str]


class OfferResult(NamedTuple):
    """The result of offering a name.

    Attributes:
        is_retained: Whether the name is among the nearest.
        displaced: The name that it displaced, if any.
    """

    is_retained: bool
    displaced: str | None


RETAINED = OfferResult(is_retained=True, displaced=None)
NOT_RETAINED = OfferResult(is_retained=False, displaced=None)


class NearestEndpoints:
    """The nearest names of a list, as many as the subset retains; iterates with the nearest first.

    A row costs by how many names are retained, not by how many are listed. Each name has to be offered once
    when it is listed and dropped once when it no longer is, retained or not.

    Attributes:
        subset: Ranks the names, and says how many are retained.
        listed: How many names are listed.
    """

    def __init__(self, subset: Subset) -> None:
        self.subset = subset
        self.listed = 0
        self._ranked: list[RankedName] = []  # in order
        self._nearest_not_retained: RankedName = (inf, "")  # or displaced

    def __len__(self) -> int:
        return len(self._ranked)

    def __iter__(self) -> Iterator[str]:
        return (name for _, name in self._ranked)

    def __contains__(self, name: str) -> bool:
        ranked_name = self.subset.distance(name), name
        return self._is_at(bisect_left(self._ranked, ranked_name), ranked_name)

    @property
    def farthest(self) -> float:
        """Distance of the farthest retained name, in rings; 0 without any."""
        return self._ranked[-1][0] if self._ranked else 0.0

    def offer(self, name: str) -> OfferResult:
        """Count a name that is listed now, and retain it if it is near.

        Returns:
            Whether it is retained, and which name it displaced.
        """
        ranked_name = self.subset.distance(name), name
        position = bisect_left(self._ranked, ranked_name)
        if self._is_at(position, ranked_name):
            return RETAINED
        self.listed += 1
        self._ranked.insert(position, ranked_name)
        if len(self._ranked) <= self.subset.retained(self.listed):
            return RETAINED
        displaced = self._ranked.pop()
        self._nearest_not_retained = min(self._nearest_not_retained, displaced)
        if displaced == ranked_name:
            return NOT_RETAINED
        return OfferResult(is_retained=True, displaced=displaced[1])

    def drop(self, name: str) -> bool:
        """Forget a name that is not listed any more.

        Returns:
            Whether it was retained.
        """
        self.listed = max(0, self.listed - 1)
        ranked_name = self.subset.distance(name), name
        position = bisect_left(self._ranked, ranked_name)
        was_retained = self._is_at(position, ranked_name)
        if was_retained:
            del self._ranked[position]
        return was_retained

    def certain_count(self) -> int:
        """Return how many names, from the nearest on, are certain to be the nearest of all listed ones.

        Fewer than the subset's size after many have gone: then a complete snapshot has to be offered to
        another instance.
        """
        return bisect_left(self._ranked, self._nearest_not_retained)

    def _is_at(self, position: int, ranked_name: RankedName) -> bool:
        return position < len(self._ranked) and self._ranked[position] == ranked_name
