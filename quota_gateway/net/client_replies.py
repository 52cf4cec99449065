"""Replies to clients, encoded in their protocol, RESP2."""

from __future__ import annotations

FAILED_REPLY = b"-ERR failed\r\n"
BUSY_REPLY = b"-BUSY\r\n"
PONG_REPLY = b"+PONG\r\n"
LOADING_REPLY = b"-LOADING the list of servers is not known yet\r\n"


def encode_busy(retry_after_ms: float) -> bytes:
    """Encode a rejection; a Retry-After of less than half a millisecond is left out."""
    whole_ms = round(retry_after_ms)
    return b"-BUSY %d\r\n" % whole_ms if whole_ms > 0 else BUSY_REPLY


def encode_error(reason: str) -> bytes:
    """Encode an error line; characters that are not ASCII are replaced."""
    return f"-ERR {reason}\r\n".encode("ascii", "replace")


def encode_value(value: bytes) -> bytes:
    """Encode a complete value."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_value_header(length_bytes: int) -> bytes:
    """Encode the header of a value that follows in pieces."""
    return b"$%d\r\n" % length_bytes
