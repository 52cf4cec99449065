"""The upstream pool: attempts on connections to the servers of discovery's list, within limits."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from contextlib import suppress

from quota_gateway.errors import ProtocolError
from quota_gateway.model import AttemptStatus, EndpointUpdate, Settings
from quota_gateway.net.address import Address
from quota_gateway.net.clock import MS_PER_S
from quota_gateway.net.upstream.attempt import Attempt, UpstreamReply
from quota_gateway.net.upstream.connection import UpstreamConnection
from quota_gateway.net.upstream.connection_limiter import ConnectionLimiter
from quota_gateway.net.upstream.host import UpstreamHost
from quota_gateway.net.upstream.host_table import HostTable
from quota_gateway.net.upstream.reply_parser import ReplyParser
from quota_gateway.telemetry import Telemetry

__all__ = ["Attempt", "UpstreamConnection", "UpstreamPool", "UpstreamReply"]

IDLE_LIMIT_SHARE = 0.4  # of the servers' idle limit: connections are retired well before servers close them
REUSE_DELAY_S = 0.012  # after a reply: bytes that come right behind it have shown by then
SWEEP_INTERVAL_S = 1.0  # between two looks at idle and stalled connections: short against both limits
STALL_TIMEOUT_S = 10.0  # without a byte of a large value that has begun


class UpstreamPool:
    """All connections to the servers of discovery's list, bounded over all of them.

    Args:
        settings: The gateway's settings.
        max_connections: Connections, and descriptors, at a time, those of the peer process included.
        max_buffered_bytes: Bytes of replies that are not complete yet, over all connections.
        telemetry: Of the process.
    """

    def __init__(
        self,
        settings: Settings,
        max_connections: int,
        max_buffered_bytes: int,
        telemetry: Telemetry | None = None,
    ) -> None:
        self.telemetry = telemetry or Telemetry()
        self.loop = asyncio.get_running_loop()
        self.connect_timeout_s = settings.limits.connect_timeout_ms / MS_PER_S
        self.idle_limit_s = settings.limits.connection_idle_ms / MS_PER_S * IDLE_LIMIT_SHARE
        self.reply_parser = ReplyParser(settings.load_report_fields, settings.max_request_units)
        self.max_buffered_bytes = max_buffered_bytes
        self.buffered_bytes = 0  # of replies that are not complete yet
        self.limiter = ConnectionLimiter(max_connections)
        self.connections = self.limiter.connections
        self._host_table = HostTable()
        self.hosts: Mapping[int, UpstreamHost] = self._host_table.by_server
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    # ---- Servers

    def update(self, update: EndpointUpdate, addresses: Mapping[int, Address]) -> None:
        """Take over an endpoint update; connections that it makes useless are closed."""
        self._host_table.update(update, addresses)

    def set_detached(self, server: int, detached: bool) -> None:
        """Detach a server, or attach it again.

        A detached server gets no new attempts, nor those on connections that are still connecting.
        """
        host = self._host_table.set_detached(server, detached)
        if host is None or not detached:
            return
        for connection in [c for c in self.connections if c.host is host and not c.is_established]:
            connection.close(AttemptStatus.CONNECT_FAILED)

    # ---- Attempts

    def start(self, server: int, attempt: Attempt) -> None:
        """Send on the most recently used connection, or on a new one; nothing where nobody waits any more."""
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
        """Stop waiting: the connection is closed, then the outcome reported. One not up yet never ran."""
        connection = attempt.connection
        if attempt.on_done and connection:
            connection.close(status if connection.is_established else AttemptStatus.CONNECT_FAILED)

    def cancel_unsent(self, attempt: Attempt) -> None:
        """Stop an attempt that is not fully sent, and so never ran; any other one goes on."""
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
        """Close the connection that has been idle longest, if any, to stay within the limit."""
        longest_idle = self._host_table.longest_idle()
        if longest_idle:
            longest_idle.close(AttemptStatus.RESET)
        return longest_idle is not None

    def release(self, connection: UpstreamConnection) -> None:
        """Keep the connection of an attempt that has ended with a reply, unless its server changed meanwhile.

        Nor is it kept where the reply came before the command was fully sent: the rest would still follow.
        """
        if connection.closed or connection.epoch != connection.host.epoch or not connection.fully_sent:
            connection.close(AttemptStatus.RESET)
            return
        connection.pause(False)
        connection.set_idle(self.loop.time())
        connection.host.idle.append(connection)

    def count_buffered(self, change_bytes: int) -> None:
        """Count bytes buffered for a reply.

        Raises:
            ProtocolError: All replies together would outgrow the memory there is for them.
        """
        self.buffered_bytes += change_bytes
        if change_bytes > 0 and self.buffered_bytes > self.max_buffered_bytes:
            raise ProtocolError("more replies than there is memory for")

    @property
    def descriptors_in_use(self) -> int:
        """Descriptors of connections, counted from before they are opened until they are closed."""
        return self.limiter.descriptors_in_use

    def on_closing(self, connection: UpstreamConnection) -> None:
        """Forget a connection that is closing."""
        with suppress(ValueError):
            connection.host.idle.remove(connection)
        self.limiter.remove(connection)

    def on_descriptor_closed(self) -> None:
        """Count the descriptor of a connection as closed; it is as the loop goes on."""
        self.limiter.on_descriptor_closed()

    # ---- Closing

    def _sweep(self) -> None:
        """Close idle connections well before their servers do, and stalled ones."""
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self._host_table.close_idle_since(self.loop.time() - self.idle_limit_s)
        stalled_before_s = self.loop.time() - STALL_TIMEOUT_S
        for connection in [c for c in self.connections if c.is_stalled(stalled_before_s)]:
            connection.close(AttemptStatus.RESET)
        self.limiter.open_waiting()  # the peer process may have closed some of its own

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        host = self.hosts.get(server)
        if host:
            host.close_idle()

    def close_all_idle(self) -> None:
        """Close every idle connection: the next process serves now, and the limits are over both."""
        self._host_table.close_all_idle()

    def close(self) -> None:
        """Close everything, at the end."""
        self._sweep_timer.cancel()
        for connection in list(self.connections):
            connection.close(AttemptStatus.CANCELLED)
