"""Reads one update of the endpoint list into the registry: at once, or in pieces where it is long.

Why long documents are read in pieces: docs/decisions/discovery-long-lists.md.
"""

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
from quota_gateway.net.discovery.snapshot_document import SnapshotDocumentParser

log = logging.getLogger(__name__)

MAX_LISTED = 400_000  # names: ten times the largest fleet that is planned, and some 40 MB
ROWS_PER_PART = 32  # of a long document that the policy engine is told at a time, at least
MAX_PARTS = 64  # of one document, as all endpoints that are known are sorted anew after each


class SnapshotReader:
    """One update while it is read. A complete list changes nothing in the table until it takes its place.

    Attributes:
        table: The state that the update alters.
        is_complete: Whether the update names all endpoints, not changes alone.
        nearest: The names that are nearest, this update taken into account.
        other_names: The names of all other endpoints that are listed then.
        rows: By name, the rows that the policy engine is told of, in the order of the update.
    """

    def __init__(self, table: EndpointTable, is_complete: bool) -> None:
        self.table = table
        self.is_complete = is_complete
        self.nearest = NearestEndpoints(table.subset) if is_complete else table.nearest
        self.other_names: set[str] = set() if is_complete else table.other_names
        self.rows: dict[str, EndpointRow] = {}
        self._has_rows = False

    def add_row(self, row: Any) -> None:
        """Take the next row: kept if its endpoint is near, noted by name if not, left out if nameless.

        Raises:
            DiscoveryError: More endpoints are listed than there is memory for.
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
        """Read all rows that were kept into the table; what the policy engine is told of them."""
        return self._read_named(list(self.rows))

    def changes_in_parts(self, generation: int) -> Iterator[RegistryChange]:
        """Read all rows into the table as several changes; the last one alone has the list's generation.

        A complete list takes the place of the one before behind its rows.

        Raises:
            DiscoveryError: No row of a complete list can be read; the one before stays.
        """
        rows_per_part = max(ROWS_PER_PART, len(self.rows) // MAX_PARTS)
        names = iter(list(self.rows))
        while part := list(islice(names, rows_per_part)):
            yield self.change(api.UpdateKind.DELTA, self._read_named(part), 0)
        gone = self.replace_list() if self.is_complete else []
        yield self.change(api.UpdateKind.DELTA, gone, generation)

    def change(
        self, kind: api.UpdateKind, endpoints: list[AddressedEndpoint], generation: int
    ) -> RegistryChange:
        """What is told of these endpoints."""
        update = api.EndpointUpdate(
            kind, tuple(addressed.endpoint for addressed in endpoints), generation, self.nearest.listed
        )
        addresses = {addressed.endpoint.server: addressed.address for addressed in endpoints}
        return RegistryChange(update, addresses)

    def replace_list(self) -> list[AddressedEndpoint]:
        """Take the place of the list before.

        Returns:
            What is told of endpoints that the list before alone has named.

        Raises:
            DiscoveryError: No row can be read; the list before stays.
        """
        if self._has_rows and not self.rows:
            raise DiscoveryError("no row of the endpoint list can be read")
        self.table.nearest = self.nearest
        self.table.other_names = self.other_names
        dropped = (self.table.forget(name) for name in list(self.table.rows) if name not in self.rows)
        return [endpoint for endpoint in dropped if endpoint]

    def _offer(self, name: str, row: EndpointRow) -> None:
        """Keep the row of an endpoint that was not listed before if it is near."""
        offered = self.nearest.offer(name)
        if offered.is_kept:
            self.rows[name] = row
        if offered.displaced is not None:
            self._pass_over(offered.displaced)
        elif not offered.is_kept:
            self._pass_over(name)
        if len(self.other_names) > MAX_LISTED:
            raise DiscoveryError(f"more than {MAX_LISTED} endpoints are listed")

    def _pass_over(self, name: str) -> None:
        """Keep no more than the name of an endpoint that is listed, as others are nearer."""
        self.other_names.add(name)
        if self.is_complete or name not in self.table.rows:
            self.rows.pop(name, None)
        else:
            self.rows[name] = {**self.table.rows[name], "lifecycle": LIFECYCLE_GONE}

    def _read_named(self, names: list[str]) -> list[AddressedEndpoint]:
        return [endpoint for name in names if (endpoint := self._read_row(name))]

    def _read_row(self, name: str) -> AddressedEndpoint | None:
        """Read the row of this name into the table; None if it can't be read and nothing was known before."""
        row = self.rows[name]
        try:
            addressed = parse_row(row, self.table.number_for_row, self.table.start_times.by_gateway_clock)
        except DiscoveryError as error:
            log.error("malformed endpoint row error=%r row=%.200r", error.__cause__ or error, row)
            return self._keep_known(name)
        self._store(name, row, addressed)
        return addressed

    def _keep_known(self, name: str) -> AddressedEndpoint | None:
        """What was known before of an endpoint whose row can't be read.

        One malformed row costs neither the list nor the endpoint: docs/decisions/discovery-malformed-rows.md.
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
            if name in self.nearest:  # else it was displaced, and stays listed
                self.nearest.drop(name)
            self.table.forget(name)


class StreamingSnapshotReader:
    """Reads an update too long to be read at once, in pieces of any size; indented or not.

    Rows may go on up to MAX_LISTED, and each has to end.

    Attributes:
        table: The state that the update alters.
        reader: What has been read, once it is known whether the list is complete.
        generation: The generation of the list, once ``changes`` has been called.
        is_complete_list: Whether it names all endpoints, not changes alone, once ``changes`` has been called.
    """

    def __init__(self, table: EndpointTable) -> None:
        self.table = table
        self.reader: SnapshotReader | None = None
        self._document = SnapshotDocumentParser(self._on_row)
        self._early_rows: list[Any] = []  # that came before it was known whether the list is complete
        self.generation = 0
        self.is_complete_list = False

    @property
    def row_count(self) -> int:
        """Rows read so far."""
        return self._document.row_count

    def feed(self, data: bytes) -> bytes | None:
        """Read the next bytes.

        Returns:
            What came behind the end of the document; None while the end has not come.

        Raises:
            DiscoveryError: The document is malformed, or longer than there is memory for.
        """
        return self._document.feed(data)

    def changes(self) -> Iterator[RegistryChange]:
        """What the document tells, some at a time, once it has ended.

        Raises:
            DiscoveryError: A field is missing or malformed.
        """
        fields = self._document.fields
        try:
            self.generation = int(fields["generation"])
            self.is_complete_list = bool(fields["reset"])
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise DiscoveryError(f"a field is missing or malformed: {error!r}") from error
        reader = self.reader or self._begin()
        return reader.changes_in_parts(self.generation)

    def _on_row(self, row: Any) -> None:
        if self.reader is not None:
            self.reader.add_row(row)
        elif "reset" in self._document.fields:
            self._begin().add_row(row)
        else:
            self._early_rows.append(row)
        if self._document.row_count > MAX_LISTED:
            raise DiscoveryError(f"more than {MAX_LISTED} rows")

    def _begin(self) -> SnapshotReader:
        self.reader = SnapshotReader(self.table, bool(self._document.fields["reset"]))
        for row in self._early_rows:
            self.reader.add_row(row)
        self._early_rows = []
        return self.reader
