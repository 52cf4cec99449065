"""A channel between two processes of one gateway: whole messages in order, over a Unix socket.

A message is a header as a line of JSON, raw bytes and at most one descriptor. It travels in packets that the
kernel keeps whole: a first byte that says whether more follow, then a piece of the message.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from quota_gateway.errors import HandoverError
from quota_gateway.net.transient_errors import SHORTAGE_ERRORS

log = logging.getLogger(__name__)

PIECE_BYTES = 60 * 1024  # of a message in a packet: the kernel's buffer for a Unix socket holds some of them
MAX_MESSAGE_BYTES = 32 * 1024 * 1024  # a message without end is cut
MORE_FOLLOWS = b"+"  # the first byte of a packet
LAST_PACKET = b"."
WRITE_RETRY_S = 0.005  # after the system was short of memory or descriptors
MAX_DESCRIPTORS_READ = 2  # of a packet: one is due, and one too many is noticed and closed


class ChannelMessage(NamedTuple):
    """A message to send; its descriptor goes over to the channel with it."""

    header: dict[str, Any]
    body: bytes = b""
    descriptor: int | None = None


class ReceivedMessage:
    """A message that has come. It owns its descriptor until that is taken, and closes it otherwise."""

    __slots__ = ("body", "descriptor", "header")

    def __init__(self, header: dict[str, Any], body: bytes, descriptor: int | None) -> None:
        self.header = header
        self.body = body
        self.descriptor = descriptor

    def take_socket(self) -> socket.socket:
        """The descriptor as a socket, which is the caller's from now on.

        Raises:
            HandoverError: The message came without a descriptor, or it has been taken.
            OSError: The descriptor is no socket; it is still the message's.
        """
        if self.descriptor is None:
            raise HandoverError(f"{self.header.get('kind')!r:.200}: descriptor is missing")
        sock = socket.socket(fileno=self.descriptor)
        self.descriptor = None
        return sock

    def close(self) -> None:
        """Close the descriptor if nobody has taken it."""
        _close_descriptor(self.descriptor)
        self.descriptor = None


MessageReceiver = Callable[[ReceivedMessage], None]


class _Packet(NamedTuple):
    """What the kernel is given at once; the descriptor is open until it has taken it."""

    data: bytes
    descriptor: int | None


def _close_descriptor(descriptor: int | None) -> None:
    if descriptor is not None:
        os.close(descriptor)


def _ignore_end() -> None:
    """What happens at the end of a channel of which nobody wants to know."""


class ProcessChannel:
    """One connection between two processes: whole messages in order, each with a descriptor at most.

    ``on_end`` is called once, when the channel is closed by either side.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.loop = asyncio.get_running_loop()
        self.on_end: Callable[[], None] = _ignore_end
        self.closed = False
        self._write_failed = False
        self._was_reset = False
        self._outgoing: deque[_Packet] = deque()
        self._pieces: list[bytes] = []  # of a message that has not come whole
        self._descriptor: int | None = None  # of that message
        self._received: deque[ReceivedMessage] = deque()  # for which there was no receiver yet
        self._receiver: MessageReceiver | None = None
        self._message_or_end = asyncio.Event()
        sock.setblocking(False)
        self.loop.add_reader(sock, self._on_readable)

    @property
    def queued_packets(self) -> int:
        """How many packets wait for the kernel to take them."""
        return len(self._outgoing)

    # ---- Sending

    def send(self, message: ChannelMessage) -> None:
        """Queue a message. Its descriptor is this channel's from now on, and closed once it is sent."""
        if self.closed or self._write_failed:
            _close_descriptor(message.descriptor)
            return
        data = json.dumps(message.header).encode() + b"\n" + message.body
        descriptor = message.descriptor
        for start in range(0, len(data), PIECE_BYTES):
            is_last = start + PIECE_BYTES >= len(data)
            mark = LAST_PACKET if is_last else MORE_FOLLOWS
            self._outgoing.append(_Packet(mark + data[start : start + PIECE_BYTES], descriptor))
            descriptor = None  # it goes with the first packet
        self._write()

    def _write(self) -> None:
        while self._outgoing and not self.closed:
            packet = self._outgoing[0]
            try:
                if packet.descriptor is None:
                    self.sock.send(packet.data)
                else:
                    socket.send_fds(self.sock, [packet.data], [packet.descriptor])
            except BlockingIOError:
                self.loop.add_writer(self.sock, self._write)
                return
            except OSError as error:
                self._on_write_error(error)
                return
            self._outgoing.popleft()
            _close_descriptor(packet.descriptor)
        if not self.closed:
            self.loop.remove_writer(self.sock)

    def _on_write_error(self, error: OSError) -> None:
        """Try again where the system is short of something; else the other process has ended.

        What that sent before is still to be read, up to its end. The error may be the reset itself, of which
        the reader is not told then.
        """
        if error.errno in SHORTAGE_ERRORS:
            self.loop.remove_writer(self.sock)
            self.loop.call_later(WRITE_RETRY_S, self._write)
            return
        self._write_failed = True
        self._drop_outgoing()
        self._was_reset = True
        self.loop.call_soon(self._read_after_reset)

    def _drop_outgoing(self) -> None:
        self.loop.remove_writer(self.sock)
        for packet in self._outgoing:
            _close_descriptor(packet.descriptor)
        self._outgoing.clear()

    # ---- Receiving

    def _on_readable(self) -> None:
        try:
            data, descriptors, flags, _ = self._receive()
        except BlockingIOError:
            return
        except OSError as error:
            if error.errno in SHORTAGE_ERRORS:
                return  # the loop calls again, as what has come is still there
            self.close(f"can't be read: {error!r}")
            return
        for descriptor in descriptors:
            if self._descriptor is None:
                self._descriptor = descriptor
            else:
                os.close(descriptor)
        if not data:
            self.close("the other process ended it")
            return
        self._on_packet(data, is_truncated=bool(flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC)))
        if self._was_reset and not self.closed:
            self.loop.call_soon(self._read_after_reset)

    def _read_after_reset(self) -> None:
        """Read on, up to the end, though the loop does not call any more."""
        if not self.closed:
            self._on_readable()

    def _receive(self) -> tuple[bytes, list[int], int, Any]:
        """Read one packet.

        A reset tells that the other process ended with something unread. What it has sent, and its end, are
        still to be read, now: the loop reports such an end once and calls no reader afterwards.
        """
        try:
            return socket.recv_fds(self.sock, PIECE_BYTES + 1, MAX_DESCRIPTORS_READ)
        except ConnectionResetError:
            self._was_reset = True
            return socket.recv_fds(self.sock, PIECE_BYTES + 1, MAX_DESCRIPTORS_READ)

    def _on_packet(self, data: bytes, is_truncated: bool) -> None:
        mark = data[:1]
        self._pieces.append(data[1:])
        if is_truncated or mark not in (MORE_FOLLOWS, LAST_PACKET):
            self.close("malformed packet")
        elif mark == LAST_PACKET:
            self._on_message_complete()
        elif len(self._pieces) * PIECE_BYTES > MAX_MESSAGE_BYTES:
            self.close("message too long")

    def _on_message_complete(self) -> None:
        line, _, body = b"".join(self._pieces).partition(b"\n")
        descriptor = self._descriptor
        self._pieces = []
        self._descriptor = None
        try:
            header = json.loads(line)
        except ValueError:
            header = None
        if not isinstance(header, dict):
            _close_descriptor(descriptor)
            self.close("malformed header")
            return
        self._received.append(ReceivedMessage(header, body, descriptor))
        self._message_or_end.set()
        self._deliver()

    def set_receiver(self, receiver: MessageReceiver) -> None:
        """Bring messages here from now on, those that have come already first.

        A receiver that raises ends the channel. The descriptor of a message is closed unless it takes it.
        """
        self._receiver = receiver
        self._deliver()

    def _deliver(self) -> None:
        while self._receiver and self._received:
            message = self._received.popleft()
            try:
                self._receiver(message)
            except (ValueError, KeyError, TypeError, AttributeError, OSError) as error:
                # beside a malformed message: a state that can't be written must not leave its process idle
                self.close(f"malformed message: {error!r}")
            finally:
                message.close()

    async def first_message(self) -> ReceivedMessage | None:
        """The first message, which the caller has to close, or None when the channel ended."""
        await self._message_or_end.wait()
        return self._received.popleft() if self._received else None

    # ---- End

    def close(self, reason: str) -> None:
        """End it: the other process is dead, malformed, or not needed. The reason goes into the log."""
        if self.closed:
            return
        self.closed = True
        log.info("process channel closed reason=%r", reason)
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        _close_descriptor(self._descriptor)
        self._descriptor = None
        for message in self._received:
            message.close()
        self._received.clear()
        self._drop_outgoing()
        self.sock.close()
        self._message_or_end.set()
        self.on_end()

    def close_silently(self, reason: str) -> None:
        """End it without a call to ``on_end``, as this process ends too."""
        self.on_end = _ignore_end
        self.close(reason)
