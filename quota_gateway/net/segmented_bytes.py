"""Bytes that arrive in pieces and are held once, without being joined or moved."""

from __future__ import annotations

from collections.abc import Sequence

# Pieces are joined up to this length, so that many short ones do not take an object each. A segment is small
# enough that its reallocations as it grows leave no large holes in the heap.
SEGMENT_BYTES = 64 * 1024

Buffer = bytes | bytearray | memoryview


class SegmentedBytes:
    """A long string of bytes in segments.

    Attributes:
        segments: The bytes, in order. They must not change once they have been passed to a transport.
        length_bytes: The sum of the lengths of the segments.
    """

    __slots__ = ("length_bytes", "segments")

    def __init__(self) -> None:
        self.segments: list[bytearray] = []
        self.length_bytes = 0

    def append(self, piece: bytes) -> None:
        """Add bytes at the end."""
        self.length_bytes += len(piece)
        if self.segments and len(self.segments[-1]) + len(piece) <= SEGMENT_BYTES:
            self.segments[-1] += piece
        else:
            self.segments.append(bytearray(piece))


def total_bytes(pieces: Sequence[Buffer]) -> int:
    """Return the sum of the lengths of all pieces."""
    return sum(len(piece) for piece in pieces)
