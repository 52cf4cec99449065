"""Connections to servers and the attempts on them; one attempt at a time on a connection.

What an attempt came to is told once, by PROTOCOL's table: an attempt whose last byte was not handed to
the kernel never ran, one that was may have, whatever became of it.
"""

from __future__ import annotations

import asyncio
import logging
import re
import socket
from collections import deque
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from math import inf
from typing import cast

from quota_gateway import model as api
from quota_gateway.errors import ProtocolError
from quota_gateway.net.address import Address
from quota_gateway.net.resp import Answer, ReplyReader
from quota_gateway.settings_format import REPORT_FIELD

log = logging.getLogger(__name__)

IDLE_SHARE = 0.4  # of the servers' idle limit after which a connection is retired: well before they do
REST_S = 0.012  # after an answer, before its connection is used again: what comes right behind shows by then
MOST_PERCENT = 100_000.0  # of a quota used: a thousand times
MOST_LOAD = 1_000_000.0  # of any figure in a load report
COST_LARGEST = 10.0  # how many times the largest guess the units that a request took may be
FIGURE = re.compile(r"[a-z_0-9]{1,20}=[0-9]{1,9}(\.[0-9]{1,20})?")
SWEEP_S = 1.0  # between two looks at idle connections
RECEIVE = 32 * 1024  # bytes that the kernel takes in ahead, about: what is read at once of a large value
AT_ONCE = 16 * 1024  # bytes of a command that the kernel takes at once, as nothing else waits there
TAIL = 2  # bytes of a longer one that are held back
STALLED_S = 10.0  # a server that has begun a large value and gives no byte for so long is given up


@dataclass(slots=True)
class UpstreamReply:
    """What an attempt came to."""

    status: api.AttemptStatus
    value: bytes | None = None
    used: float | None = None
    cost: float | None = None
    load: tuple[float, ...] | None = None


BodyConsumer = Callable[[bytes], None]  # takes the bytes of a large value, piece by piece


def _no_sink(length: int) -> BodyConsumer:
    return lambda piece: None


def _wanted() -> bool:
    return True


class Attempt:
    """A command on its way to a server; ``done`` is called once with what came of it.

    A large value is not gathered: ``begun`` is called with its length, and says where its bytes go, each
    piece as it comes. The reply's value is empty then.
    """

    __slots__ = ("begun", "connection", "done", "payload", "renew", "sink", "wanted")

    def __init__(
        self,
        payload: bytes,
        done: Callable[[UpstreamReply], None],
        begun: Callable[[int], BodyConsumer] = _no_sink,
        renew: Callable[[], bytes] | None = None,
        wanted: Callable[[], bool] = _wanted,
    ) -> None:
        self.renew = renew  # the command as it reads once a connection is up, which may take a while
        self.wanted = wanted  # whether its client is still there
        self.payload, self.begun = payload, begun
        self.done: Callable[[UpstreamReply], None] | None = done
        self.connection: UpstreamConnection | None = None
        self.sink: BodyConsumer | None = None  # once a large value has begun

    def pause(self, pause: bool) -> None:
        """Read no more of the value for now, or go on."""
        if self.connection:
            self.connection.pause(pause)

    def finish(self, reply: UpstreamReply) -> None:
        """Tell the outcome, the first only.

        The command and the client are let go. Guards against bodies that are kept until the attempt's time
        is up, as the timer that would end it knows the attempt.
        """
        done, self.done, self.connection, self.payload, self.renew = self.done, None, None, b"", None
        self.begun, self.wanted = _no_sink, _wanted
        if done:
            done(reply)


def _pairs(text: str) -> dict[str, float]:
    """``a=1,b=2`` as numbers; nothing at all if any of it is not of that form, negative or no number."""
    parts = text.split(",")
    if not all(FIGURE.fullmatch(part) for part in parts):
        return {}
    return {name: float(number) for name, _, number in (part.partition("=") for part in parts)}


