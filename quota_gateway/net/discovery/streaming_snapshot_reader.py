"""Reads an update that is too long to be read as a whole; see docs/decisions/discovery-long-lists.md."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from quota_gateway.errors import DiscoveryError
from quota_gateway.net.discovery import snapshot_reader
from quota_gateway.net.discovery.endpoint_row import RegistryChange
from quota_gateway.net.discovery.endpoint_table import EndpointTable
from quota_gateway.net.discovery.snapshot_document import SnapshotDocumentParser


class StreamingSnapshotReader:
    """Reads one long document, indented or not, in pieces of any size.

    Attributes:
        table: The endpoint table that the update changes.
        reader: The reader of the rows; None until it is known whether the update is a complete snapshot.
        generation: The generation of the update; valid once ``changes`` has been called.
        is_complete_snapshot: Whether the update is a complete snapshot; valid once ``changes`` has been
            called.
    """

    def __init__(self, table: EndpointTable) -> None:
        self.table = table
        self.reader: snapshot_reader.SnapshotReader | None = None
        self._document = SnapshotDocumentParser(self._on_row)
        self._early_rows: list[Any] = []  # rows received before the field ``reset``
        self.generation = 0
        self.is_complete_snapshot = False

    @property
    def row_count(self) -> int:
        """The number of rows read so far."""
        return self._document.row_count

    def feed(self, data: bytes) -> bytes | None:
        """Read the next bytes.

        Returns:
            The bytes after the end of the document; None before its end.

        Raises:
            DiscoveryError: The document is malformed, or has more than ``MAX_LISTED_ENDPOINTS`` rows.
        """
        return self._document.feed(data)

    def changes(self) -> Iterator[RegistryChange]:
        """Return the changes of the document after it has ended.

        Raises:
            DiscoveryError: A field is missing or malformed.
        """
        fields = self._document.fields
        try:
            self.generation = int(fields["generation"])
            self.is_complete_snapshot = bool(fields["reset"])
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise DiscoveryError(f"endpoint list has a missing or malformed field: {error!r}") from error
        reader = self.reader or self._create_reader()
        return reader.changes(self.generation)

    def _on_row(self, row: Any) -> None:
        if self.reader is not None:
            self.reader.add_row(row)
        elif "reset" in self._document.fields:
            self._create_reader().add_row(row)
        else:
            self._early_rows.append(row)
        if self._document.row_count > snapshot_reader.MAX_LISTED_ENDPOINTS:
            raise DiscoveryError(f"endpoint list has more than {snapshot_reader.MAX_LISTED_ENDPOINTS} rows")

    def _create_reader(self) -> snapshot_reader.SnapshotReader:
        self.reader = snapshot_reader.SnapshotReader(self.table, bool(self._document.fields["reset"]))
        for row in self._early_rows:
            self.reader.add_row(row)
        self._early_rows = []
        return self.reader
