"""The upstream pool: sends attempts on a limited number of connections to the listed servers."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from contextlib import suppress

from quota_gateway.errors import ProtocolError
from quota_gateway.model import AttemptStatus, EndpointUpdate, Settings
from quota_gateway.net.address import Address
from quota_gateway.net.buffer_budget import BufferBudget
from quota_gateway.net.clock import MS_PER_S
from quota_gateway.net.upstream.attempt import Attempt, UpstreamReply
from quota_gateway.net.upstream.connection import UpstreamConnection
from quota_gateway.net.upstream.connection_limiter import ConnectionLimiter
from quota_gateway.net.upstream.host import UpstreamHost
from quota_gateway.net.upstream.host_table import HostTable
from quota_gateway.net.upstream.reply_parser import ReplyParser
from quota_gateway.telemetry import Telemetry

__all__ = ["Attempt", "UpstreamConnection", "UpstreamPool", "UpstreamReply"]

# Share of the servers' idle limit at which idle connections are closed, well before servers close them.
IDLE_LIMIT_SHARE = 0.4
# Delay before a connection is reused: surplus bytes right after a reply have arrived by then.
REUSE_DELAY_S = 0.012
SWEEP_INTERVAL_S = 1.0  # The interval between sweeps is short compared to the idle and the stall limit.
STALL_TIMEOUT_S = 10.0  # the longest time without a byte of a large value that has begun


class UpstreamPool:
    """All connections to the servers that discovery lists, with limits over all of them.

    Args:
        settings: The gateway's settings.
        max_connections: The maximum number of connections, and of descriptors, at a time, those of the peer
            process included.
        budget: Counts the bytes of incomplete replies.
        telemetry: The telemetry of the process.
    """

    def __init__(
        self,
        settings: Settings,
        max_connections: int,
        budget: BufferBudget,
        telemetry: Telemetry | None = None,
    ) -> None:
        self.telemetry = telemetry or Telemetry()
        self.loop = asyncio.get_running_loop()
        self.connect_timeout_s = settings.limits.connect_timeout_ms / MS_PER_S
        self.idle_limit_s = settings.limits.connection_idle_ms / MS_PER_S * IDLE_LIMIT_SHARE
        self.reply_parser = ReplyParser(settings.load_report_fields, settings.max_request_units)
        self.budget = budget
        self.limiter = ConnectionLimiter(max_connections)
        self.connections = self.limiter.connections
        self._host_table = HostTable()
        self.hosts: Mapping[int, UpstreamHost] = self._host_table.by_server
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    # ---- Servers

    def update(self, update: EndpointUpdate, addresses: Mapping[int, Address]) -> None:
        """Apply an endpoint update, and close connections that it makes unusable."""
        self._host_table.update(update, addresses)

    def set_detached(self, server: int, detached: bool) -> None:
        """Detach a server, or attach it again.

        A detached server gets neither new attempts nor those whose connections are not established yet.
        """
        host = self._host_table.set_detached(server, detached)
        if host is None or not detached:
            return
        for connection in [c for c in self.connections if c.host is host and not c.is_established]:
            connection.close(AttemptStatus.CONNECT_FAILED)

    # ---- Attempts

    def start(self, server: int, attempt: Attempt) -> None:
        """Send an attempt on the most recently used idle connection, or on a new one.

        The attempt ends unsent if its server is not ready, or if its ``refusal_to_send`` returns a status.
        """
        host = self.hosts.get(server)
        if host is None or not host.is_ready:
            attempt.finish(UpstreamReply(AttemptStatus.CONNECT_FAILED))
            return
        refusal = attempt.refusal_to_send()
        if refusal:
            attempt.finish(UpstreamReply(refusal))
            return
        connection = host.take_idle(self.loop.time() - REUSE_DELAY_S)
        if connection:
            connection.send(attempt)
        else:
            self._connect(host, attempt)

    def stop(self, attempt: Attempt, status: AttemptStatus) -> None:
        """Stop an attempt: close its connection, then report its outcome.

        An attempt whose connection is not established yet never ran, and ends with CONNECT_FAILED.
        """
        connection = attempt.connection
        if attempt.on_done and connection:
            connection.close(status if connection.is_established else AttemptStatus.CONNECT_FAILED)

    def cancel_unsent(self, attempt: Attempt) -> None:
        """Stop an attempt that is not fully sent, and so never ran; a fully sent attempt goes on."""
        connection = attempt.connection
        if attempt.on_done and connection and not connection.fully_sent:
            connection.close(AttemptStatus.NOT_SENT)

    # ---- Connections

    def _connect(self, host: UpstreamHost, attempt: Attempt) -> None:
        if self.limiter.is_full() and not self._evict():
            attempt.finish(UpstreamReply(AttemptStatus.CONNECT_FAILED))
            return
        self.limiter.add(UpstreamConnection(self, host, attempt))

    def _evict(self) -> bool:
        """Close the connection that has been idle longest, to make room; return whether there was one."""
        longest_idle = self._host_table.longest_idle()
        if longest_idle:
            longest_idle.close(AttemptStatus.RESET)
        return longest_idle is not None

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection for reuse after its attempt has ended with a reply, or close it.

        It is closed if its server has changed in the meantime, or if the reply came before the command was
        fully sent: the rest of the command would still follow.
        """
        if connection.closed or connection.epoch != connection.host.epoch or not connection.fully_sent:
            connection.close(AttemptStatus.RESET)
            return
        connection.pause(False)
        connection.set_idle(self.loop.time())
        connection.host.idle.append(connection)

    def count_buffered(self, change_bytes: int) -> None:
        """Add a change to the number of bytes buffered for replies.

        Raises:
            ProtocolError: The buffered bytes of the process exceed their limit.
        """
        self.budget.buffered_bytes += change_bytes
        if change_bytes > 0 and not self.budget.can_buffer_reply():
            raise ProtocolError("buffered replies exceed the memory limit")

    @property
    def descriptors_in_use(self) -> int:
        """The number of descriptors of connections, from before they are opened until they are closed."""
        return self.limiter.descriptors_in_use

    def on_closing(self, connection: UpstreamConnection) -> None:
        """Forget a connection that is closing."""
        with suppress(ValueError):
            connection.host.idle.remove(connection)
        self.limiter.remove(connection)

    def on_descriptor_closed(self) -> None:
        """Count the descriptor of a connection as closed; it is closed by the time the loop continues."""
        self.limiter.on_descriptor_closed()

    # ---- Closing

    def _sweep(self) -> None:
        """Close stalled connections, and idle ones well before their servers do."""
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self._host_table.close_idle_since(self.loop.time() - self.idle_limit_s)
        stalled_before_s = self.loop.time() - STALL_TIMEOUT_S
        for connection in [c for c in self.connections if c.is_stalled(stalled_before_s)]:
            connection.close(AttemptStatus.RESET)
        self.limiter.open_waiting()  # The peer process may have closed some of its connections.

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        host = self.hosts.get(server)
        if host:
            host.close_idle()

    def close_all_idle(self) -> None:
        """Close every idle connection: the next process serves now, and the limits cover both processes."""
        self._host_table.close_all_idle()

    def close(self) -> None:
        """Stop the sweeps, and close all connections."""
        self._sweep_timer.cancel()
        for connection in list(self.connections):
            connection.close(AttemptStatus.CANCELLED)