class ReplyParser:
    """Reads what servers answer, figures on use and load reports included.

    Figures that can't be read, or can't be, are dropped and the good value is served. Guards against what
    would stay in the decisions for long: an excess, a queue, a mean that is no number.
    """

    def __init__(self, load_report_fields: tuple[str, ...], max_request_units: float) -> None:
        self.load_report_fields, self.most_cost = load_report_fields, COST_LARGEST * max_request_units

    def reply(self, answer: Answer) -> UpstreamReply:
        """An answer as the protocol's table has it."""
        if isinstance(answer, str):
            return self._error(answer)
        value, *figures = answer
        reply = UpstreamReply(api.AttemptStatus.OK, value)
        for text in figures:
            if text is not None:
                self._figures(reply, text.decode("latin-1"))
        return reply

    def _error(self, line: str) -> UpstreamReply:
        word, *rest = line.split(" ")
        if word not in ("ERR", "BUSY", "NOPERM", "SYNTAX"):
            raise ProtocolError("an error line that no server writes")
        if word == "SYNTAX":
            log.error("a server could not read a command: %.200s", line)
        reply = UpstreamReply(api.AttemptStatus.OVERLOADED if word == "BUSY" else api.AttemptStatus.ERROR)
        for figures in rest:
            self._figures(reply, figures)
        return reply

    def _figures(self, reply: UpstreamReply, text: str) -> None:
        figures = _pairs(text)
        if figures.get("used", inf) <= MOST_PERCENT:
            reply.used = figures["used"]
        if figures.get("cost", inf) <= self.most_cost:
            reply.cost = figures["cost"]
        load = {REPORT_FIELD.get(name, name): value for name, value in figures.items() if value <= MOST_LOAD}
        if self.load_report_fields and all(name in load for name in self.load_report_fields):
            reply.load = tuple(load[name] for name in self.load_report_fields)


class UpstreamHost:
    """A server as discovery last told it. Each change that makes old connections useless is an epoch."""

    __slots__ = ("address", "detached", "epoch", "idle", "listed", "started")

    def __init__(self) -> None:
        self.address: Address = ("", 0)
        self.started, self.epoch = 0.0, 0
        self.listed = self.detached = False  # as ready by discovery, and held out by operators
        self.idle: list[UpstreamConnection] = []  # the most recently used last

    @property
    def ready(self) -> bool:
        """Whether anything may go there."""
        return self.listed and not self.detached


