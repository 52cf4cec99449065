"""A stand-in for discovery, written from PROTOCOL: whole lists, watches, versions, faults."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import httptools
import msgspec

from scale import fleet
from scale.config import Churn, Config, Fault
from scale.fleet import Catalogue, Event, Row

BEAT_S = 2.0  # PROTOCOL: as long as nothing changes, an empty line comes every 2 s
DRAIN_S = 1.0  # that a server which restarts is listed as Terminating
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
NO_PAGE = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
BACKLOG = 4_096


class Exchange(asyncio.Protocol):
    """One connection of a gateway: a call for the whole list, or a watch that stays open."""

    def __init__(self, standin: StandIn) -> None:
        self.standin, self.parser = standin, httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.url = ""
        self.waiting = self.watching = self.full = False  # asked while silent; a watch; takes no more for now
        self.version: int | None = None  # that the gateway has been sent
        self.written_s = 0.0
        self.beat: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.standin.exchanges.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.standin.exchanges.discard(self)
        self.standin.counts["ended"] += self.watching
        self.watching = False
        if self.beat:
            self.beat.cancel()

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False
        self.tell()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.end()

    def on_url(self, url: bytes) -> None:
        self.url += url.decode("latin-1")

    def on_message_complete(self) -> None:
        self.standin.counts["calls"] += 1
        self.waiting = True
        self.answer()

    def answer(self) -> None:
        """Answer what was asked, unless discovery is silent: then once it speaks again."""
        if not self.transport or self.standin.silent:
            return
        self.waiting = False
        parts = urlsplit(self.url)
        self.url, asked = "", parse_qs(parts.query)
        if self.standin.refusing:
            self.standin.counts["refused"] += 1
            self.transport.write(REFUSAL)
            self.transport.close()
        elif parts.path != "/discovery/hosts":
            self.transport.write(NO_PAGE)
        elif asked.get("watch") == ["1"]:
            since = asked.get("from", [""])[0]
            self.version = int(since) if since.isdecimal() else None
            self.watching = True
            self.standin.counts["watches"] += 1
            self.transport.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            self._send(self.standin.chunk(self.version), "first")
            self._beat()
        else:
            whole = self.standin.catalogue.whole()
            self.standin.counts["whole_bytes"] += len(whole)
            self.transport.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(whole) + whole)

    def tell(self) -> None:
        """Bring a watch up to date; one that takes no more is told when it does."""
        behind = self.watching and self.version != self.standin.catalogue.version
        if behind and not self.full and not self.standin.silent:
            self._send(self.standin.chunk(self.version), "change")

    def _send(self, chunk: bytes, kind: str) -> None:
        assert self.transport
        self.standin.counts[f"{kind}_bytes"] += len(chunk)
        self.standin.counts[f"{kind}_lines"] += 1
        self.version, self.written_s = self.standin.catalogue.version, time.monotonic()
        self.transport.write(chunk)

    def _beat(self) -> None:
        loop, now = asyncio.get_running_loop(), time.monotonic()
        quiet = now - self.written_s >= BEAT_S - 0.01 and not self.standin.silent
        if quiet and not self.full and self.transport:
            self.written_s = now
            self.standin.counts["beat_bytes"] += 6
            self.transport.write(b"1\r\n\n\r\n")
        self.beat = loop.call_later(max(0.1, self.written_s + BEAT_S - now), self._beat)

    def end(self) -> None:
        """Close it without a word."""
        if self.transport:
            self.transport.abort()


class StandIn:
    """Discovery as the gateways meet it. The role of a child; its methods are the parent's calls."""

    def __init__(self, seed: int, servers: int, ports: list[int], zone_count: int) -> None:
        self.seed, self.ports, self.zone_count = seed, ports, zone_count
        self.catalogue = Catalogue(fleet.rows(seed, servers, self.ports, zone_count))
        self.exchanges: set[Exchange] = set()
        self.silent = self.refusing = False
        self.counts: Counter[str] = Counter()
        self.published: dict[int, float] = {}  # when each version could first be read, on the monotonic clock
        self.replaced = 0  # servers that came in the place of others
        self._chunks: tuple[int, dict[int | None, bytes]] = (-1, {})
        self._plays: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Listen on loopback; the port."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Exchange(self), "127.0.0.1", 0, backlog=BACKLOG)
        return int(self.server.sockets[0].getsockname()[1])

    def chunk(self, version: int | None) -> bytes:
        """What a gateway that has this version is sent, as a chunk; made once for all that have it.

        Guards against a list of its own in memory for each of thousands of watches.
        """
        if self._chunks[0] != self.catalogue.version:
            self._chunks = self.catalogue.version, {}
        chunks = self._chunks[1]
        if version not in chunks:
            line = self.catalogue.after(version)
            chunks[version] = b"%x\r\n%b\r\n" % (len(line), line)
        return chunks[version]

    def publish(self, changed: list[Row]) -> int:
        """A new version with these rows; told to all watches at once."""
        version = self.catalogue.change(changed)
        self.published[version] = time.monotonic()
        self._tell()
        return version

    def _tell(self) -> None:
        for exchange in tuple(self.exchanges):
            exchange.tell()

    # ---- calls of the parent

    async def resize(self, servers: int) -> dict[str, Any]:
        """Another list, of so many servers; all watches end and are given it whole when they come back."""
        self.catalogue.replace(fleet.rows(self.seed, servers, self.ports, self.zone_count))
        self.published[self.catalogue.version] = time.monotonic()
        self.drop()
        return {"bytes": len(self.catalogue.whole()), "version": self.catalogue.version}

    async def change(self, rows: int = 1, versions: int = 1, gap_s: float = 0.02) -> dict[str, Any]:
        """So many versions one after the other, in each of which so many rows get another weight."""
        names = list(self.catalogue.rows)
        before, first = self.counts.copy(), self.catalogue.version + 1
        for turn in range(versions):
            chosen = [names[(turn * rows + index) % len(names)] for index in range(rows)]
            self.publish([self._weighed(name, turn) for name in chosen])
            await asyncio.sleep(gap_s)
        return {"first": first, "last": self.catalogue.version, "counts": dict(self.counts - before)}

    def _weighed(self, name: str, turn: float) -> Row:
        return msgspec.structs.replace(self.catalogue.rows[name], weight=1.0 + 0.01 * (1 + int(turn) % 9))

    async def fault(self, kind: str, for_s: float = 0.0, zone: str = "") -> dict[str, Any]:
        """What befalls discovery, from now until it is over; the versions before and after."""
        before = self.catalogue.version
        await self._fault(msgspec.convert({"at_s": 0.0, "kind": kind, "for_s": for_s, "zone": zone}, Fault))
        return {"before": before, "last": self.catalogue.version}

    async def play(self, config: dict[str, Any], seconds: float) -> dict[str, Any]:
        """Begin a day's churn and the faults of this configuration; the events' number by kind."""
        whole = msgspec.convert(config, Config)
        events = fleet.churn(whole.seed, whole.churn, seconds)
        self._begin(self._churn(events, whole.churn))
        for fault in whole.faults:
            self._begin(self._fault(fault))
        return dict(Counter(event.kind for event in events))

    async def stats(self) -> dict[str, Any]:
        """Bytes and lines by kind, calls, watches open, and when each version was published (seconds)."""
        return {
            "counts": dict(self.counts),
            "published": list(self.published.items()),
            "version": self.catalogue.version,
            "servers": len(self.catalogue.rows),
            "watching": sum(exchange.watching for exchange in self.exchanges),
        }

    # ---- churn and faults

    def _begin(self, play: Any) -> None:
        task = asyncio.get_running_loop().create_task(play)
        self._plays.add(task)
        task.add_done_callback(self._plays.discard)

    async def _churn(self, events: list[Event], how: Churn) -> None:
        start = time.monotonic()
        for event in events:
            await asyncio.sleep(max(0.0, start + event.at_s - time.monotonic()))
            ready = [row for row in self.catalogue.rows.values() if row.lifecycle == "Ready"]
            if not ready:
                continue
            row = ready[int(event.draw * len(ready))]
            if event.kind == "change":
                self.publish([self._weighed(row.instance_id, event.draw * 9)])
            else:
                self._begin(self._restart(row, event.kind == "failure", how.down_s))

    async def _restart(self, row: Row, failed: bool, down_s: float) -> None:
        """One that restarts drains first and keeps its name; one that fails is gone, and another comes."""
        if not failed:
            self.publish([msgspec.structs.replace(row, lifecycle="Terminating")])
            await asyncio.sleep(DRAIN_S)
        self.publish([msgspec.structs.replace(row, lifecycle="Gone")])
        await asyncio.sleep(down_s)
        self.replaced += failed
        name = f"s-new-{self.replaced:06x}" if failed else row.instance_id
        self.publish([self._started(msgspec.structs.replace(row, instance_id=name))])

    def _started(self, row: Row) -> Row:
        return msgspec.structs.replace(row, lifecycle="Ready", started_at_ms=int(time.time() * 1000))

    async def _fault(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        if fault.kind == "drop_watches":
            self.drop()
        elif fault.kind == "lose_zone":
            lost = [row for row in self.catalogue.rows.values() if row.zone == fault.zone]
            self.publish([msgspec.structs.replace(row, lifecycle="Gone") for row in lost])
            await asyncio.sleep(fault.for_s)
            self.publish([self._started(row) for row in lost])
        elif fault.kind == "silent":
            self.silent = True
            await asyncio.sleep(fault.for_s)
            self.silent = False
            for exchange in tuple(self.exchanges):
                if exchange.waiting:
                    exchange.answer()
            self._tell()
        else:
            self.refusing = True
            self.drop()
            await asyncio.sleep(fault.for_s)
            self.refusing = False

    def drop(self) -> None:
        """End all watches at once."""
        for exchange in tuple(self.exchanges):
            if exchange.watching:
                exchange.end()
