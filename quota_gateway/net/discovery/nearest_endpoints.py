"""The names of the listed endpoints that are nearest to a gateway, found while an update is read."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from math import inf
from typing import NamedTuple

from quota_gateway.policy.subset import Subset

# The distance, as a fraction of a ring, and the name; ordered by distance. Each row creates two of these, so
# they are plain tuples.
RankedName = tuple[float, str]


class OfferResult(NamedTuple):
    """The result of offering a name.

    Attributes:
        is_retained: Whether the name is among the nearest.
        displaced: The name that the offered one displaced; None if there is none.
    """

    is_retained: bool
    displaced: str | None


RETAINED = OfferResult(is_retained=True, displaced=None)
NOT_RETAINED = OfferResult(is_retained=False, displaced=None)


class NearestEndpoints:
    """The nearest names of a list, as many as the subset retains; iterates with the nearest first.

    The cost of a row depends on the number of retained names, not of listed names. Each name has to be
    offered once when it becomes listed, and dropped once when it is no longer listed, retained or not.

    Attributes:
        subset: Ranks the names, and determines how many are retained.
        listed: The number of listed names.
    """

    def __init__(self, subset: Subset) -> None:
        self.subset = subset
        self.listed = 0
        self._ranked: list[RankedName] = []  # the retained names, the nearest first
        self._nearest_not_retained: RankedName = (inf, "")  # the nearest name displaced or never retained

    def __len__(self) -> int:
        return len(self._ranked)

    def __iter__(self) -> Iterator[str]:
        return (name for _, name in self._ranked)

    def __contains__(self, name: str) -> bool:
        ranked_name = self.subset.distance(name), name
        return self._is_at(bisect_left(self._ranked, ranked_name), ranked_name)

    @property
    def farthest(self) -> float:
        """The distance of the farthest retained name, as a fraction of a ring; 0 if none is retained."""
        return self._ranked[-1][0] if self._ranked else 0.0

    def offer(self, name: str) -> OfferResult:
        """Count a name that has become listed, and retain it if it is among the nearest.

        Returns:
            Whether the name is retained, and which name it displaced.
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
        """Forget a name that is no longer listed.

        Returns:
            Whether the name was retained.
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

        After many names are gone, this is less than the subset's size: a complete snapshot then has to be
        offered to a new instance.
        """
        return bisect_left(self._ranked, self._nearest_not_retained)

    def _is_at(self, position: int, ranked_name: RankedName) -> bool:
        return position < len(self._ranked) and self._ranked[position] == ranked_name
