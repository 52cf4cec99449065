"""Parses RESP2 strictly and within bounds: the commands of clients, and the replies of upstream servers.

A header that announces more than the protocol allows is an error as soon as it is read; see
docs/decisions/client-commands.md for what a general parser would accept.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from math import inf
from typing import NamedTuple, cast

from quota_gateway.errors import ProtocolError
from quota_gateway.net.segmented_bytes import Buffer, SegmentedBytes

# Longest body of a command; the protocol says 64 KiB, but longer bodies occur.
MAX_BODY_BYTES = 4 * 1024 * 1024
# Longest value of a reply. A long value is streamed, so that it takes no more memory than a short one.
MAX_VALUE_BYTES = 9_999_999
STREAMED_MIN_BYTES = 64 * 1024  # values and bodies above this length are taken in pieces
MAX_HEADER_BYTES = 16  # a header has a type byte, up to seven digits, and CR LF; the rest is a margin
MAX_ERROR_LINE_BYTES = 512  # an error line may hold some words, a usage report and a load report
MAX_REPORT_BYTES = 256  # limit for the usage report, and for the load report
HEAD_ARGUMENT_COUNT = 4  # arguments of a command before its body
# Maximum lengths of a command's name, customer, id, list of fields and body.
COMMAND_ARGUMENT_MAX_BYTES = (64, 64, 128, 512, MAX_BODY_BYTES)
ARRAY_HEADER = re.compile(rb"\*([0-9]{1,7})\r\n")
BULK_HEADER = re.compile(rb"\$([0-9]{1,7}|-1)\r\n")


class BulkArrayReader:
    """Parses arrays of bulk strings from bytes that come in pieces of any length.

    One long element may be streamed: ``next_array`` then returns None, ``take_piece`` returns the bytes of
    the element as they arrive, and the element is empty in the array.

    Args:
        max_lengths_bytes: The maximum length of each element; their number is the maximum number of elements.
        min_count: The minimum number of elements.
        nullable_from: The index of the first element that may be null.
        streamed_index: The index of the element that is streamed if it is long.
        streamed_min_bytes: That element is streamed if it is longer than this.

    Attributes:
        buffer: The bytes that are not parsed yet.
        streamed_bytes_left: How many bytes of a streamed element ``take_piece`` has yet to take; None while
            no element is streamed.
    """

    def __init__(
        self,
        max_lengths_bytes: Sequence[int],
        min_count: int,
        nullable_from: int,
        streamed_index: int = 0,
        streamed_min_bytes: float = inf,
    ) -> None:
        self.buffer = bytearray()
        self.streamed_bytes_left: int | None = None
        # Length of the current element by its header; negative for null.
        self._length_bytes: int | None = None
        self._elements: list[bytes | None] = []  # the elements that are complete
        self._max_lengths_bytes = max_lengths_bytes
        self._min_count = min_count
        self._nullable_from = nullable_from
        self._streamed_index = streamed_index
        self._streamed_min_bytes = streamed_min_bytes
        self._position = 0  # index of the next byte to be parsed
        self._removed_bytes = 0  # bytes before a streamed element, which are not in the buffer any more
        self._count = 0  # number of elements in the current array; 0 before its header

    def receive_data(self, data: bytes) -> None:
        """Buffer received bytes."""
        self.buffer += data

    def take_piece(self) -> bytes:
        """Remove and return the received bytes of a streamed element; empty if there are none."""
        assert self.streamed_bytes_left is not None
        taken = bytes(memoryview(self.buffer)[: self.streamed_bytes_left])
        del self.buffer[: len(taken)]
        self.streamed_bytes_left -= len(taken)
        if taken and not self.streamed_bytes_left:
            self._length_bytes = 0  # only the CR LF after the streamed element is left to be parsed
        return taken

    def next_array(self) -> list[bytes | None] | None:
        """Parse the next array.

        Returns:
            The array's elements, or None while it is not complete.

        Raises:
            ProtocolError: The bytes are not the beginning of an array within the bounds.
        """
        if not self._count and not self._read_array_header():
            return None
        if not self._read_elements():
            return None
        del self.buffer[: self._position]
        self._position = 0
        self._count = 0
        self._removed_bytes = 0
        self.streamed_bytes_left = None
        return self._elements

    def _read_array_header(self) -> bool:
        """Parse the header of the next array; return whether it is complete."""
        header = ARRAY_HEADER.match(self.buffer)
        if header is None:
            self._check_partial_header(b"*")
            return False
        self._count = int(header[1])
        self._position = header.end()
        self._elements = []
        if not self._min_count <= self._count <= len(self._max_lengths_bytes):
            raise ProtocolError("bad number of elements")
        return True

    def _read_elements(self) -> bool:
        """Parse the elements that have arrived; return whether the array is complete."""
        buffer = self.buffer
        elements = self._elements
        while len(elements) < self._count:
            if self._length_bytes is None and not self._read_bulk_header():
                return False
            if self.streamed_bytes_left:
                return False  # ``take_piece`` has to take the whole element first
            length = cast(int, self._length_bytes)
            if length < 0:
                elements.append(None)
            else:
                start = self._position
                end = start + length
                if len(buffer) < end + 2:
                    return False
                if not buffer.startswith(b"\r\n", end):
                    raise ProtocolError("longer than it says")
                elements.append(bytes(memoryview(buffer)[start:end]))
                self._position = end + 2
            self._length_bytes = None
        return True

    def _read_bulk_header(self) -> bool:
        """Parse the header of the next element; return whether it is complete."""
        header = BULK_HEADER.match(self.buffer, self._position)
        if header is None:
            self._check_partial_header(b"$")
            return False
        length = int(header[1])
        index = len(self._elements)
        self._length_bytes = length
        self._position = header.end()
        if length > self._max_lengths_bytes[index] or (length < 0 and index < self._nullable_from):
            raise ProtocolError("too long, or null")
        if length > self._streamed_min_bytes and index == self._streamed_index:
            del self.buffer[: self._position]
            self._removed_bytes = self._position
            self._position = 0
            self.streamed_bytes_left = length
        return True

    def _check_partial_header(self, kind: bytes) -> None:
        """Raise ProtocolError if the bytes are not the beginning of a header of this kind."""
        rest = self.buffer[self._position : self._position + MAX_HEADER_BYTES]
        if rest and (rest[:1] != kind or len(rest) == MAX_HEADER_BYTES or b"\n" in rest):
            raise ProtocolError("bad header")


class Command(NamedTuple):
    """A command of a client.

    Attributes:
        name: The command's name in upper case.
        arguments: The arguments before the body.
        body: The body in pieces; None for a command without one.
    """

    name: bytes
    arguments: list[bytes]
    body: Sequence[Buffer] | None


class CommandReader(BulkArrayReader):
    """Parses the commands of clients: name, customer, id, list of fields, body.

    A long body is held in segments, which become the body of the command without being copied.
    """

    def __init__(self) -> None:
        super().__init__(
            COMMAND_ARGUMENT_MAX_BYTES,
            min_count=1,
            nullable_from=len(COMMAND_ARGUMENT_MAX_BYTES),
            streamed_index=HEAD_ARGUMENT_COUNT,
            streamed_min_bytes=STREAMED_MIN_BYTES,
        )
        self._long_body = SegmentedBytes()

    @property
    def buffered_bytes(self) -> int:
        """The number of received bytes that belong to no complete command yet."""
        return self._removed_bytes + len(self.buffer) + self._long_body.length_bytes

    def next_command(self) -> Command | None:
        """Parse the next command.

        Returns:
            The command, or None while it is not complete.

        Raises:
            ProtocolError: The bytes are not the beginning of a command.
        """
        elements = self.next_array()
        if elements is None and self.streamed_bytes_left:
            self._long_body.append(self.take_piece())
            elements = self.next_array()
        if elements is None:
            return None
        name, *arguments = cast("list[bytes]", elements)  # no element may be null
        body: Sequence[Buffer] | None = None
        if len(elements) > HEAD_ARGUMENT_COUNT:
            body = self._long_body.segments or [arguments[-1]]
            del arguments[-1]
            self._long_body = SegmentedBytes()
        return Command(name.upper(), arguments, body)

    def is_within_command(self) -> bool:
        """Whether bytes of a command that is not complete have been received."""
        return bool(self.buffer) or self.streamed_bytes_left is not None

    def is_within_body(self) -> bool:
        """Whether only the rest of a command's body is missing."""
        return len(self._elements) == HEAD_ARGUMENT_COUNT and self._length_bytes is not None

    def is_within_long_body(self) -> bool:
        """Whether the rest of a body is missing that is held in segments."""
        return self.streamed_bytes_left is not None

    def received_bytes(self) -> bytes:
        """Return the received bytes that belong to no complete command, as another reader may read them."""
        if self.streamed_bytes_left is None:
            return bytes(self.buffer)
        # The head of the command has been removed from the buffer.
        elements = cast("list[bytes]", self._elements)
        length_bytes = self._long_body.length_bytes + self.streamed_bytes_left
        head = b"".join(b"$%d\r\n%b\r\n" % (len(element), element) for element in elements)
        header = b"*%d\r\n%b$%d\r\n" % (self._count, head, length_bytes)
        return b"".join((header, *self._long_body.segments, self.buffer))


# A reply is a value, a usage report and a load report, or an error line without its dash.
RawReply = list[bytes | None] | str


class ReplyReader(BulkArrayReader):
    """Parses the replies of an upstream server: value, usage report and load report, or an error line."""

    def __init__(self) -> None:
        super().__init__(
            (MAX_VALUE_BYTES, MAX_REPORT_BYTES, MAX_REPORT_BYTES),
            min_count=3,
            nullable_from=1,
            streamed_min_bytes=STREAMED_MIN_BYTES,
        )

    def next_reply(self) -> RawReply | None:
        """Parse the next reply.

        Returns:
            The reply, or None while it is not complete.

        Raises:
            ProtocolError: The bytes are not the beginning of a reply.
        """
        if self._count or not self.buffer.startswith(b"-"):
            return self.next_array()
        end = self.buffer.find(b"\r\n", 0, MAX_ERROR_LINE_BYTES)
        if end < 0:
            if len(self.buffer) >= MAX_ERROR_LINE_BYTES:
                raise ProtocolError("a line without end")
            return None
        line = bytes(memoryview(self.buffer)[1:end])
        del self.buffer[: end + 2]
        if not line.isascii():
            raise ProtocolError("a line that is no text")
        return line.decode("ascii")
