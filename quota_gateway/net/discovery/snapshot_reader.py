"""Reads one update of the endpoint list, row by row, into the endpoint table."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from itertools import islice
from typing import Any

from quota_gateway import model as api
from quota_gateway.errors import DiscoveryError
from quota_gateway.net.discovery.endpoint_row import (
    LIFECYCLE_GONE,
    AddressedEndpoint,
    EndpointRow,
    RegistryChange,
    name_in,
    parse_row,
)
from quota_gateway.net.discovery.endpoint_table import EndpointTable
from quota_gateway.net.discovery.nearest_endpoints import NearestEndpoints

log = logging.getLogger(__name__)

# The limit is ten times the largest planned fleet; the name of each endpoint is held in memory.
MAX_LISTED_ENDPOINTS = 400_000
MIN_ROWS_PER_CHANGE = 32  # the fewest rows of a long document that the policy engine gets at a time
MAX_CHANGES_PER_DOCUMENT = 64  # The policy engine sorts all endpoints that it knows after each change.


class SnapshotReader:
    """Reads one update. A complete snapshot leaves the table unchanged until all of its rows are added.

    Attributes:
        table: The endpoint table that the update changes.
        is_complete: Whether the update is a complete snapshot, not a delta.
        nearest: The nearest names after this update.
        other_names: The names of all other endpoints that are listed after this update.
        rows: The rows to deliver to the policy engine, by name, in the order of the update.
    """

    def __init__(self, table: EndpointTable, is_complete: bool) -> None:
        self.table = table
        self.is_complete = is_complete
        self.nearest = NearestEndpoints(table.subset) if is_complete else table.nearest
        self.other_names: set[str] = set() if is_complete else table.other_names
        self.rows: dict[str, EndpointRow] = {}
        self._has_rows = False

    def add_row(self, row: Any) -> None:
        """Add the next row.

        The row is retained if its endpoint is among the nearest, otherwise only its name. A row without a
        valid name is ignored.

        Raises:
            DiscoveryError: More than ``MAX_LISTED_ENDPOINTS`` are listed besides the nearest ones.
        """
        self._has_rows = True
        name = name_in(row)
        if name is None:
            log.error("malformed endpoint row error=no_name row=%.200r", row)
            return
        is_gone = row.get("lifecycle") == LIFECYCLE_GONE
        if name in self.other_names:
            if is_gone:
                self.other_names.discard(name)
                self.nearest.drop(name)
        elif name in self.rows or (not self.is_complete and name in self.table.rows):
            self.rows[name] = row
        elif not is_gone:
            self._offer(name, row)

    def read_rows(self) -> list[AddressedEndpoint]:
        """Read all retained rows into the table; return the endpoints for the policy engine."""
        return self._read_named(list(self.rows))

    def changes(self, generation: int) -> Iterator[RegistryChange]:
        """Read all rows into the table as several changes; only the last one has the update's generation.

        A complete snapshot replaces the previous endpoints after its rows have been read.

        Raises:
            DiscoveryError: No row of a complete snapshot is valid; the previous endpoints are kept.
        """
        rows_per_change = max(MIN_ROWS_PER_CHANGE, len(self.rows) // MAX_CHANGES_PER_DOCUMENT)
        names = iter(list(self.rows))
        while name_batch := list(islice(names, rows_per_change)):
            yield self.change(api.UpdateKind.DELTA, self._read_named(name_batch), 0)
        gone = self.replace_endpoints() if self.is_complete else []
        yield self.change(api.UpdateKind.DELTA, gone, generation)

    def change(
        self, kind: api.UpdateKind, endpoints: list[AddressedEndpoint], generation: int
    ) -> RegistryChange:
        """Return the change that delivers these endpoints."""
        update = api.EndpointUpdate(
            kind, tuple(addressed.endpoint for addressed in endpoints), generation, self.nearest.listed
        )
        addresses = {addressed.endpoint.server: addressed.address for addressed in endpoints}
        return RegistryChange(update, addresses)

    def replace_endpoints(self) -> list[AddressedEndpoint]:
        """Replace the endpoints of the table by those of this complete snapshot.

        Returns:
            The previous endpoints that the snapshot does not list, marked as gone.

        Raises:
            DiscoveryError: There are rows, but no valid one; the previous endpoints are kept.
        """
        if self._has_rows and not self.rows:
            raise DiscoveryError("endpoint list has no valid row")
        self.table.nearest = self.nearest
        self.table.other_names = self.other_names
        dropped = (self.table.forget(name) for name in list(self.table.rows) if name not in self.rows)
        return [endpoint for endpoint in dropped if endpoint]

    def _offer(self, name: str, row: EndpointRow) -> None:
        """Retain the row of a newly listed endpoint if it is among the nearest, otherwise only its name."""
        offered = self.nearest.offer(name)
        if offered.is_retained:
            self.rows[name] = row
        if offered.displaced is not None:
            self._retain_name_only(offered.displaced)
        elif not offered.is_retained:
            self._retain_name_only(name)
        if len(self.other_names) > MAX_LISTED_ENDPOINTS:
            raise DiscoveryError(f"more than {MAX_LISTED_ENDPOINTS} endpoints are listed")

    def _retain_name_only(self, name: str) -> None:
        """Retain only the name of a listed endpoint, as others are nearer."""
        self.other_names.add(name)
        if self.is_complete or name not in self.table.rows:
            self.rows.pop(name, None)
        else:
            self.rows[name] = {**self.table.rows[name], "lifecycle": LIFECYCLE_GONE}

    def _read_named(self, names: list[str]) -> list[AddressedEndpoint]:
        return [endpoint for name in names if (endpoint := self._read_row(name))]

    def _read_row(self, name: str) -> AddressedEndpoint | None:
        """Read an endpoint's row into the table.

        Returns:
            The endpoint, from its previous row if the new one is malformed; None if it has neither.
        """
        row = self.rows[name]
        try:
            addressed = parse_row(row, self.table.number_for_row, self.table.start_times.by_gateway_clock)
        except DiscoveryError as error:
            log.error("malformed endpoint row error=%r row=%.200r", error.__cause__ or error, row)
            return self._read_previous_row(name)
        self._store(name, row, addressed)
        return addressed

    def _read_previous_row(self, name: str) -> AddressedEndpoint | None:
        """Return the endpoint described by its previous row, as the new row is malformed.

        A malformed row invalidates neither the list nor the endpoint; see
        docs/decisions/discovery-malformed-rows.md.
        """
        known_row = self.table.rows.get(name)
        if known_row is None:
            self.nearest.drop(name)
            del self.rows[name]
            return None
        self.rows[name] = known_row
        addressed = parse_row(known_row, self.table.number_for_row, self.table.start_times.by_gateway_clock)
        self._store(name, known_row, addressed)
        return addressed

    def _store(self, name: str, row: EndpointRow, addressed: AddressedEndpoint) -> None:
        self.table.rows[name] = row
        if addressed.endpoint.state is api.EndpointLifecycle.GONE:
            if name in self.nearest:  # A displaced endpoint is still listed.
                self.nearest.drop(name)
            self.table.forget(name)
