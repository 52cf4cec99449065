"""A channel between two processes of one gateway: whole messages in order, over a Unix socket.

A message is a line of JSON, raw bytes and a descriptor at most, in packets that the kernel keeps whole.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

log = logging.getLogger(__name__)

PIECE = 60 * 1024  # bytes of a packet: the kernel's buffer for a Unix socket holds some
LONGEST_MESSAGE = 32 * 1024 * 1024
MORE, LAST = b"+", b"."  # the first byte of a packet
Message = tuple[dict[str, Any], bytes, int | None]


class ProcessChannel:
    """One connection between two processes: whole messages in order, each with a descriptor at most."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.loop = sock, asyncio.get_running_loop()
        sock.setblocking(False)
        self.out: deque[tuple[bytes, int | None]] = deque()
        self.parts: list[bytes] = []
        self.descriptor: int | None = None
        self.waiting: deque[Message] = deque()
        self.taker: Callable[[dict[str, Any], bytes, int | None], None] | None = None
        self.on_end: Callable[[], None] = lambda: None
        self.arrived, self.closed, self.broken = asyncio.Event(), False, False
        self.loop.add_reader(sock, self._read)

    def send(self, head: dict[str, Any], raw: bytes = b"", descriptor: int | None = None) -> None:
        """Queue a message. A descriptor is this channel's from now on, and closed once it is sent."""
        if self.closed or self.broken:
            if descriptor is not None:
                os.close(descriptor)
            return
        data = json.dumps(head).encode() + b"\n" + raw
        pieces = [data[at : at + PIECE] for at in range(0, len(data), PIECE)]
        for number, piece in enumerate(pieces, 1):
            self.out.append(((LAST if number == len(pieces) else MORE) + piece, descriptor))
            descriptor = None
        self._write()

    def _write(self) -> None:
        while self.out and not self.closed:
            piece, descriptor = self.out[0]
            try:
                if descriptor is None:
                    self.sock.send(piece)
                else:
                    socket.send_fds(self.sock, [piece], [descriptor])
            except BlockingIOError:
                self.loop.add_writer(self.sock, self._write)
                return
            except OSError:  # it has ended: what it sent before that is still to be read, up to its end
                self.broken = True
                self._drop_out()
                return
            self.out.popleft()
            if descriptor is not None:
                os.close(descriptor)
        if not self.closed:
            self.loop.remove_writer(self.sock)

    def _drop_out(self) -> None:
        self.loop.remove_writer(self.sock)
        for _, descriptor in self.out:
            if descriptor is not None:
                os.close(descriptor)
        self.out.clear()

    def _read(self) -> None:
        try:
            data, descriptors, flags, _ = socket.recv_fds(self.sock, PIECE + 1, 2)
        except (BlockingIOError, ConnectionResetError):
            return  # a reset tells that it ended with something unread; what it sent comes all the same
        except OSError as error:
            self.close(f"can't be read: {error!r}")
            return
        for descriptor in descriptors:
            if self.descriptor is None:
                self.descriptor = descriptor
            else:
                os.close(descriptor)
        if not data:
            self.close("the other process ended it")
            return
        self.parts.append(data[1:])
        if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC) or data[:1] not in (MORE, LAST):
            self.close("malformed")
        elif data[:1] == LAST:
            self._message()
        elif len(self.parts) * PIECE > LONGEST_MESSAGE:
            self.close("a message without end")

    def _message(self) -> None:
        line, _, raw = b"".join(self.parts).partition(b"\n")
        descriptor, self.descriptor, self.parts = self.descriptor, None, []
        try:
            head = json.loads(line)
        except ValueError:
            head = None
        if not isinstance(head, dict):
            if descriptor is not None:
                os.close(descriptor)
            self.close("malformed")
            return
        self.waiting.append((head, raw, descriptor))
        self.arrived.set()
        self._deliver()

    def take(self, taker: Callable[[dict[str, Any], bytes, int | None], None]) -> None:
        """Bring messages here from now on, those that have come already first."""
        self.taker = taker
        self._deliver()

    def _deliver(self) -> None:
        while self.taker and self.waiting:
            head, raw, descriptor = self.waiting.popleft()
            try:
                self.taker(head, raw, descriptor)
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                self.close(f"malformed: {error!r}")

    async def first(self) -> Message | None:
        """The first message, or None when the channel ended."""
        await self.arrived.wait()
        return self.waiting.popleft() if self.waiting else None

    def close(self, why: str) -> None:
        """End it: the other process is dead, malformed, or not needed."""
        if self.closed:
            return
        self.closed = True
        log.info("the channel to the other process is closed: %s", why)
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        for descriptor in [self.descriptor, *(message[2] for message in self.waiting)]:
            if descriptor is not None:
                os.close(descriptor)
        self.descriptor = None
        self.waiting.clear()
        self._drop_out()
        self.sock.close()
        self.arrived.set()
        self.on_end()
