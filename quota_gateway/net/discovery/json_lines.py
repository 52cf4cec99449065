"""Finds the JSON documents in a stream of lines: one a line, or indented over many."""

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
    """Puts the lines of a document together until it is complete.

    A string holds no line end, so that brackets can be counted line by line. An indented document is not
    taken for a document a line: docs/decisions/discovery-long-lists.md.

    Attributes:
        size_bytes: Length of the document that is not complete yet.
    """

    def __init__(self) -> None:
        self.size_bytes = 0
        self._lines: list[bytes] = []
        self._open_brackets = 0

    def add_line(self, line: bytes) -> Any:
        """Take the next line, without its end.

        Returns:
            The document that it completes; HEARTBEAT for an empty line between two documents; None if there
            is nothing to read yet, and for a document that is JSON's null.

        Raises:
            DiscoveryError: No document can come of the lines any more.
        """
        if not line.strip():
            if self._lines:
                raise DiscoveryError("a document breaks off")
            return HEARTBEAT
        if not self._lines:
            try:
                return json.loads(line)
            except (ValueError, RecursionError):
                pass  # perhaps the first line of many
        self._append(line)
        if self._open_brackets > 0:
            return None
        return self._parse(self.take_incomplete())

    def take_incomplete(self) -> bytes:
        """Return the document so far, to be read elsewhere, and begin the next one."""
        text = b"\n".join(self._lines)
        self._lines = []
        self._open_brackets = 0
        self.size_bytes = 0
        return text

    def _append(self, line: bytes) -> None:
        bare = STRING.sub(b"", line)
        self._open_brackets += len(OPENING_BRACKET.findall(bare)) - len(CLOSING_BRACKET.findall(bare))
        self._lines.append(line)
        self.size_bytes += len(line)

    def _parse(self, text: bytes) -> Any:
        try:
            return json.loads(text)
        except (ValueError, RecursionError) as error:
            raise DiscoveryError(f"not JSON: {error}") from error
