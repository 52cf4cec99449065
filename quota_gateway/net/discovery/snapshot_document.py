"""Parses the JSON document of a long endpoint list in pieces: scalar fields, and rows one after the other."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from quota_gateway.errors import DiscoveryError

MAX_ROW_BYTES = 64 * 1024  # the longest part of a document without the end of a row

# The number of open brackets in each part of a document: {"reset": …, "instances": [{"instanceId": …}, …]}
OUTSIDE_DEPTH = 0
DOCUMENT_DEPTH = 1
ROWS_DEPTH = 2
ROW_DEPTH = 3
DEPTHS_WITH_FIELDS = frozenset((DOCUMENT_DEPTH, ROW_DEPTH))
ROWS_FIELD = "instances"
OPENING_EVENTS = frozenset(("start_map", "start_array"))  # ijson's events for an opening bracket
CLOSING_EVENTS = frozenset(("end_map", "end_array"))  # ijson's events for a closing bracket


class SnapshotDocumentParser:
    """Parses one document of any length; holds one row at a time.

    Attributes:
        fields: The fields of the document that were received so far, without its rows.
        row_count: The number of complete rows.
    """

    def __init__(self, on_row: Callable[[Any], None]) -> None:
        """Start a document.

        Args:
            on_row: Called with each complete row, which may be any JSON value.
        """
        import ijson  # The import is here because only a long list needs ijson, and no process start does.

        self.fields: dict[str, Any] = {}
        self.row_count = 0
        self._on_row = on_row
        self._events = ijson.sendable_list()
        self._parser = ijson.basic_parse_coro(self._events, use_float=True)
        self._json_errors = (ijson.JSONError, UnicodeDecodeError)
        self._row: dict[str, Any] = {}
        self._key = ""
        self._depth = OUTSIDE_DEPTH
        self._bytes_since_row = 0
        self._has_ended = False
        self._is_line_blank = True  # true while the current line is blank

    def feed(self, data: bytes) -> bytes | None:
        """Parse the next bytes.

        Returns:
            The bytes after the end of the document; None before its end.

        Raises:
            DiscoveryError: The document is malformed, or a row is longer than ``MAX_ROW_BYTES``.
        """
        while data:
            line, line_end, data = data.partition(b"\n")
            self._is_line_blank = self._is_line_blank and not line.strip()
            if line_end and self._is_line_blank:  # A heartbeat is sent only between documents.
                raise DiscoveryError("empty line within an endpoint list")
            self._is_line_blank = self._is_line_blank or bool(line_end)
            self._parse(line, line_end)
            if self._has_ended:
                return data
        return None

    def _parse(self, line: bytes, line_end: bytes) -> None:
        row_count_before = self.row_count
        try:
            self._parser.send(line + line_end)
        except self._json_errors as error:
            raise DiscoveryError(f"document is not valid JSON: {error}") from error
        for event, value in self._events:
            self._on_event(event, value)
        del self._events[:]
        has_row_ended = self.row_count != row_count_before
        self._bytes_since_row = len(line) if has_row_ended else self._bytes_since_row + len(line)
        if self._bytes_since_row > MAX_ROW_BYTES:
            raise DiscoveryError(f"no row ends within {MAX_ROW_BYTES} bytes")

    def _on_event(self, event: str, value: Any) -> None:
        # Nearly all of a document is keys and values of rows; they are handled inline, as calls cost more.
        if event == "map_key":
            if self._depth in DEPTHS_WITH_FIELDS:
                self._key = value
        elif event in OPENING_EVENTS:
            self._on_open(event)
        elif event in CLOSING_EVENTS:
            self._on_close()
        elif self._depth == ROW_DEPTH:
            self._row[self._key] = value
        else:
            self._on_value_outside_rows(value)

    def _on_value_outside_rows(self, value: Any) -> None:
        if self._depth == ROWS_DEPTH:
            self._end_row(value)
        elif self._depth == DOCUMENT_DEPTH:
            self.fields[self._key] = value
        elif self._depth == OUTSIDE_DEPTH:
            raise DiscoveryError("the document is a scalar, not an object")

    def _on_open(self, event: str) -> None:
        self._depth += 1
        if self._depth == DOCUMENT_DEPTH:
            if event != "start_map":
                raise DiscoveryError("the document is an array, not an object")
        elif self._depth == ROWS_DEPTH:
            if self._key != ROWS_FIELD or event != "start_array":
                raise DiscoveryError(f"field {self._key!r} is not a scalar, or the rows are not an array")
        elif self._depth == ROW_DEPTH:
            self._row = {}
        else:
            self._row[self._key] = None  # No field of a row may be an object or an array.

    def _on_close(self) -> None:
        self._depth -= 1
        if self._depth == ROWS_DEPTH:
            self._end_row(self._row)
        elif self._depth == OUTSIDE_DEPTH:
            self._has_ended = True

    def _end_row(self, row: Any) -> None:
        self.row_count += 1
        self._on_row(row)
