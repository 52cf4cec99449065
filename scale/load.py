"""Load in an open loop: Poisson arrivals, customers by Zipf, latency from the time a request was due."""

from __future__ import annotations

import asyncio
import random
import time
from bisect import bisect
from collections import Counter, deque
from collections.abc import Iterator
from itertools import accumulate
from typing import Any, NamedTuple, cast

import hiredis
from hdrh.histogram import HdrHistogram

LONGEST_US = 60_000_000
MOST_CONNECTIONS = 200  # to one address
SPIN_S = 0.0015  # before a request is due: the loop's timers are whole milliseconds


class Arrival(NamedTuple):
    """A request: when it is due, in seconds from the start, and the customer's number from 0."""

    due_s: float
    tenant: int


def arrivals(seed: int, rate: float, seconds: float, tenants: int, skew: float) -> Iterator[Arrival]:
    """Poisson arrivals at so many a second, of customers by Zipf; the same seed gives the same."""
    source, due_s = random.Random(f"load {seed}"), 0.0
    shares = list(accumulate((rank + 1) ** -skew for rank in range(tenants)))
    while (due_s := due_s + source.expovariate(rate)) < seconds:
        yield Arrival(due_s, min(tenants - 1, bisect(shares, source.random() * shares[-1])))


def encode(class_name: str, plan: str, deadline_ms: float, tenant: int, number: int, spread: int) -> bytes:
    """A request as a client writes it (PROTOCOL, Clients to gateways)."""
    fields = f"c={class_name},t={plan},d={deadline_ms:.0f},units=1,spread={spread},first=0"
    words = (b"CALL.GET", b"%016x" % (tenant + 1), b"%016x" % number, fields.encode())
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


class Line(Exception):  # noqa: N818
    """An error line of an answer."""


class Ask:
    """A request on its way; ``due`` on the monotonic clock."""

    __slots__ = ("again", "command", "due")

    def __init__(self, due: float, command: bytes) -> None:
        self.due, self.command, self.again = due, command, False


class Connection(asyncio.Protocol):
    """One connection of a client; one request at a time."""

    def __init__(self, pool: Pool) -> None:
        self.pool, self.parser = pool, hiredis.Reader(replyError=Line)
        self.ask: Ask | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, ask: Ask) -> None:
        """Write a request; its answer comes to the pool."""
        assert self.transport
        self.ask = ask
        self.transport.write(ask.command)

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        while (answer := self.parser.gets()) is not False:
            ask, self.ask = self.ask, None
            if ask:
                self.pool.answered(self, ask, answer)

    def connection_lost(self, exc: Exception | None) -> None:
        ask, self.ask, self.transport = self.ask, None, None
        self.pool.lost(self, ask)


class Pool:
    """A client's connections to one address: opened when all are busy."""

    def __init__(self, tally: Tally, port: int) -> None:
        self.tally, self.port = tally, port
        self.idle: list[Connection] = []
        self.waiting: deque[Ask] = deque()
        self.open = 0
        self.closed = False
        self.all: set[Connection] = set()
        self.opening: set[asyncio.Task[None]] = set()

    def submit(self, ask: Ask) -> None:
        """Send it on a connection that is free, or on a new one, or once there is one."""
        if self.idle:
            self.idle.pop().send(ask)
            return
        self.waiting.append(ask)
        if self.open < MOST_CONNECTIONS:
            self.open += 1
            task = asyncio.get_running_loop().create_task(self._open())
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    async def _open(self) -> None:
        try:
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(lambda: Connection(self), "127.0.0.1", self.port)
        except OSError:
            self.open -= 1
            if self.waiting:
                self.tally.count("lost")
                self.waiting.popleft()
            return
        self.all.add(connection)
        self._free(connection)

    def _free(self, connection: Connection) -> None:
        if self.waiting:
            connection.send(self.waiting.popleft())
        else:
            self.idle.append(connection)

    def answered(self, connection: Connection, ask: Ask, answer: Any) -> None:
        """Note the latency and use the connection again."""
        self.tally.answered(ask, answer)
        if connection.transport:
            self._free(connection)

    def lost(self, connection: Connection, ask: Ask | None) -> None:
        """One that ended between requests; what crossed that is sent once more (PROTOCOL, Clients)."""
        self.open -= 1
        self.all.discard(connection)
        if self.closed:
            return
        if connection in self.idle:
            self.idle.remove(connection)
        if ask and not ask.again:
            ask.again = True
            self.submit(ask)
        elif ask:
            self.tally.count("lost")

    def close(self) -> None:
        """Close all connections; what is out on them is over."""
        self.closed = True
        for connection in self.all:
            if connection.transport:
                connection.transport.abort()


class Tally:
    """What became of the requests of one label: latencies of those served, and a count of the others."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, LONGEST_US, 3)
        self.counts: Counter[str] = Counter()
        self.pending = 0

    def count(self, what: str) -> None:
        """One that is over and was not served."""
        self.counts[what] += 1
        self.pending -= 1

    def answered(self, ask: Ask, answer: Any) -> None:
        """One that got an answer; the latency counts from when it was due, in microseconds."""
        if isinstance(answer, Line):
            self.count("refused" if str(answer).startswith("BUSY") else "failed")
            return
        self.count("served")
        self.histogram.record_value(max(1, round((time.monotonic() - ask.due) * 1e6)))

    def report(self) -> dict[str, Any]:
        """Counts, and the latency at p50, p99 and p99.9 in milliseconds."""
        at = self.histogram.get_value_at_percentile
        latencies = {f"p{part:g}_ms": at(part) / 1000.0 for part in (50, 99, 99.9)}
        return {**latencies, "counts": dict(self.counts)}


class Load:
    """Sends the load. The role of a child; its methods are the parent's calls."""

    def __init__(self, plan: str, class_name: str, deadline_ms: float, spread: int) -> None:
        self.plan, self.class_name, self.deadline_ms, self.spread = plan, class_name, deadline_ms, spread
        self.totals: dict[str, Tally] = {}
        self.sent = 0

    async def start(self) -> None:
        """Nothing to listen on."""

    async def run(
        self,
        label: str,
        ports: list[int],
        seed: int,
        rate: float,
        seconds: float,
        tenants: int,
        skew: float,
    ) -> dict[str, Any]:
        """Send for so many seconds to one of these ports each, then wait for what is out.

        Returns the report of this phase and that of all phases with this label.
        """
        tally, total = Tally(), self.totals.setdefault(label, Tally())
        pools = [Pool(tally, port) for port in ports]
        source, start = random.Random(f"ports {seed}"), time.monotonic() + 0.1
        for arrival in arrivals(seed, rate, seconds, tenants, skew):
            due = start + arrival.due_s
            await self._until(due)
            tally.pending += 1
            source.choice(pools).submit(Ask(due, self._command(arrival.tenant)))
        over = time.monotonic() + self.deadline_ms / 1000.0 + 0.5
        while tally.pending and time.monotonic() < over:
            await asyncio.sleep(0.01)
        while tally.pending > 0:
            tally.count("silent")
        for pool in pools:
            pool.close()
        total.histogram.add(tally.histogram)
        total.counts += tally.counts
        return {"phase": tally.report(), "whole": total.report()}

    @staticmethod
    async def _until(due: float) -> None:
        wait = due - time.monotonic()
        if wait > SPIN_S:
            await asyncio.sleep(wait - SPIN_S)
        while time.monotonic() < due:
            await asyncio.sleep(0)

    def _command(self, tenant: int) -> bytes:
        self.sent += 1
        return encode(self.class_name, self.plan, self.deadline_ms, tenant, self.sent, self.spread)