class UpstreamConnection(asyncio.Protocol):
    """One connection to a server: connecting, idle, or with one attempt out."""

    def __init__(self, servers: UpstreamPool, host: UpstreamHost, attempt: Attempt) -> None:
        self.servers, self.host, self.epoch = servers, host, host.epoch
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.socket: socket.socket | None = None
        self.task: asyncio.Task[None] | None = None
        self.reader = ReplyReader()
        self.held = 0  # bytes of an answer that is not whole yet
        self.handed = False  # the attempt's last byte to the kernel
        self.tail = b""  # of its command, held back until the rest has gone
        self.idle_since = self.heard = 0.0  # since when it is idle, and when a large value last came on
        self.closed = self.paused = False
        attempt.connection = self

    # ---- Coming up

    async def open(self) -> None:
        """Connect within the time-out of the settings, then send the attempt that asked for it."""
        loop, sock = self.servers.loop, None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE)
            async with asyncio.timeout(self.servers.connect_timeout_s):
                await loop.sock_connect(sock, self.host.address)
            self.socket = sock
            await loop.create_connection(lambda: self, sock=sock)
        except (OSError, TimeoutError):  # out of descriptors is an OSError too: an outcome, not a crash
            self.close(api.AttemptStatus.CONNECT_FAILED)
        finally:
            if sock and self.socket is None:
                sock.close()

    def opened(self, task: asyncio.Task[None]) -> None:
        """``open`` has ended, or never began. Where no transport came of it, no descriptor is left."""
        if self.transport is None:
            self.servers.place_free()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0 the loop tells when the last byte has gone to the kernel (resume_writing).
        self.transport.set_write_buffer_limits(0)
        if self.closed or self.attempt is None:
            self.transport.abort()
        elif self.epoch != self.host.epoch or not self.host.ready:
            # Guards against a first byte to a server that began to drain, left or moved meanwhile.
            self.close(api.AttemptStatus.CONNECT_FAILED)
        elif not self.attempt.wanted():
            # Guards against beginning for a client that left meanwhile, whose end the loop has not come to.
            self.close(api.AttemptStatus.NOT_SENT)
        else:
            renew = self.attempt.renew
            self._write(renew() if renew else self.attempt.payload)

    # ---- An attempt

    def send(self, attempt: Attempt) -> None:
        """Send on an idle connection."""
        self.attempt, attempt.connection = attempt, self
        self._write(attempt.payload)

    def _write(self, payload: bytes) -> None:
        """Write a command; the end of one that the kernel may not take at once only once it has the rest.

        Guards against a client that leaves while its server is slow to take a command: the loop would write
        the last byte, with which an attempt begins, before it comes to the client's end.
        """
        assert self.transport is not None
        self.handed = False
        whole = len(payload) <= AT_ONCE
        self.tail = b"" if whole else payload[-TAIL:]
        self.transport.write(payload if whole else memoryview(payload)[:-TAIL])
        if self.transport.get_write_buffer_size() == 0:
            self._went()

    def resume_writing(self) -> None:
        self._went()

    def _went(self) -> None:
        """All that was written has gone to the kernel."""
        tail, self.tail = self.tail, b""
        if not tail:
            self.handed = True
        elif self.attempt and self.transport and not self.transport.is_closing():
            if not self.attempt.wanted():
                self.close(api.AttemptStatus.NOT_SENT)
                return
            self.transport.write(tail)
            self.handed = self.transport.get_write_buffer_size() == 0

    def data_received(self, data: bytes) -> None:
        """An answer, or a part of one; it is judged before the connection is used again.

        Guards against answers that can't be read, and against bytes behind an answer or out of turn, which
        would be taken for the answer to a later request: the connection is of no further use.
        """
        if self.closed:
            return
        if self.attempt is None:
            self.close(api.AttemptStatus.RESET)
            return
        self.reader.feed(data)
        try:
            answer = self.reader.answer()
            if answer is None and self.reader.left is not None:
                self._pass_on(self.attempt)
                answer = None if self.closed else self.reader.answer()
            if self.closed:
                return
            if answer is None:
                self.servers.hold(len(self.reader.buffer) - self.held, self)
                return
            self.servers.hold(-self.held, self)
            reply = self.servers.readings.reply(answer)
        except ProtocolError as error:
            log.warning("an answer that can't be read: %s: %.60r", error, data[:60])
            self.close(api.AttemptStatus.ERROR)  # it may have run
            return
        attempt, self.attempt = self.attempt, None
        if self.reader.buffer:
            self.close(api.AttemptStatus.RESET)
        else:
            self.servers.give_back(self)
        attempt.finish(reply)

    def _pass_on(self, attempt: Attempt) -> None:
        """Pass on what has come of a large value.

        Guards against values that are gathered: many at a time would not fit in the memory, and the first
        bytes would reach the client as late as the last.
        """
        assert self.reader.left is not None
        piece = self.reader.piece()
        if not piece:
            return  # a header alone commits nobody: other attempts may still be quicker
        self.heard = self.servers.loop.time()
        if attempt.sink is None:
            attempt.payload = b""
            sink = attempt.begun(self.reader.left + len(piece))
            if self.closed:
                return  # nobody wants it any more
            attempt.sink = sink
        attempt.sink(piece)

    def pause(self, pause: bool) -> None:
        """Read no more for now, or go on: guards against a client slower than the server."""
        if self.transport and not self.closed and pause != self.paused:
            self.paused, self.heard = pause, self.servers.loop.time()
            (self.transport.pause_reading if pause else self.transport.resume_reading)()

    def stalled(self, before: float) -> bool:
        """Whether the server has begun a large value and given nothing more since."""
        attempt = self.attempt
        return attempt is not None and attempt.sink is not None and not self.paused and self.heard < before

    def alive(self) -> bool:
        """Whether the server has not closed it, or written out of turn, while it was idle.

        Guards against writing to a connection whose end has come but was not read yet: the request would
        end as a reset, which is fatal for an unsafe one.
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

    # ---- The end

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended; the loop closes its descriptor as this returns.

        Guards against closing it twice where it ended as it came up: uvloop knows of the socket only after
        that, and the socket would close the number anew when it is let go of, then another's.
        """
        if self.socket:
            self.socket.detach()
        self.close(api.AttemptStatus.RESET if self.handed else api.AttemptStatus.CONNECT_FAILED)
        self.servers.place_free()  # the loop closes the descriptor as this returns

    def close(self, status: api.AttemptStatus) -> None:
        """Close at once; the attempt on it, if any, ends with this status.

        The socket is shut down before the outcome is told, so that a further attempt, which the outcome
        may bring about, never finds this one still out.
        """
        attempt, self.attempt = self.attempt, None
        if not self.closed:
            self.closed = True
            self.servers.hold(-self.held, self)
            self.servers.forget(self)
            if self.socket is None and self.task:
                self.task.cancel()
            elif self.transport:
                with suppress(OSError):
                    if self.socket:
                        self.socket.shutdown(socket.SHUT_RDWR)
                self.transport.abort()
        if attempt:
            attempt.finish(UpstreamReply(status))


