"""The state behind the endpoint registry: rows and names of listed endpoints, and the number of each."""

from __future__ import annotations

from itertools import count

from quota_gateway import model as api
from quota_gateway.net.discovery.endpoint_row import NO_ADDRESS, AddressedEndpoint, EndpointRow
from quota_gateway.net.discovery.nearest_endpoints import NearestEndpoints
from quota_gateway.net.discovery.start_times import StartTimes
from quota_gateway.policy.subset import Subset

# Numbers of endpoints without a row are kept, so that an endpoint that returns soon gets its number back.
MAX_ABSENT_NUMBERS = 256


class EndpointTable:
    """The listed endpoints; the nearest of them have a row and a number.

    A number is never reused for another endpoint: an attempt on an endpoint that is gone may still be in
    flight.

    Attributes:
        subset: Ranks endpoints by their names.
        start_times: Translates the start times of endpoints to the gateway's clock.
        nearest: The names of the endpoints with a row, ranked.
        other_names: The names of all other listed endpoints.
        numbers: The numbers of endpoints with a row, by name; the policy engine uses the same numbers.
        absent: The numbers of endpoints without a row, by name, the latest last.
        detached: The names of endpoints that operators detached; their numbers are forgotten last.
        rows: The rows as discovery last sent them, by name.
    """

    def __init__(self, subset: Subset | None = None, start_times: StartTimes | None = None) -> None:
        self.subset = subset or Subset(1, 0)
        self.start_times = start_times or StartTimes()
        self.nearest = NearestEndpoints(self.subset)
        self.other_names: set[str] = set()
        self.numbers: dict[str, int] = {}
        self.absent: dict[str, int] = {}
        self.detached: set[str] = set()
        self.rows: dict[str, EndpointRow] = {}
        self._unused_numbers = count(1)

    def find(self, name: str) -> int | None:
        """Return the number of an endpoint that has a row or recently had one; None for any other."""
        return self.numbers.get(name, self.absent.get(name))

    def is_known(self, name: str) -> bool:
        """Whether an endpoint is listed, or recently was."""
        return name in self.other_names or self.find(name) is not None

    def number_of(self, name: str) -> int:
        """Return the number of an endpoint that this or the peer process knows; a new one if it has none."""
        number = self.find(name)
        if number is None:
            number = self.absent[name] = next(self._unused_numbers)
        return number

    def number_for_row(self, name: str) -> int:
        """Return the number of an endpoint that gets a row; a new one if it has none."""
        number = self.numbers.get(name)
        if number is None:
            number = self.absent.pop(name, 0) or next(self._unused_numbers)
            self.numbers[name] = number
        return number

    def needs_complete_snapshot(self) -> bool:
        """Whether so many of the nearest are gone that only a complete snapshot tells the next nearest."""
        return self.nearest.certain_count() < self.subset.size(self.nearest.listed)

    def forget(self, name: str) -> AddressedEndpoint | None:
        """Remove the row of an endpoint that is gone, or displaced by nearer ones.

        Returns:
            The endpoint, marked as gone, for the policy engine; None if it had no row.
        """
        row = self.rows.pop(name, None)
        self.start_times.forget(name)
        number = self.numbers.pop(name, None)
        if row is None or number is None:
            return None
        self.absent[name] = number
        self._bound_absent(latest=name)
        gone = api.Endpoint(number, row["zone"], state=api.EndpointLifecycle.GONE, name=name)
        return AddressedEndpoint(gone, NO_ADDRESS)

    def _bound_absent(self, latest: str) -> None:
        """If too many endpoints have no row, forget the number of the oldest that is not detached.

        If all of them are detached, the number of the latest is forgotten.
        """
        if len(self.absent) <= MAX_ABSENT_NUMBERS:
            return
        oldest = next((name for name in self.absent if name not in self.detached), None)
        self.absent.pop(oldest or latest)
