"""RESP2 as PROTOCOL has it: encodes commands, and reads commands and replies from a stream."""

from __future__ import annotations

import asyncio


def encode(words: list[bytes]) -> bytes:
    """Encode an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one array of bulk strings.

    Raises:
        asyncio.IncompleteReadError: The stream ended.
    """
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


async def read_reply(reader: asyncio.StreamReader) -> bytes:
    """Read one reply: an error line, a simple string, or a bulk string with a leading ``$``.

    Raises:
        asyncio.IncompleteReadError: The stream ended before the end of the reply.
    """
    line = (await reader.readuntil(b"\r\n"))[:-2]
    if not line.startswith(b"$"):
        return line
    return b"$" + (await reader.readexactly(int(line[1:]) + 2))[:-2]


def fields_of(command: list[bytes]) -> dict[str, str]:
    """Return the names and values in a command."""
    pairs = (part.partition("=") for part in command[3].decode().split(","))
    return {name: value for name, _, value in pairs}
