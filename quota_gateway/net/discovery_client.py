"""The watch on discovery: kept open, moved on request; its lines become lists for the decisions."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import re
from collections.abc import Callable
from typing import Any, cast

import httptools

from quota_gateway import model as api
from quota_gateway.net.address import Address
from quota_gateway.net.endpoint_registry import EndpointRegistry, StreamingSnapshotReader

log = logging.getLogger(__name__)

CONNECT_S = 1.6  # for a connection to come up: some do after a second and a half
AGAIN_S = 4.2  # from the begin of a call without news to that of the next, at most: what discovery has, once
# it is back, counts as told 6 s later, and the next call may be as long in coming up
SILENT_S = 4.2  # an empty line comes every 2 s: two are missing; for the same reason no longer
LATE_S = 0.1  # of that, to read what came while this process was busy
FIRST_S = 2.5  # for the first line of a watch, which comes at once or when it is its turn: where a second
# watch in a row is silent, a third one is opened before sends to what drains must have ended
BACKOFF_S = (0.05, 4.0)  # before another watch, first and at most
AGENT_S = 1.0  # the most where none was turned away: the agent is on this machine, asking it costs nobody,
# and what it gets when discovery is back counts as told at once
JITTER = 0.5  # share of that which is drawn at random
LONG = 64 * 1024  # bytes of a document from which on it is read in pieces
PIECE = 16 * 1024  # bytes of it that are read before the others have their turn, a hundred rows
BEAT = object()  # an empty line: nothing has changed
STRING, OPENING, CLOSING = re.compile(rb'"(?:[^"\\]|\\.)*"'), re.compile(rb"[{\[]"), re.compile(rb"[}\]]")
EndpointUpdateHandler = Callable[[api.EndpointUpdate, dict[int, Address]], None]


class JsonLineReader:
    """Finds the JSON documents in what a watch brings: one a line, or indented over many.

    Guards against taking each line of an indented list for a list of its own. A string holds no line end,
    so that brackets can be counted line by line; ValueError where no document can come of it any more.
    """

    def __init__(self) -> None:
        self.lines: list[bytes] = []  # of a document that is not whole yet
        self.depth = self.size = 0  # brackets still open in it, and its bytes

    def take(self, line: bytes) -> Any:
        """One line; the document that it completes, BEAT for an empty one between two, or None."""
        if not line.strip():
            if self.lines:
                raise ValueError("a document that breaks off")
            return BEAT
        if not self.lines:
            try:
                return json.loads(line)
            except ValueError:
                pass  # perhaps the first line of many
        bare = STRING.sub(b"", line)
        self.depth += len(OPENING.findall(bare)) - len(CLOSING.findall(bare))
        self.lines.append(line)
        self.size += len(line)
        return None if self.depth > 0 else json.loads(self.give_up())

    def give_up(self) -> bytes:
        """All of the document so far, which is read elsewhere."""
        whole, self.lines, self.depth, self.size = b"\n".join(self.lines), [], 0, 0
        return whole


class WatchConnection(asyncio.Protocol):
    """One HTTP exchange: a chunked answer with a JSON object a line, which may be indented."""

    def __init__(self, feed: DiscoveryWatcher, target: str) -> None:
        self.feed, self.target = feed, target
        self.parser = httptools.HttpResponseParser(self)
        self.line, self.documents = bytearray(), JsonLineReader()
        self.long: StreamingSnapshotReader | None = (
            None  # while a document too long to be read at once is read
        )
        self.backlog = bytearray()  # what has come meanwhile
        self.complete = self.lost = False  # nothing comes behind that, and the connection is gone
        self.digesting: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport | None = None
        self.silent: asyncio.TimerHandle | None = None
        self.ended = False
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        if self.ended:
            self.transport.abort()
            return
        host, port = self.feed.address
        self.transport.write(
            f"GET {self.target} HTTP/1.1\r\nHost: {host}:{port}\r\nAccept: application/json\r\n\r\n".encode()
        )
        self._heard(FIRST_S)

    def _heard(self, for_s: float) -> None:
        """Guards against a watch that has died without a word: no sign of life for so long ends it.

        A whole list or an empty line is one; bytes alone are not, as none may ever come of them.
        """
        if self.silent:
            self.silent.cancel()
        self.silent = asyncio.get_running_loop().call_later(for_s - LATE_S, self._perhaps_silent)

    def _perhaps_silent(self) -> None:
        """Guards against timers that fall due before what has come meanwhile is read, in a busy process."""
        self.silent = asyncio.get_running_loop().call_later(LATE_S, self.close, "silent")

    def close(self, why: str) -> None:
        """End the exchange; what still comes on it counts no more."""
        if self.ended:
            return
        self.ended = True
        if self.silent:
            self.silent.cancel()
        log.warning("the watch on discovery at %s:%d ended: %s", *self.feed.address, why)
        if self.transport:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.close(f"not HTTP: {error}")

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if status != 200:
            self.feed.turned_away = True
            self.close(f"status {status}")

    def on_body(self, body: bytes) -> None:
        if self.parser.get_status_code() != 200 or self.ended:
            return
        if self.long:
            self.backlog += body
            self._digest_on()
        else:
            self._read(body)

    def _read(self, body: bytes) -> None:
        *lines, rest = (bytes(self.line) + body).split(b"\n")
        self.line = bytearray(rest)
        for number, line in enumerate(lines):
            try:
                document = self.documents.take(line)
            except ValueError as error:
                self.feed.malformed(error, self)
                return
            if document is not None:
                self._heard(SILENT_S)
            if document is not None and document is not BEAT and not self.feed.take(document, self):
                return
            if self.documents.size > LONG:
                self._read_in_pieces(b"\n".join([self.documents.give_up(), *lines[number + 1 :], rest]))
                return
        if len(self.line) + self.documents.size > LONG:
            whole = self.documents.give_up()
            self._read_in_pieces(b"\n".join([whole, rest]) if whole else rest)

    def _read_in_pieces(self, begun: bytes) -> None:
        """A long document has begun: guards against one long stall while all of it is read."""
        self.line.clear()
        self.backlog, self.long = bytearray(begun), StreamingSnapshotReader(self.feed.discovery.registry)
        self._digest_on()

    def _digest_on(self) -> None:
        """Read what has come, and nothing beyond meanwhile: bytes may come faster than they are read."""
        if self.digesting is None:
            if self.transport:
                self.transport.pause_reading()
            self.digesting = asyncio.get_running_loop().create_task(self._digest())

    async def _digest(self) -> None:
        try:
            while self.long and self.backlog and not self.ended:
                await self._digest_some(self.long)
        except ValueError as error:
            self.feed.malformed(error, self)
        self.digesting = None
        if self.complete:
            self.close("the answer is complete")
        if self.lost:
            self.connection_lost(None)
        elif not self.ended and self.transport:
            self.transport.resume_reading()

    async def _digest_some(self, long: StreamingSnapshotReader) -> None:
        """One piece; behind the last one, what the document tells is passed on, some at a time."""
        piece, rows = bytes(self.backlog[:PIECE]), long.rows
        del self.backlog[:PIECE]
        behind = long.take(piece)
        if long.rows > rows:
            self._heard(SILENT_S)
        await asyncio.sleep(0)
        if behind is None:
            return
        for listing, addresses in long.news():
            if self.ended:
                return
            self.feed.pass_on(listing, addresses)
            self._heard(SILENT_S)
            await asyncio.sleep(0)
        self.long, rest = None, behind + bytes(self.backlog)
        self.backlog.clear()
        if self.feed.has_read(long.generation, long.is_whole_list, self):
            self._read(rest)

    def on_message_complete(self) -> None:
        self.complete = True
        if self.digesting is None:
            self.close("the answer is complete")

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        if self.digesting:
            return  # what has come is read first, and this is called again
        if self.silent:
            self.silent.cancel()
        if not self.done.done():
            self.done.set_result(None)


class DiscoveryWatcher:
    """Keeps a watch open at one address, each from where the last one there ended."""

    def __init__(self, discovery: DiscoveryClient, address: Address) -> None:
        self.discovery, self.address = discovery, address
        self.backoff_s = BACKOFF_S[0]
        self.generation: int | None = None  # nothing: the whole list is asked for
        self.ended = self.spoken = self.turned_away = False
        self.watch: WatchConnection | None = None
        self.task = asyncio.get_running_loop().create_task(self._run())

    def take(self, document: Any, watch: WatchConnection) -> bool:
        """One list of the watch; whether the watch goes on. Of a malformed one see below."""
        if self.ended or watch is not self.watch:
            return False
        try:
            listing, addresses = self.discovery.registry.read(document)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self.malformed(error, watch)
            return False
        self.pass_on(listing, addresses)
        return self.has_read(listing.version, listing.kind is api.UpdateKind.SNAPSHOT, watch)

    def pass_on(self, listing: api.EndpointUpdate, addresses: dict[int, Address]) -> None:
        """What a document tells, or a part of that."""
        self.discovery.spoke(self, listing, addresses)

    def has_read(self, generation: int, is_whole_list: bool, watch: WatchConnection) -> bool:
        """A document has been read to its end; whether the watch goes on.

        Where too many of the nearest have gone, the whole list is asked for: it alone tells who follows them.
        """
        self.backoff_s = BACKOFF_S[0]
        self.generation, self.spoken = generation, True
        if is_whole_list or not self.discovery.registry.used_up():
            return True
        self.generation = None
        watch.close("the nearest servers are used up")
        return False

    def malformed(self, error: Exception, watch: WatchConnection) -> None:
        """What can't be read is logged, what is known stays, and the whole list is asked for."""
        log.error("malformed line from discovery: %r", error)
        self.generation = None
        watch.close("malformed line")

    def end(self) -> None:
        """Watch no more."""
        self.ended = True
        self.task.cancel()
        if self.watch:
            self.watch.close("it is asked no more")

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self.turned_away, begun = False, loop.time()
            try:
                async with asyncio.timeout(CONNECT_S):
                    _, watch = await loop.create_connection(self._new_watch, *self.address)
                await watch.done
            except (OSError, TimeoutError) as error:
                log.warning("discovery can't be reached: %r", error)
                if self.watch:  # the call before, or one that came up just as its time was over
                    self.watch.close("another is opened")
            if not self.spoken:
                self.discovery.on_unavailable()
            await asyncio.sleep(self._wait(loop.time() - begun))

    def _wait(self, spent_s: float = 0.0) -> float:
        """Seconds before another watch: longer each time, and drawn, until a line has been read.

        Guards against a discovery that has more calls than it can answer: gateways that ask again in step,
        and as fast as it turns them away, keep it that way, and none learns anything. What the call before
        has taken counts: guards against a wait that comes on top of one that was long in coming up, or was
        turned away late, by which time all that changed has counted as told.
        """
        most = min(BACKOFF_S[1] if self.turned_away else AGENT_S, max(BACKOFF_S[0], AGAIN_S - spent_s))
        wait = min(most, self.backoff_s) * (1.0 - JITTER * self.discovery.random.random())
        self.backoff_s = min(BACKOFF_S[1], self.backoff_s * 2.0)
        return wait

    def _new_watch(self) -> WatchConnection:
        from_then = "" if self.generation is None else f"&from={self.generation}"
        self.watch = WatchConnection(self, f"/discovery/hosts?watch=1{from_then}")
        return self.watch


