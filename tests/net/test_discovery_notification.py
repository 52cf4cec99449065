"""News counts as told 6 s after discovery had it and could be reached: chains of states before that.

The clock of these tests is the loop's own, see virtual.py: a chain of a minute takes a moment, and bounds in
seconds hold on any machine.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from contextlib import suppress

import pytest

from quota_gateway import EndpointUpdate
from quota_gateway.net.discovery_client import DiscoveryClient
from quota_gateway.net.endpoint_registry import EndpointRegistry
from tests.support.fakes import chunk, listing, row
from tests.support.virtual_loop import VirtualLoop, run_virtual

TOLD_S = 6.0  # STANDING: a change counts as told so long after discovery had it and could be reached
MOVED_S = 4.0  # TERMS: the same after SIGHUP
DIAL_S, SLOW_DIAL_S = 0.9, 1.5  # that a connection takes to come up; STANDING has as much for servers
NEVER_S = 60.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
DOWN = (
    "refuses connections",
    "hangs up",
    "is silent",
    "sends headers alone",
    "turns away",
    "turns away late",
    "answers nothing",
    "sends half a line",
)


class Fickle:
    """A discovery whose state is scripted; ``calls`` are the times at which it was called."""

    def __init__(self, state: str = "up") -> None:
        self.state, self.generation, self.port = state, 1, 0
        self.calls: list[float] = []
        self.server: asyncio.Server | None = None
        self.open: set[asyncio.Task[None]] = set()  # watches that are served
        self.changed, self.call = asyncio.Event(), asyncio.Event()

    async def called(self) -> None:
        """Wait for the next call."""
        self.call.clear()
        await self.call.wait()

    def cut(self, how: str) -> None:
        """All watches that are open fall silent, end, or are reset."""
        for task in list(self.open):
            task.cancel(how)

    async def become(self, state: str) -> None:
        """Change the state for calls to come."""
        self.state = state
        listens = state != "refuses connections"
        if listens and self.server is None:
            self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
            self.port = self.server.sockets[0].getsockname()[1]
        elif self.server and not listens:
            self.server.close()
            self.server = None

    def news(self) -> None:
        """There is a change from now on."""
        self.generation += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop, state = asyncio.get_running_loop(), self.state
        self.calls.append(loop.time())
        self.call.set()
        with suppress(OSError, asyncio.IncompleteReadError):
            if state == "hangs up":
                writer.close()
                return
            await reader.readuntil(b"\r\n\r\n")
            if state.startswith("turns away") or state == "answers nothing":
                await asyncio.sleep(2.4 if state == "turns away late" else 0.0)
                writer.write(HEAD + b"0\r\n\r\n" if state == "answers nothing" else TURNED_AWAY)
            elif state != "is silent":
                writer.write(HEAD)
            if state == "sends half a line":
                writer.write(chunk(listing(self.generation, row("s", 1), reset=True)[:30]))
            if state == "up":
                task = loop.create_task(self._feed(writer))
                self.open.add(task)
                task.add_done_callback(self.open.discard)
            while await reader.read(1000):
                pass
        writer.close()

    async def _feed(self, writer: asyncio.StreamWriter) -> None:
        told = 0
        try:
            while not writer.is_closing():
                changed = self.changed
                if told != self.generation:
                    told = self.generation
                    writer.write(chunk(listing(told, row(f"s-{told}", 1), reset=True)))
                with suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), 2.0)
                    continue
                writer.write(chunk(b"\n"))
        except asyncio.CancelledError as how:
            if how.args == ("are reset",):
                writer.transport.abort()
            elif how.args == ("end",):
                writer.write(b"0\r\n\r\n")


class Listener:
    """Watches discovery; ``at`` is when each version was heard."""

    def __init__(self, seed: int) -> None:
        self.at: dict[int, float] = {}
        self.news = asyncio.Event()
        self.discovery = DiscoveryClient(EndpointRegistry(), self._hear, lambda: None, seed)

    def _hear(self, told: EndpointUpdate, _: object) -> None:
        self.at.setdefault(told.version, asyncio.get_running_loop().time())
        self.news.set()

    async def hears(self, version: int) -> float:
        """When it heard this version, which may still have to come."""
        async with asyncio.timeout(NEVER_S):
            while version not in self.at:
                self.news.clear()
                await self.news.wait()
        return self.at[version]


async def returned(fickle: Fickle, listener: Listener) -> float:
    """Seconds from now, when discovery is back and has news, to when that is heard."""
    await fickle.become("up")
    fickle.news()
    back = asyncio.get_running_loop().time()
    wait = await listener.hears(fickle.generation) - back
    listener.discovery.end()
    await fickle.become("refuses connections")
    return wait


async def begun(seed: int) -> tuple[VirtualLoop, Fickle, Listener]:
    """A discovery that is up, and who has heard its first list."""
    loop, fickle, listener = asyncio.get_running_loop(), Fickle(), Listener(seed)
    assert isinstance(loop, VirtualLoop)
    await fickle.become("up")
    listener.discovery.watch(("127.0.0.1", fickle.port))
    await listener.hears(1)
    return loop, fickle, listener


async def chain(seed: int) -> float:
    """That wait behind a chain of states that is drawn from the seed."""
    draw = random.Random(seed)
    loop, fickle, listener = await begun(seed)
    await asyncio.sleep(draw.uniform(0.5, 10.0))
    for _ in range(draw.randint(1, 4)):
        loop.dial_s = draw.choice((0.0, draw.uniform(0.0, DIAL_S)))
        await fickle.become(draw.choice(DOWN))
        fickle.cut(draw.choice(("fall silent", "are reset", "end")))
        await asyncio.sleep(draw.uniform(0.1, 12.0))
    return await returned(fickle, listener)


async def phase(state: str, dial_s: float, seed: int) -> float:
    """That wait where discovery returns in a bad moment of a long trouble: just after a call has begun."""
    loop, fickle, listener = await begun(seed)
    loop.dial_s = dial_s
    await fickle.become(state)
    fickle.cut("end")
    await asyncio.sleep(20.0)
    if state == "refuses connections":
        await asyncio.sleep(random.Random(seed).uniform(0.0, 2.0))
    else:
        await fickle.called()
    return await returned(fickle, listener)


def test_news_is_heard_within_six_seconds_of_the_return_behind_any_chain_of_states():
    waits = {seed: run_virtual(chain(seed)) for seed in range(100)}
    assert {seed: wait for seed, wait in waits.items() if wait >= TOLD_S} == {}


@pytest.mark.parametrize("dial_s", [0.0, DIAL_S, SLOW_DIAL_S])
@pytest.mark.parametrize("state", DOWN)
def test_news_is_heard_within_six_seconds_of_a_return_just_after_a_call_has_begun(state, dial_s):
    waits = [run_virtual(phase(state, dial_s, seed)) for seed in range(10)]
    assert max(waits) < TOLD_S


async def silence(seed: int) -> float:
    """That wait where open watches fall silent just when there is news, while discovery can be reached."""
    loop, fickle, listener = await begun(seed)
    await asyncio.sleep(random.Random(seed).uniform(0.0, 4.0))
    loop.dial_s = SLOW_DIAL_S
    fickle.cut("fall silent")
    return await returned(fickle, listener)


def test_news_is_heard_within_six_seconds_of_the_moment_in_which_the_watch_fell_silent():
    waits = [run_virtual(silence(seed)) for seed in range(20)]
    assert 4.0 < max(waits) < TOLD_S


async def moved(state: str, seed: int) -> tuple[float, float]:
    """The wait from a move on, to where discovery is up, and from the return at the next place it names."""
    loop, old, new, third = asyncio.get_running_loop(), Fickle(), Fickle(), Fickle()
    assert isinstance(loop, VirtualLoop)
    for fickle in (old, new, third):
        await fickle.become("up")
    listener = Listener(seed)
    listener.discovery.watch(("127.0.0.1", old.port))
    await listener.hears(1)
    loop.dial_s = SLOW_DIAL_S
    await old.become(state)
    old.cut("fall silent")
    await asyncio.sleep(random.Random(seed).uniform(0.0, 9.0))
    new.generation = 2
    signalled = loop.time()
    listener.discovery.watch(("127.0.0.1", new.port))
    first = await listener.hears(2) - signalled
    await third.become(state)
    third.generation = 3
    listener.discovery.watch(("127.0.0.1", third.port))
    await asyncio.sleep(random.Random(seed).uniform(0.0, 9.0))
    second = await returned(third, listener)
    for fickle in (old, new):
        await fickle.become("refuses connections")
    return first, second


@pytest.mark.parametrize("state", DOWN)
def test_news_of_an_address_moved_to_is_heard_in_time_whatever_state_the_one_before_is_in(state):
    waits = [run_virtual(moved(state, seed)) for seed in range(5)]
    assert max(first for first, _ in waits) < MOVED_S
    assert max(second for _, second in waits) < TOLD_S


async def crowd(gateways: int, state: str) -> list[float]:
    """When a fleet calls whose watches all end at once, in the last ten of twenty-five seconds."""
    fickle = Fickle()
    await fickle.become("up")
    listeners = [Listener(seed) for seed in range(gateways)]
    for listener in listeners:
        listener.discovery.watch(("127.0.0.1", fickle.port))
    for listener in listeners:
        await listener.hears(1)
    await fickle.become(state)
    fickle.cut("are reset")
    await asyncio.sleep(25.0)
    for listener in listeners:
        listener.discovery.end()
    await fickle.become("refuses connections")
    after = asyncio.get_running_loop().time() - 10.0
    return [at for at in fickle.calls if at >= after]


@pytest.mark.parametrize("state", ["turns away", "turns away late", "is silent"])
def test_two_hundred_gateways_that_are_not_heard_call_seldom_and_not_in_step(state):
    calls = run_virtual(crowd(200, state))
    assert len(calls) / 10.0 <= 200 / 2.5
    tenths = Counter(int(10.0 * at) for at in calls)
    assert max(tenths.values()) <= 200 / 6  # though all began in the same moment
