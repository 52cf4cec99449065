"""The part of RESP2 that the protocol page uses: commands of words, values, error lines."""

from __future__ import annotations

import re

HEADER = re.compile(rb"([*$])(-?[0-9]+)\r\n")


def encode_command(*words: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def encode_call(request_id: str, customer: str, fields: str, body: bytes | None = None) -> bytes:
    """Encode CALL.GET, or CALL.POST if there is a body."""
    head = (customer.encode(), request_id.encode(), fields.encode())
    if body is None:
        return encode_command(b"CALL.GET", *head)
    return encode_command(b"CALL.POST", *head, body)


def fields_of(field_list: bytes) -> dict[str, str]:
    """Split ``c=read,d=480`` into names and values."""
    return dict(part.split("=", 1) for part in field_list.decode().split(","))


def take_command(buffer: bytearray) -> list[bytes] | None:
    """Remove the first command from the buffer; None if it is not complete."""
    header = HEADER.match(buffer)
    if header is None:
        return None
    position = header.end()
    words = []
    for _ in range(int(header[2])):
        length = HEADER.match(buffer, position)
        if length is None:
            return None
        start, end = length.end(), length.end() + int(length[2])
        if len(buffer) < end + 2:
            return None
        words.append(bytes(buffer[start:end]))
        position = end + 2
    del buffer[:position]
    return words


def take_answer(buffer: bytearray) -> bytes | None:
    """Remove the first whole answer of a gateway from the buffer; None if it is not complete.

    Returns:
        ``b"$"`` and the value, or the line of an answer that is no value.
    """
    end = buffer.find(b"\r\n")
    if end < 0:
        return None
    if buffer[:1] != b"$":
        line = bytes(buffer[:end])
        del buffer[: end + 2]
        return line
    start, length = end + 2, int(buffer[1:end])
    if len(buffer) < start + length + 2:
        return None
    value = b"$" + bytes(buffer[start : start + length])
    del buffer[: start + length + 2]
    return value