class DiscoveryClient:
    """What discovery says, from the address that was named last and has spoken."""

    def __init__(
        self,
        registry: EndpointRegistry,
        on_update: EndpointUpdateHandler,
        on_unavailable: Callable[[], None],
        seed: int,
    ) -> None:
        self.registry = registry
        self.on_update = on_update
        self.on_unavailable = on_unavailable  # a watch ended before it had said anything
        self.random = random.Random(seed)
        self.feed: DiscoveryWatcher | None = None
        self.next: DiscoveryWatcher | None = None  # named last, has not spoken yet

    def load_known(self, document: Any) -> None:
        """The list as the configuration has it; it may be old."""
        try:
            self.on_update(*self.registry.read(document, known=True))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            log.error("malformed known list: %r", error)

    def watch(self, address: Address) -> None:
        """Watch at this address from now on.

        Guards against a gap while discovery moves: the feed before serves until this one has spoken, and
        this one asks for the whole list, as versions of another agent may tell nothing here.
        """
        if self.next:
            self.next.end()
        self.next = DiscoveryWatcher(self, address)

    def spoke(
        self, feed: DiscoveryWatcher, listing: api.EndpointUpdate, addresses: dict[int, Address]
    ) -> None:
        """News from a feed; the first of a new one ends the one before."""
        if feed is self.next:
            if self.feed:
                self.feed.end()
            self.feed, self.next = feed, None
        self.on_update(listing, addresses)

    def end(self) -> None:
        """Watch no more."""
        for feed in (self.feed, self.next):
            if feed:
                feed.end()
