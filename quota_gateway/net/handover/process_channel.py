"""A channel between two processes of one gateway: it carries whole messages in order over a Unix socket."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable
from enum import IntEnum
from typing import Any

from quota_gateway.errors import HandoverError
from quota_gateway.net.handover.packets import (
    MAX_PACKET_BYTES,
    ChannelMessage,
    MessageAssembler,
    Packet,
    ReceivedMessage,
    close_descriptor,
    split_into_packets,
)
from quota_gateway.net.transient_errors import SHORTAGE_ERRORS

__all__ = ["ChannelMessage", "ProcessChannel", "ReceivedMessage"]

log = logging.getLogger(__name__)

WRITE_RETRY_S = 0.005  # delay after a write that failed for lack of memory or descriptors
# One descriptor per packet is expected; a second one is received so that it can be closed.
MAX_DESCRIPTORS_PER_PACKET = 2

MessageReceiver = Callable[[ReceivedMessage], None]


class ChannelState(IntEnum):
    """The state of a channel. A channel only advances through these states, and may skip some."""

    OPEN = 0  # messages are sent and received
    RESET = 1  # the peer process has ended before reading everything; what it sent is still read
    SEND_FAILED = 2  # nothing is sent any more; what the peer process sent is still read
    CLOSED = 3


def _ignore_end() -> None:
    """Do nothing at the end of a channel."""


class ProcessChannel:
    """A connection between two processes for whole messages, in order, each with at most one descriptor.

    ``on_end`` is called once, when the channel is closed by either side.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.loop = asyncio.get_running_loop()
        self.on_end: Callable[[], None] = _ignore_end
        self._state = ChannelState.OPEN
        self._outgoing: deque[Packet] = deque()
        self._assembler = MessageAssembler()
        self._received: deque[ReceivedMessage] = deque()  # messages that came before the receiver was set
        self._receiver: MessageReceiver | None = None
        self._message_or_end = asyncio.Event()
        sock.setblocking(False)
        self.loop.add_reader(sock, self._on_readable)

    @property
    def closed(self) -> bool:
        """Whether either side has closed the channel."""
        return self._state is ChannelState.CLOSED

    @property
    def queued_packets(self) -> int:
        """Number of packets that the kernel has not taken yet."""
        return len(self._outgoing)

    def _advance(self, state: ChannelState) -> None:
        self._state = max(self._state, state)

    # ---- Sending

    def send(self, message: ChannelMessage) -> None:
        """Queue a message. The channel takes over its descriptor, and closes it once it is sent."""
        if self._state >= ChannelState.SEND_FAILED:
            close_descriptor(message.descriptor)
            return
        self._outgoing += split_into_packets(message)
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
            close_descriptor(packet.descriptor)
        if not self.closed:
            self.loop.remove_writer(self.sock)

    def _on_write_error(self, error: OSError) -> None:
        """Retry later if the system is short of descriptors or memory; else the peer process has ended.

        What the peer process sent before is still read to the end. The event loop might not call the reader
        again: the kernel reports a reset only once, and may have reported it to this write.
        """
        if error.errno in SHORTAGE_ERRORS:
            self.loop.remove_writer(self.sock)
            self.loop.call_later(WRITE_RETRY_S, self._write)
            return
        self._advance(ChannelState.SEND_FAILED)
        self._drop_outgoing()
        self.loop.call_soon(self._read_after_reset)

    def _drop_outgoing(self) -> None:
        self.loop.remove_writer(self.sock)
        for packet in self._outgoing:
            close_descriptor(packet.descriptor)
        self._outgoing.clear()

    # ---- Receiving

    def _on_readable(self) -> None:
        try:
            data, descriptors, flags, _ = self._receive()
        except BlockingIOError:
            return
        except OSError as error:
            if error.errno in SHORTAGE_ERRORS:
                return  # the event loop calls again, as the data is still unread
            self.close(f"read failed: {error!r}")
            return
        self._assembler.add_descriptors(descriptors)
        if not data:
            self.close("peer process ended it")
            return
        self._on_packet(data, is_truncated=bool(flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC)))
        if self._state >= ChannelState.RESET and not self.closed:
            self.loop.call_soon(self._read_after_reset)

    def _read_after_reset(self) -> None:
        """Read the next packet, as the event loop does not call the reader again after a reset."""
        if not self.closed:
            self._on_readable()

    def _receive(self) -> tuple[bytes, list[int], int, Any]:
        """Receive one packet.

        A reset means that the peer process ended before reading everything. The next packet is read at once
        and the rest by ``_read_after_reset``, as the event loop does not call the reader again after a reset.
        """
        try:
            return socket.recv_fds(self.sock, MAX_PACKET_BYTES, MAX_DESCRIPTORS_PER_PACKET)
        except ConnectionResetError:
            self._advance(ChannelState.RESET)
            return socket.recv_fds(self.sock, MAX_PACKET_BYTES, MAX_DESCRIPTORS_PER_PACKET)

    def _on_packet(self, data: bytes, is_truncated: bool) -> None:
        try:
            message = self._assembler.add_packet(data, is_truncated)
        except HandoverError as error:
            self.close(str(error))
            return
        if message:
            self._received.append(message)
            self._message_or_end.set()
            self._deliver()

    def set_receiver(self, receiver: MessageReceiver) -> None:
        """Deliver messages to this receiver from now on, beginning with those received already.

        The channel is closed if the receiver raises. The descriptor of a message is closed unless the
        receiver takes it.
        """
        self._receiver = receiver
        self._deliver()

    def _deliver(self) -> None:
        while self._receiver and self._received:
            message = self._received.popleft()
            try:
                self._receiver(message)
            except (ValueError, KeyError, TypeError, AttributeError, OSError) as error:
                # Other errors close the channel too: a state that can't be encoded must not leave clients
                # suspended.
                self.close(f"malformed message: {error!r}")
            finally:
                message.close()

    async def first_message(self) -> ReceivedMessage | None:
        """Return the first message, which the caller has to close, or None if the channel ended before it."""
        await self._message_or_end.wait()
        return self._received.popleft() if self._received else None

    # ---- End

    def close(self, reason: str) -> None:
        """Close the channel, log the reason and call ``on_end``, unless the channel is closed already."""
        if self.closed:
            return
        self._advance(ChannelState.CLOSED)
        log.info("process channel closed reason=%r", reason)
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self._assembler.close()
        for message in self._received:
            message.close()
        self._received.clear()
        self._drop_outgoing()
        self.sock.close()
        self._message_or_end.set()
        self.on_end()

    def close_silently(self, reason: str) -> None:
        """Close the channel without a call to ``on_end`` because this process ends."""
        self.on_end = _ignore_end
        self.close(reason)