class UpstreamPool:
    """The servers of discovery's list and all connections to them, bounded over all."""

    def __init__(self, settings: api.Settings, max_connections: int, max_buffered_bytes: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect_timeout_s = settings.limits.connect_timeout_ms / 1000.0
        self.idle_limit_s = settings.limits.connection_idle_ms / 1000.0 * IDLE_SHARE
        self.readings = ReplyParser(settings.load_report_fields, settings.max_request_units)
        self.max_connections, self.max_buffered_bytes = max_connections, max_buffered_bytes
        self.held = 0  # bytes of answers that are not whole yet
        self.peer_connections = 0  # connections of the other process of this gateway
        self.hosts: dict[int, UpstreamHost] = {}
        self.detached: set[int] = set()  # also those that no list names now
        self.connections: set[UpstreamConnection] = set()
        self.descriptors_in_use = (
            0  # descriptors taken: counted from before they are opened until they are closed
        )
        self.waiting: deque[UpstreamConnection] = deque()  # for those that are closing to be closed
        self.sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def update(self, news: api.EndpointUpdate, addresses: Mapping[int, Address]) -> None:
        """Take over discovery's news; connections that it makes useless are closed."""
        listed = {entry.server for entry in news.endpoints}
        if news.kind is not api.UpdateKind.DELTA:
            for server in [number for number in self.hosts if number not in listed]:
                self._remove(server)
        for entry in news.endpoints:
            if entry.state is api.EndpointLifecycle.GONE:
                self._remove(entry.server)
                continue
            host = self.hosts.setdefault(entry.server, UpstreamHost())
            address = addresses[entry.server]
            # Guards against an old connection to a server that restarted or whose address was replaced.
            fresh = host.address == address and host.started == entry.started_ms
            host.address, host.started = address, entry.started_ms
            host.listed = entry.state is api.EndpointLifecycle.READY
            host.detached = entry.server in self.detached
            if not (fresh and host.ready):
                self._renew(host)

    def _remove(self, server: int) -> None:
        host = self.hosts.pop(server, None)
        if host:
            host.listed = False
            self._renew(host)

    def set_detached(self, server: int, detached: bool) -> None:
        """Keep all that has not begun from a server, or no longer: new attempts, those still connecting."""
        (self.detached.add if detached else self.detached.discard)(server)
        host = self.hosts.get(server)
        if host is None:
            return
        host.detached = detached
        if detached:
            self._renew(host)
            for connection in [c for c in self.connections if c.host is host and c.transport is None]:
                connection.close(api.AttemptStatus.CONNECT_FAILED)

    def _renew(self, host: UpstreamHost) -> None:
        host.epoch += 1
        for connection in list(host.idle):
            connection.close(api.AttemptStatus.RESET)

    def start(self, server: int, attempt: Attempt) -> None:
        """Send on the connection used last, or on a new one; nothing where nobody waits any more."""
        host = self.hosts.get(server)
        if host is None or not host.ready:
            attempt.finish(UpstreamReply(api.AttemptStatus.CONNECT_FAILED))
            return
        if not attempt.wanted():
            attempt.finish(UpstreamReply(api.AttemptStatus.NOT_SENT))
            return
        connection = self._rested(host)
        if connection:
            connection.send(attempt)
        else:
            self._connect(host, attempt)

    def _rested(self, host: UpstreamHost) -> UpstreamConnection | None:
        """The idle connection used last, but not just now.

        Guards against bytes right behind an answer that have not come yet: nothing tells them from the
        answer to what is written next.
        """
        before = self.loop.time() - REST_S
        for connection in reversed(list(host.idle)):
            if connection.idle_since > before:
                continue
            if connection.alive():
                host.idle.remove(connection)
                return connection
            connection.close(api.AttemptStatus.RESET)
        return None

    def _connect(self, host: UpstreamHost, attempt: Attempt) -> None:
        if len(self.connections) + self.peer_connections >= self.max_connections and not self._evict():
            attempt.finish(UpstreamReply(api.AttemptStatus.CONNECT_FAILED))
            return
        connection = UpstreamConnection(self, host, attempt)
        self.connections.add(connection)
        self.waiting.append(connection)
        self._open_waiting()

    def _open_waiting(self) -> None:
        """Open connections as far as there are places.

        Guards against running out of descriptors where many connections are closed and as many opened in
        one turn of the loop: it closes their descriptors some turns later.
        """
        while self.waiting and self.descriptors_in_use + self.peer_connections < self.max_connections:
            connection = self.waiting.popleft()
            self.descriptors_in_use += 1
            connection.task = self.loop.create_task(connection.open())
            connection.task.add_done_callback(connection.opened)

    def place_free(self) -> None:
        """The descriptor of a connection has been closed, or is as the loop goes on."""
        self.descriptors_in_use -= 1
        self._open_waiting()

    def _evict(self) -> bool:
        """Close the connection that has been idle longest, to make room under the limit on descriptors."""
        idle = [host.idle[0] for host in self.hosts.values() if host.idle]
        oldest = min(idle, key=lambda connection: connection.idle_since, default=None)
        if oldest:
            oldest.close(api.AttemptStatus.RESET)
        return oldest is not None

    def stop(self, attempt: Attempt, status: api.AttemptStatus) -> None:
        """Stop waiting: the connection is closed, then the outcome told. One not up yet never ran."""
        connection = attempt.connection
        if attempt.done and connection:
            connection.close(status if connection.transport else api.AttemptStatus.CONNECT_FAILED)

    def cancel_unsent(self, attempt: Attempt) -> None:
        """Stop an attempt that has not gone out whole, and so never ran; one that has is let be."""
        connection = attempt.connection
        if attempt.done and connection and not connection.handed:
            connection.close(api.AttemptStatus.NOT_SENT)

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        host = self.hosts.get(server)
        for connection in list(host.idle) if host else []:
            connection.close(api.AttemptStatus.RESET)

    def give_back(self, connection: UpstreamConnection) -> None:
        """An attempt has ended well: keep its connection, unless the server changed meanwhile.

        Nor where the answer came before the command had gone whole, as its rest is still to be written.
        """
        changed = connection.epoch != connection.host.epoch
        if connection.closed or changed or not connection.handed:
            connection.close(api.AttemptStatus.RESET)
            return
        connection.pause(False)
        connection.idle_since = self.loop.time()
        connection.host.idle.append(connection)

    def hold(self, size: int, connection: UpstreamConnection) -> None:
        """Count bytes held for an answer. Guards against answers that together outgrow the memory."""
        connection.held += size
        self.held += size
        if size > 0 and self.held > self.max_buffered_bytes:
            raise ProtocolError("more answers than there is memory for")

    def forget(self, connection: UpstreamConnection) -> None:
        """A connection that is closing counts no more; its place stays taken until it is closed."""
        self.connections.discard(connection)
        with suppress(ValueError):
            connection.host.idle.remove(connection)
        with suppress(ValueError):
            self.waiting.remove(connection)

    def _sweep(self) -> None:
        """Retire idle connections well before the server does, which would reset a request written then."""
        before = self.loop.time() - self.idle_limit_s
        for host in self.hosts.values():
            for connection in [c for c in host.idle if c.idle_since < before]:
                connection.close(api.AttemptStatus.RESET)
        before = self.loop.time() - STALLED_S
        for connection in [c for c in self.connections if c.stalled(before)]:
            connection.close(api.AttemptStatus.RESET)
        self._open_waiting()  # the other process may have let go of some
        self.sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def close_all_idle(self) -> None:
        """Close every idle connection: another process serves now, and the limits are over both."""
        for server in self.hosts:
            self.close_idle(server)

    def close(self) -> None:
        """Close everything, at the end."""
        self.sweeper.cancel()
        for connection in list(self.connections):
            connection.close(api.AttemptStatus.CANCELLED)
