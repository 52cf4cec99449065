"""The packet format of messages on a process channel, without sockets.

A message has a header, which is one line of JSON, a body of raw bytes and at most one descriptor. It is sent
in packets, which the kernel delivers whole. The first byte of a packet says whether more packets of the
message follow; the rest is a piece of the message.
"""

from __future__ import annotations

import json
import os
import socket
from typing import Any, NamedTuple

from quota_gateway.errors import HandoverError

PIECE_BYTES = 60 * 1024  # message bytes per packet; the kernel's socket buffer holds several packets
MAX_PACKET_BYTES = PIECE_BYTES + 1
MAX_MESSAGE_BYTES = 32 * 1024 * 1024  # a message above the maximum length is rejected, as it may never end
MORE_FOLLOWS = b"+"  # first byte of all packets of a message except the last
LAST_PACKET = b"."  # first byte of the last packet of a message


def close_descriptor(descriptor: int | None) -> None:
    """Close a descriptor, if there is one."""
    if descriptor is not None:
        os.close(descriptor)


class ChannelMessage(NamedTuple):
    """A message to send. The channel that sends it takes over its descriptor."""

    header: dict[str, Any]
    body: bytes = b""
    descriptor: int | None = None


class Packet(NamedTuple):
    """A packet to send. Its descriptor stays open until the kernel has taken the packet."""

    data: bytes
    descriptor: int | None


def split_into_packets(message: ChannelMessage) -> list[Packet]:
    """Split a message into packets; its descriptor is sent with the first one."""
    data = json.dumps(message.header).encode() + b"\n" + message.body
    packets = []
    descriptor = message.descriptor
    for start in range(0, len(data), PIECE_BYTES):
        is_last = start + PIECE_BYTES >= len(data)
        mark = LAST_PACKET if is_last else MORE_FOLLOWS
        packets.append(Packet(mark + data[start : start + PIECE_BYTES], descriptor))
        descriptor = None
    return packets


class ReceivedMessage:
    """A received message. It owns its descriptor until ``take_socket`` or ``close`` is called."""

    __slots__ = ("body", "descriptor", "header")

    def __init__(self, header: dict[str, Any], body: bytes, descriptor: int | None) -> None:
        self.header = header
        self.body = body
        self.descriptor = descriptor

    def take_socket(self) -> socket.socket:
        """Return the descriptor as a socket, which the caller then owns.

        Raises:
            HandoverError: The message has no descriptor, or it was taken already.
            OSError: The descriptor is not a socket; the message still owns it.
        """
        if self.descriptor is None:
            raise HandoverError(f"{self.header.get('kind')!r:.200}: descriptor is missing")
        sock = socket.socket(fileno=self.descriptor)
        self.descriptor = None
        return sock

    def close(self) -> None:
        """Close the descriptor unless it was taken."""
        close_descriptor(self.descriptor)
        self.descriptor = None


class MessageAssembler:
    """Assembles messages from packets. It owns the descriptor of a message that is not complete yet."""

    __slots__ = ("_descriptor", "_pieces")

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self._descriptor: int | None = None

    def add_descriptors(self, descriptors: list[int]) -> None:
        """Keep the first descriptor of the message and close all others."""
        for descriptor in descriptors:
            if self._descriptor is None:
                self._descriptor = descriptor
            else:
                os.close(descriptor)

    def add_packet(self, data: bytes, is_truncated: bool) -> ReceivedMessage | None:
        """Add a packet; return the message if this packet completes it, else None.

        Raises:
            HandoverError: The packet or the header is malformed, or the message is too long.
        """
        mark = data[:1]
        self._pieces.append(data[1:])
        if is_truncated or mark not in (MORE_FOLLOWS, LAST_PACKET):
            raise HandoverError("malformed packet")
        if mark == LAST_PACKET:
            return self._take_message()
        if len(self._pieces) * PIECE_BYTES > MAX_MESSAGE_BYTES:
            raise HandoverError("message too long")
        return None

    def _take_message(self) -> ReceivedMessage:
        line, _, body = b"".join(self._pieces).partition(b"\n")
        descriptor = self._descriptor
        self._pieces = []
        self._descriptor = None
        try:
            header = json.loads(line)
        except ValueError:
            header = None
        if not isinstance(header, dict):
            close_descriptor(descriptor)
            raise HandoverError("malformed header")
        return ReceivedMessage(header, body, descriptor)

    def close(self) -> None:
        """Close the descriptor of a message that is not complete."""
        close_descriptor(self._descriptor)
        self._descriptor = None
