"""The servers of discovery's list and all connections to them, within the process's limits."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Mapping
from contextlib import suppress

from quota_gateway.errors import ProtocolError
from quota_gateway.model import AttemptStatus, EndpointLifecycle, EndpointUpdate, Settings, UpdateKind
from quota_gateway.net.address import Address
from quota_gateway.net.clock import MS_PER_S
from quota_gateway.net.upstream.attempt import Attempt, UpstreamReply
from quota_gateway.net.upstream.connection import UpstreamConnection
from quota_gateway.net.upstream.host import UpstreamHost
from quota_gateway.net.upstream.reply_parser import ReplyParser
from quota_gateway.telemetry import Telemetry

__all__ = ["Attempt", "UpstreamConnection", "UpstreamPool", "UpstreamReply"]

IDLE_SHARE = 0.4  # of the servers' idle limit after which a connection is retired: well before they do
REUSE_DELAY_S = 0.012  # after a reply: bytes that come right behind it have shown by then
SWEEP_INTERVAL_S = 1.0  # between two looks at idle and stalled connections: short against both limits
STALL_TIMEOUT_S = 10.0  # a server that has begun a large value and gives no byte for so long is given up


class UpstreamPool:
    """The servers of discovery's list and all connections to them, bounded over all.

    Args:
        settings: The gateway's settings.
        max_connections: Connections, and descriptors, at a time, those of a peer process included.
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
        self.idle_limit_s = settings.limits.connection_idle_ms / MS_PER_S * IDLE_SHARE
        self.reply_parser = ReplyParser(settings.load_report_fields, settings.max_request_units)
        self.max_connections = max_connections
        self.max_buffered_bytes = max_buffered_bytes
        self.buffered_bytes = 0  # of replies that are not complete yet
        self.peer_connections = 0  # of the other process of this gateway
        self.hosts: dict[int, UpstreamHost] = {}
        self.detached: set[int] = set()  # servers that operators detached, also those that no list names now
        self.connections: set[UpstreamConnection] = set()
        self.descriptors_in_use = 0  # counted from before they are opened until they are closed
        self.waiting_to_open: deque[UpstreamConnection] = deque()  # until a descriptor is closed
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    # ---- Servers

    def update(self, update: EndpointUpdate, addresses: Mapping[int, Address]) -> None:
        """Take over an endpoint update; connections that it makes useless are closed."""
        if update.kind is not UpdateKind.DELTA:
            listed = {endpoint.server for endpoint in update.endpoints}
            for server in [number for number in self.hosts if number not in listed]:
                self._remove(server)
        for endpoint in update.endpoints:
            server = endpoint.server
            if endpoint.state is EndpointLifecycle.GONE:
                self._remove(server)
                continue
            host = self.hosts.setdefault(server, UpstreamHost())
            host.update(endpoint, addresses[server], server in self.detached)

    def _remove(self, server: int) -> None:
        host = self.hosts.pop(server, None)
        if host:
            host.listed = False
            host.start_epoch()

    def set_detached(self, server: int, detached: bool) -> None:
        """Keep all that has not begun from a server, or no longer: new attempts, those still connecting."""
        if detached:
            self.detached.add(server)
        else:
            self.detached.discard(server)
        host = self.hosts.get(server)
        if host is None:
            return
        host.detached = detached
        if detached:
            host.start_epoch()
            for connection in [c for c in self.connections if c.host is host and not c.is_established]:
                connection.close(AttemptStatus.CONNECT_FAILED)

    # ---- Attempts

    def start(self, server: int, attempt: Attempt) -> None:
        """Send on the connection used last, or on a new one; nothing where nobody waits any more."""
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
        """Stop an attempt that has not gone out whole, and so never ran; one that has is let be."""
        connection = attempt.connection
        if attempt.on_done and connection and not connection.fully_sent:
            connection.close(AttemptStatus.NOT_SENT)

    # ---- Connections

    def _connect(self, host: UpstreamHost, attempt: Attempt) -> None:
        if len(self.connections) + self.peer_connections >= self.max_connections and not self._evict():
            attempt.finish(UpstreamReply(AttemptStatus.CONNECT_FAILED))
            return
        connection = UpstreamConnection(self, host, attempt)
        self.connections.add(connection)
        self.waiting_to_open.append(connection)
        self._open_waiting()

    def _open_waiting(self) -> None:
        """Open connections as far as there are descriptors.

        The loop closes a descriptor some turns after its connection; see
        docs/decisions/upstream-connections.md.
        """
        while self.waiting_to_open and self.descriptors_in_use + self.peer_connections < self.max_connections:
            connection = self.waiting_to_open.popleft()
            self.descriptors_in_use += 1
            connection.task = self.loop.create_task(connection.open())
            connection.task.add_done_callback(connection.on_open_ended)

    def _evict(self) -> bool:
        """Close the connection that has been idle longest, if any, to stay within ``max_connections``."""
        longest_idle = [host.idle[0] for host in self.hosts.values() if host.idle]
        oldest = min(longest_idle, key=lambda connection: connection.idle_since_s, default=None)
        if oldest:
            oldest.close(AttemptStatus.RESET)
        return oldest is not None

    def release(self, connection: UpstreamConnection) -> None:
        """An attempt has ended with a reply: keep its connection, unless the server changed meanwhile.

        Nor is it kept where the reply came before the command had gone whole: the rest would still follow.
        """
        if connection.closed or connection.epoch != connection.host.epoch or not connection.fully_sent:
            connection.close(AttemptStatus.RESET)
            return
        connection.pause(False)
        connection.idle_since_s = self.loop.time()
        connection.host.idle.append(connection)

    def count_buffered(self, connection: UpstreamConnection, change_bytes: int) -> None:
        """Count bytes buffered for a reply.

        Raises:
            ProtocolError: All replies together would outgrow the memory there is for them.
        """
        connection.buffered_bytes += change_bytes
        self.buffered_bytes += change_bytes
        if change_bytes > 0 and self.buffered_bytes > self.max_buffered_bytes:
            raise ProtocolError("more replies than there is memory for")

    def on_closing(self, connection: UpstreamConnection) -> None:
        """Forget a connection that is closing; its descriptor counts until it is closed."""
        self.connections.discard(connection)
        with suppress(ValueError):
            connection.host.idle.remove(connection)
        with suppress(ValueError):
            self.waiting_to_open.remove(connection)

    def on_descriptor_closed(self) -> None:
        """The descriptor of a connection has been closed, or is as the loop goes on."""
        self.descriptors_in_use -= 1
        self._open_waiting()

    # ---- Closing

    def _sweep(self) -> None:
        """Retire idle connections well before the server does, and give up stalled ones."""
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        idle_before_s = self.loop.time() - self.idle_limit_s
        for host in self.hosts.values():
            host.close_idle_since(idle_before_s)
        stalled_before_s = self.loop.time() - STALL_TIMEOUT_S
        for connection in [c for c in self.connections if c.is_stalled(stalled_before_s)]:
            connection.close(AttemptStatus.RESET)
        self._open_waiting()  # the other process may have closed some of its own

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        host = self.hosts.get(server)
        if host:
            host.close_idle()

    def close_all_idle(self) -> None:
        """Close every idle connection: another process serves now, and the limits are over both."""
        for host in self.hosts.values():
            host.close_idle()

    def close(self) -> None:
        """Close everything, at the end."""
        self._sweep_timer.cancel()
        for connection in list(self.connections):
            connection.close(AttemptStatus.CANCELLED)
