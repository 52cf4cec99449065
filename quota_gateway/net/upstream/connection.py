"""One connection to a server, with at most one attempt on it at a time.

The outcome of an attempt follows PROTOCOL's table: an attempt whose last byte was not handed to the kernel
never ran, one whose last byte was may have run, whatever became of it.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from contextlib import suppress
from typing import Protocol, cast

from quota_gateway.errors import ProtocolError
from quota_gateway.model import AttemptStatus
from quota_gateway.net.resp import ReplyReader
from quota_gateway.net.upstream.attempt import Attempt, UpstreamReply
from quota_gateway.net.upstream.host import UpstreamHost
from quota_gateway.net.upstream.reply_parser import ReplyParser
from quota_gateway.telemetry import Invariant, Metric, Telemetry

log = logging.getLogger(__name__)

RECEIVE_BUFFER_BYTES = 32 * 1024  # that the kernel reads ahead, about: what is read at once of a large value
MAX_WHOLE_WRITE_BYTES = 16 * 1024  # of a command that the kernel takes at once, as nothing else waits there
WITHHELD_BYTES = 2  # of a longer command's end: the fewest that leave its CR LF, and so the command, unsent
LOGGED_BYTES = 60  # of a malformed reply: enough to tell what wrote it


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to, as far as the connection needs it."""

    loop: asyncio.AbstractEventLoop
    connect_timeout_s: float
    reply_parser: ReplyParser
    telemetry: Telemetry

    def count_buffered(self, connection: UpstreamConnection, change_bytes: int) -> None:
        """Count bytes buffered for a reply; raises ProtocolError where there are too many."""

    def release(self, connection: UpstreamConnection) -> None:
        """An attempt has ended with a reply: keep its connection, or close it."""

    def on_closing(self, connection: UpstreamConnection) -> None:
        """A connection is closing; its descriptor is still open."""

    def on_descriptor_closed(self) -> None:
        """The descriptor of a connection has been closed, or is as the loop goes on."""


