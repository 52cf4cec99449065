"""Splits a stream of lines into JSON documents: one per line, or indented over many lines."""

from __future__ import annotations

import json
import re
from enum import Enum, auto
from typing import Any

from quota_gateway.errors import DiscoveryError

STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
OPENING_BRACKET = re.compile(rb"[{\[]")
CLOSING_BRACKET = re.compile(rb"[}\]]")


class Heartbeat(Enum):
    """The sentinel for an empty line between two documents: nothing has changed."""

    HEARTBEAT = auto()


HEARTBEAT = Heartbeat.HEARTBEAT


class JsonLineReader:
    """Collects the lines of a document until it is complete.

    A JSON string contains no line break, so brackets can be counted line by line. A line of an indented
    document is not taken for a document of its own; see docs/decisions/discovery-long-lists.md.

    Attributes:
        size_bytes: The length of the incomplete document.
    """

    def __init__(self) -> None:
        self.size_bytes = 0
        self._lines: list[bytes] = []
        self._open_brackets = 0

    def add_line(self, line: bytes) -> Any:
        """Add the next line, without its line break.

        Returns:
            The document that the line completes; HEARTBEAT for an empty line between two documents; None
            while the document is incomplete, and for a document that is JSON's null.

        Raises:
            DiscoveryError: The lines cannot form a document.
        """
        if not line.strip():
            if self._lines:
                raise DiscoveryError("empty line within a document")
            return HEARTBEAT
        if not self._lines:
            try:
                return json.loads(line)
            except (ValueError, RecursionError):
                pass  # The line may be the first of an indented document.
        self._append(line)
        if self._open_brackets > 0:
            return None
        return self._parse(self.take_incomplete())

    def take_incomplete(self) -> bytes:
        """Return the lines collected so far as one text, and start a new document."""
        text = b"\n".join(self._lines)
        self._lines = []
        self._open_brackets = 0
        self.size_bytes = 0
        return text

    def _append(self, line: bytes) -> None:
        unquoted = STRING.sub(b"", line)
        self._open_brackets += len(OPENING_BRACKET.findall(unquoted)) - len(CLOSING_BRACKET.findall(unquoted))
        self._lines.append(line)
        self.size_bytes += len(line)

    def _parse(self, text: bytes) -> Any:
        try:
            return json.loads(text)
        except (ValueError, RecursionError) as error:
            raise DiscoveryError(f"document is not valid JSON: {error}") from error
