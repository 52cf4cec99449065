"""One connection to a server, with at most one attempt on it at a time.

The outcome of an attempt follows the protocol's table: an attempt whose last byte was not handed to the
kernel never ran. If the last byte was handed to the kernel, the attempt may have run, however it ended.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from contextlib import suppress
from typing import Protocol, cast

from quota_gateway.errors import ProtocolError
from quota_gateway.model import AttemptStatus
from quota_gateway.net.upstream.attempt import Attempt, EncodedCommand, UpstreamReply
from quota_gateway.net.upstream.command_writer import CommandWriter
from quota_gateway.net.upstream.connection_state import ConnectionState
from quota_gateway.net.upstream.host import UpstreamHost
from quota_gateway.net.upstream.reply_parser import ReplyParser
from quota_gateway.net.upstream.reply_receiver import ReplyReceiver
from quota_gateway.telemetry import Invariant, Metric, Telemetry

log = logging.getLogger(__name__)

# The size of the kernel's receive buffer is about the size of a piece of a large value that is read at once.
RECEIVE_BUFFER_BYTES = 32 * 1024
LOGGED_REPLY_BYTES = 60  # the maximum length of a malformed reply in the log


class ConnectionOwner(Protocol):
    """The part of the upstream pool's interface that its connections use."""

    loop: asyncio.AbstractEventLoop
    connect_timeout_s: float
    reply_parser: ReplyParser
    telemetry: Telemetry

    def count_buffered(self, change_bytes: int) -> None:
        """Add a change to the number of bytes buffered for replies.

        Raises:
            ProtocolError: Too many bytes are buffered.
        """

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection for reuse after its attempt has ended with a reply, or close it."""

    def on_closing(self, connection: UpstreamConnection) -> None:
        """Forget a connection that is closing; its descriptor is still open."""

    def on_descriptor_closed(self) -> None:
        """Count the descriptor of a connection as closed; it is closed by the time the loop continues."""


class UpstreamConnection(asyncio.Protocol):
    """One connection to a server, with at most one attempt on it at a time."""

    def __init__(self, owner: ConnectionOwner, host: UpstreamHost, attempt: Attempt) -> None:
        self.owner = owner
        self.host = host
        self.epoch = host.epoch
        self.state = ConnectionState.CONNECTING
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.socket: socket.socket | None = None
        self.task: asyncio.Task[None] | None = None
        self.idle_since_s = 0.0
        self.paused = False
        self._writer: CommandWriter | None = None  # the writer of an established connection
        self._receiver = ReplyReceiver(owner.reply_parser, owner.count_buffered, owner.loop.time)
        attempt.connection = self

    @property
    def is_established(self) -> bool:
        """Whether the connection is or was established."""
        return self.transport is not None

    @property
    def closed(self) -> bool:
        """Whether the connection is closed, or about to be."""
        return self.state is ConnectionState.CLOSED

    @property
    def fully_sent(self) -> bool:
        """Whether the kernel has the last byte of the attempt."""
        return self._writer is not None and self._writer.fully_sent

    def _enter(self, state: ConnectionState) -> None:
        """Change the state; a closed connection stays closed."""
        if self.state is not ConnectionState.CLOSED:
            self.state = state

    # ---- Connecting

    async def open(self) -> None:
        """Connect within the configured timeout; ``connection_made`` then sends the attempt."""
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            async with asyncio.timeout(self.owner.connect_timeout_s):
                await self.owner.loop.sock_connect(sock, self.host.address)
            self.socket = sock
            await self.owner.loop.create_connection(lambda: self, sock=sock)
        except (OSError, TimeoutError):
            # Running out of descriptors is an OSError too: it ends the attempt, not the gateway.
            self.close(AttemptStatus.CONNECT_FAILED)
        finally:
            if sock and self.socket is None:
                sock.close()

    def on_open_ended(self, _task: asyncio.Task[None]) -> None:
        """Count the descriptor as closed if ``open`` ended without a transport, or never began."""
        if self.transport is None:
            self.owner.on_descriptor_closed()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the attempt, unless its server or its client has gone in the meantime."""
        # uvloop's transports do not inherit from asyncio.Transport, so an isinstance check would fail.
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0 the loop calls resume_writing when the kernel has the last byte.
        self.transport.set_write_buffer_limits(0)
        self._writer = CommandWriter(self.transport, self.close)
        attempt = self.attempt
        if self.closed or attempt is None:
            self.transport.abort()
        elif self.epoch != self.host.epoch or not self.host.is_ready:
            self.close(AttemptStatus.CONNECT_FAILED)  # A server that is draining or gone gets no first byte.
        else:
            payload = attempt.encode_again() if attempt.encode_again else attempt.payload
            refusal = attempt.refusal_to_send()
            if refusal:
                # The client may have left, for instance, and its disconnect is not handled yet.
                self.close(refusal)
            else:
                self._write(attempt, payload)

    # ---- Sending

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection."""
        self.attempt = attempt
        attempt.connection = self
        self._write(attempt, attempt.payload)

    def _write(self, attempt: Attempt, payload: EncodedCommand) -> None:
        assert self._writer is not None
        self._enter(ConnectionState.IN_FLIGHT)
        if self._is_host_ready():
            self._writer.write(attempt, payload)
        else:
            self.close(AttemptStatus.CONNECT_FAILED)

    def _is_host_ready(self) -> bool:
        """Whether the first byte may be sent; callers have already rejected hosts that are not ready."""
        check = self.owner.telemetry.invariants.check
        return self.host.is_ready or check(Invariant.NO_SEND_TO_UNREADY, False, repr(self.host.address))

    def resume_writing(self) -> None:
        """Continue writing: the kernel has all that was written, or the connection is broken."""
        if self._writer:
            self._writer.on_buffer_empty()

    # ---- Receiving

    def data_received(self, data: bytes) -> None:
        """Read a reply, or a part of one; a complete reply is checked before the connection is reused.

        A malformed reply, bytes after a reply and bytes without an attempt in flight close the connection:
        such bytes would be taken for the reply to a later request. See docs/decisions/upstream-replies.md.
        """
        if self.closed:
            return
        attempt = self.attempt
        if attempt is None:
            self.close(AttemptStatus.RESET)
            return
        try:
            reply = self._receiver.feed(data, attempt)
        except ProtocolError as error:
            log.warning("upstream reply malformed data=%.60r reason=%s", data[:LOGGED_REPLY_BYTES], error)
            self.close(AttemptStatus.ERROR)  # The attempt may have run.
            return
        if reply:
            self._on_reply(attempt, reply)

    def _on_reply(self, attempt: Attempt, reply: UpstreamReply) -> None:
        self._end_attempt()
        if self._receiver.has_surplus_bytes:
            self.close(AttemptStatus.RESET)
        else:
            self.owner.release(self)
        attempt.finish(reply)

    def set_idle(self, now_s: float) -> None:
        """Mark the connection as idle since ``now_s``, in loop time, and available for another attempt."""
        self._enter(ConnectionState.IDLE)
        self.idle_since_s = now_s

    def pause(self, pause: bool) -> None:
        """Pause reading, or resume it: backpressure from a client that is slower than the server."""
        if self.transport is None or self.closed or pause == self.paused:
            return
        self.paused = pause
        self._receiver.on_reading_changed()
        if pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def is_stalled(self, before_s: float) -> bool:
        """Whether no byte of a large value that has begun was received since ``before_s``, in loop time."""
        attempt = self.attempt
        if attempt is None or attempt.body_consumer is None or self.paused:
            return False
        return self._receiver.last_progress_s < before_s

    def is_alive(self) -> bool:
        """Whether the server has neither closed the idle connection nor sent unsolicited bytes on it.

        The socket is read directly, as the loop may not have seen the end of the connection yet; see
        docs/decisions/upstream-connections.md.
        """
        assert self.socket is not None
        if self.closed:
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    # ---- Closing

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 (asyncio's signature)
        """Handle the end of the connection; the loop closes its descriptor when this method returns.

        The socket object gives up its descriptor so that it is not closed twice; see
        docs/decisions/upstream-connections.md.
        """
        if self.socket:
            self.socket.detach()
        self.close(AttemptStatus.RESET if self.fully_sent else AttemptStatus.CONNECT_FAILED)
        self.owner.on_descriptor_closed()

    def close(self, status: AttemptStatus) -> None:
        """Close the connection at once; its attempt, if any, ends with this status.

        The socket is shut down before the outcome is reported. The outcome may lead to a retry, which must
        not find this attempt still in flight.
        """
        attempt = self._end_attempt()
        if not self.closed:
            self._enter(ConnectionState.CLOSED)
            self.owner.telemetry.metrics.count(Metric.UPSTREAM_CONNECTIONS_CLOSED, status.value)
            self._receiver.close()
            self.owner.on_closing(self)
            self._shut_down()
        if attempt:
            attempt.finish(UpstreamReply(status))

    def _end_attempt(self) -> Attempt | None:
        attempt = self.attempt
        self.attempt = None
        if self._writer:
            self._writer.on_attempt_ended()
        return attempt

    def _shut_down(self) -> None:
        if self.socket is None and self.task:
            self.task.cancel()
        elif self.transport:
            if self.socket:
                with suppress(OSError):
                    self.socket.shutdown(socket.SHUT_RDWR)
            self.transport.abort()