class UpstreamConnection(asyncio.Protocol):
    """One connection to a server: connecting, idle, or with one attempt in flight."""

    def __init__(self, owner: ConnectionOwner, host: UpstreamHost, attempt: Attempt) -> None:
        self.owner = owner
        self.host = host
        self.epoch = host.epoch
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.socket: socket.socket | None = None
        self.task: asyncio.Task[None] | None = None
        self.reader = ReplyReader()
        self.buffered_bytes = 0  # of a reply that is not complete yet
        self.fully_sent = False  # whether the kernel has the attempt's last byte
        self.withheld = b""  # end of its command, not written until the rest has gone
        self.idle_since_s = 0.0
        self.last_received_s = 0.0  # when a large value last came on
        self.closed = False
        self.paused = False
        attempt.connection = self

    @property
    def is_established(self) -> bool:
        """Whether the connection has come up."""
        return self.transport is not None

    # ---- Connecting

    async def open(self) -> None:
        """Connect within the timeout of the settings, then send the attempt that asked for it."""
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
        except (OSError, TimeoutError):  # out of descriptors is an OSError too: an outcome, not a crash
            self.close(AttemptStatus.CONNECT_FAILED)
        finally:
            if sock and self.socket is None:
                sock.close()

    def on_open_ended(self, _task: asyncio.Task[None]) -> None:
        """``open`` has ended, or never began. Where no transport came of it, no descriptor is left."""
        if self.transport is None:
            self.owner.on_descriptor_closed()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the attempt, unless its server or its client has gone meanwhile."""
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0 the loop tells when the last byte has gone to the kernel (resume_writing).
        self.transport.set_write_buffer_limits(0)
        attempt = self.attempt
        if self.closed or attempt is None:
            self.transport.abort()
        elif self.epoch != self.host.epoch or not self.host.is_ready:
            self.close(AttemptStatus.CONNECT_FAILED)  # no first byte to a server that is draining or gone
        else:
            payload = attempt.encode_again() if attempt.encode_again else attempt.payload
            refusal = attempt.refusal_to_send()
            if refusal:
                self.close(refusal)  # the client has left, its end may not have been handled yet
            else:
                self._write(payload)

    # ---- Sending

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection."""
        self.attempt = attempt
        attempt.connection = self
        self._write(attempt.payload)

    def _write(self, payload: bytes) -> None:
        """Write a command; the end of one that the kernel may not take at once only once it has the rest.

        The last byte starts an attempt, and it must not go out for a client that has left; see
        docs/decisions/upstream-attempts.md.
        """
        assert self.transport is not None
        self.fully_sent = False
        if not self._is_host_ready():
            self.close(AttemptStatus.CONNECT_FAILED)
            return
        if len(payload) <= MAX_WHOLE_WRITE_BYTES:
            self.withheld = b""
            self.transport.write(payload)
        else:
            self.withheld = payload[-WITHHELD_BYTES:]
            self.transport.write(memoryview(payload)[:-WITHHELD_BYTES])
        if self._has_gone():
            self._on_written()

    def _has_gone(self) -> bool:
        """Whether the kernel has all that was written; a write that failed leaves nothing either."""
        transport = self.transport
        return transport is not None and not transport.is_closing() and transport.get_write_buffer_size() == 0

    def resume_writing(self) -> None:
        """All that was written has gone to the kernel, unless the connection has broken."""
        if self._has_gone():
            self._on_written()

    def _on_written(self) -> None:
        """Write what was withheld, if the client still waits, or note that the command has gone whole."""
        withheld = self.withheld
        self.withheld = b""
        if not withheld:
            self._on_fully_sent()
        elif self.attempt and self.transport and not self.transport.is_closing():
            refusal = self.attempt.refusal_to_send()
            if refusal:
                self.close(refusal)
                return
            self.transport.write(withheld)
            if self._has_gone():
                self._on_fully_sent()

    def _on_fully_sent(self) -> None:
        """The kernel has the attempt's last byte."""
        self.fully_sent = True
        if self.attempt:
            self.attempt.on_sent()

    def _is_host_ready(self) -> bool:
        """Whether the first byte may go; a host that is not ready was refused before."""
        check = self.owner.telemetry.invariants.check
        return self.host.is_ready or check(Invariant.NO_SEND_TO_UNREADY, False, repr(self.host.address))

    # ---- Receiving

    def data_received(self, data: bytes) -> None:
        """Take a reply, or a part of one; it is judged before the connection is used again.

        A connection with a malformed reply, or with bytes behind a reply or out of turn, is closed: those
        bytes would be taken for the reply to a later request. See docs/decisions/upstream-replies.md.
        """
        if self.closed:
            return
        attempt = self.attempt
        if attempt is None:
            self.close(AttemptStatus.RESET)
            return
        self.reader.receive_data(data)
        try:
            reply = self._next_reply(attempt)
        except ProtocolError as error:
            log.warning("upstream reply malformed data=%.60r reason=%s", data[:LOGGED_BYTES], error)
            self.close(AttemptStatus.ERROR)  # it may have run
            return
        if reply is None:
            return
        self.attempt = None
        if self.reader.buffer:
            self.close(AttemptStatus.RESET)
        else:
            self.owner.release(self)
        attempt.finish(reply)

    def _next_reply(self, attempt: Attempt) -> UpstreamReply | None:
        """Return the reply once it is complete; None too where the connection was closed over it."""
        answer = self.reader.next_reply()
        if answer is None and self.reader.streamed_bytes_left is not None:
            self._pass_on(attempt)
            if self.closed:
                return None
            answer = self.reader.next_reply()
        if answer is None:
            self.owner.count_buffered(self, len(self.reader.buffer) - self.buffered_bytes)
            return None
        self.owner.count_buffered(self, -self.buffered_bytes)
        return self.owner.reply_parser.parse(answer)

    def _pass_on(self, attempt: Attempt) -> None:
        """Pass on what has come of a large value, which is never gathered."""
        assert self.reader.streamed_bytes_left is not None
        piece = self.reader.take_piece()
        if not piece:
            return  # a header alone commits nobody: other attempts may still be quicker
        self.last_received_s = self.owner.loop.time()
        if attempt.body_consumer is None:
            attempt.payload = b""
            body_consumer = attempt.on_body_started(self.reader.streamed_bytes_left + len(piece))
            if self.closed:
                return  # nobody wants it any more
            attempt.body_consumer = body_consumer
        attempt.body_consumer(piece)

    def pause(self, pause: bool) -> None:
        """Read no more for now, or go on: backpressure from a client slower than the server."""
        if self.transport is None or self.closed or pause == self.paused:
            return
        self.paused = pause
        self.last_received_s = self.owner.loop.time()
        if pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def is_stalled(self, before_s: float) -> bool:
        """Whether the server has begun a large value and sent nothing of it since a time of the loop."""
        attempt = self.attempt
        if attempt is None or attempt.body_consumer is None or self.paused:
            return False
        return self.last_received_s < before_s

    def is_alive(self) -> bool:
        """Whether the server has neither closed it nor written out of turn while it was idle.

        The kernel is asked, as the loop may not have come to the end yet; see
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
        """The connection has ended; the loop closes its descriptor as this returns.

        The socket lets go of its descriptor so that it is not closed twice; see
        docs/decisions/upstream-connections.md.
        """
        if self.socket:
            self.socket.detach()
        self.close(AttemptStatus.RESET if self.fully_sent else AttemptStatus.CONNECT_FAILED)
        self.owner.on_descriptor_closed()

    def close(self, status: AttemptStatus) -> None:
        """Close at once; the attempt on it, if any, ends with this status.

        The socket is shut down before the outcome is reported, so that a retry, which the outcome may bring
        about, never finds this attempt still in flight.
        """
        attempt = self.attempt
        self.attempt = None
        if not self.closed:
            self.closed = True
            self.owner.telemetry.metrics.count(Metric.UPSTREAM_CONNECTIONS_CLOSED, status.value)
            self.owner.count_buffered(self, -self.buffered_bytes)
            self.owner.on_closing(self)
            self._shut_down()
        if attempt:
            attempt.finish(UpstreamReply(status))

    def _shut_down(self) -> None:
        if self.socket is None and self.task:
            self.task.cancel()
        elif self.transport:
            if self.socket:
                with suppress(OSError):
                    self.socket.shutdown(socket.SHUT_RDWR)
            self.transport.abort()
