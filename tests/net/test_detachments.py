"""Servers that operators take out: the decisions, the sockets, the calls."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from quota_gateway import AttachServer, AttemptStatus, DetachServer, EndpointLifecycle, UpdateKind
from quota_gateway.net import admin as module
from quota_gateway.net.admin import AdminServer
from quota_gateway.net.discovery_client import EndpointRegistry
from quota_gateway.net.upstream_pool import Attempt, UpstreamReply
from tests.support.engine_harness import entry, rig_with
from tests.support.fakes import FakeServer, array, call, node, row, run, until

ALL = [
    lambda rig: rig.servers(entry(1), entry(2)),
    lambda rig: rig.servers(entry(1, started_ms=rig.now), kind=UpdateKind.DELTA),
    lambda rig: (rig.servers(entry(2)), rig.servers(entry(1), entry(2))),
    lambda rig: (
        rig.servers(entry(1, state=EndpointLifecycle.GONE), kind=UpdateKind.DELTA),
        rig.servers(entry(1), kind=UpdateKind.DELTA),
    ),
]


def asked(rig, count: int = 60) -> list[int]:
    """The servers that so many requests went to, one after the other."""
    names = [rig.ask(patience=100.0) for _ in range(count) if not rig.run(1.0)]
    to = [rig.sent[name][0] for name in names if name in rig.sent]
    for name in names:
        if name in rig.sent:
            rig.finish(name)
    return to


@pytest.mark.parametrize("listed", ALL)
def test_server_that_is_out_gets_nothing_whatever_discovery_says(rig, listed):
    rig.do(DetachServer(1))
    listed(rig)
    rig.do(DetachServer(1))  # the call may come twice
    assert set(asked(rig)) == {2}
    rig.do(AttachServer(1))
    rig.run(20_000.0)
    assert set(asked(rig)) == {1, 2}


@pytest.mark.parametrize("listed", [ALL[0], ALL[2], lambda rig: None])
def test_server_that_is_let_in_again_is_cold_even_if_no_list_told_of_its_start(rig, listed):
    rig.do(DetachServer(1))
    rig.run(1000.0)
    rig.do(AttachServer(1))
    listed(rig)
    assert 0 < asked(rig, 400).count(1) < 200 * 0.45  # an even share would be 200
    warmth = rig.gateway.slow_start.capacity_share(rig.gateway.endpoints.by_id[1])
    assert 0.2 <= warmth < 0.3
    rig.servers(entry(1, started_ms=rig.now - 900.0), kind=UpdateKind.DELTA)  # the list tells of it after all
    assert rig.gateway.slow_start.capacity_share(rig.gateway.endpoints.by_id[1]) > warmth


def test_server_that_was_not_out_is_let_in_without_effect(rig):
    rig.do(AttachServer(1))
    assert rig.gateway.slow_start.capacity_share(rig.gateway.endpoints.by_id[1]) == 1.0


def test_what_waits_goes_to_a_server_as_it_is_let_in():
    rig = rig_with()
    rig.servers(entry(1))
    rig.do(DetachServer(1))
    names = [rig.ask() for _ in range(30)]
    assert not rig.sent
    rig.do(AttachServer(1))
    rig.run(2000.0)
    assert set(rig.sent) <= set(names) and rig.sent


def test_number_of_a_server_that_is_out_outlives_its_absence_from_the_lists():
    registry = EndpointRegistry()
    document = {"generation": 1, "reset": True, "instances": [row("s-1", 1)]}
    registry.read(document)
    number = registry.find("s-1")
    registry.detached.add("s-1")
    for name in range(2000):
        registry.read({"generation": 2, "reset": True, "instances": [row(f"x-{name}", 1)]})
    assert registry.find("s-1") == number and registry.find("x-1") is None
    registry.read(document)
    assert registry.find("s-1") == number


def test_before_a_server_is_out_its_idle_and_connecting_connections_are_closed():
    async def test():
        first, second = FakeServer(), FakeServer()
        async with node(first, second) as gateway:
            peer = await gateway.peer()
            for number in range(1, 100):
                await peer.ask(call(number))
                if gateway.upstream_pool.hosts[1].idle:
                    break
            replies = []
            gateway.upstream_pool.start(1, Attempt(b"*1\r\n$4\r\nPING\r\n", replies.append))
            gateway.upstream_pool.start(1, Attempt(b"*1\r\n$4\r\nPING\r\n", replies.append))
            got = len(first.commands)
            gateway.driver.post(DetachServer(1))
            assert not gateway.upstream_pool.hosts[1].idle
            assert UpstreamReply(AttemptStatus.CONNECT_FAILED) in replies
            await first.until(lambda: first.ended == len(first.writers))
            for number in range(200, 230):
                assert await peer.ask(call(number)) is not None
            assert len(first.commands) <= got + 1  # one of the two may have been on an idle connection

    run(test())


def test_attempt_that_is_out_may_end_at_a_server_that_is_out():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1))
            await server.until(lambda: server.commands)
            gateway.driver.post(DetachServer(1))
            server.writers[0].write(array(b"v"))
            assert await peer.reply() == b"v"
            await server.until(lambda: server.ended)  # and its connection is not used again

    run(test())


@asynccontextmanager
async def managed(ready=lambda: True):
    """The listener for calls, and what it was told."""
    told = []

    async def moved(name, out):
        told.append((name, out))
        return name.startswith("s-")

    management = AdminServer(ready, moved)
    await management.listen(("127.0.0.1", 0))
    port = management.server.sockets[0].getsockname()[1]
    try:
        yield port, told, management
    finally:
        management.close()


async def http(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    answer = await reader.read()
    writer.close()
    return answer


def post(place: str, body: bytes) -> bytes:
    return b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (place.encode(), len(body), body)


def test_calls_and_their_answers():
    async def test():
        ready = [True]
        async with managed(lambda: ready[0]) as (port, told, _):
            get = b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n"
            assert (await http(port, get)).startswith(b"HTTP/1.1 200 ")
            ready[0] = False
            assert (await http(port, get)).startswith(b"HTTP/1.1 503 ")
            assert (await http(port, post("/_servers/detach", b"s-1\n"))).startswith(b"HTTP/1.1 200 ")
            assert (await http(port, post("/_servers/attach", b"s-1"))).startswith(b"HTTP/1.1 200 ")
            assert told == [("s-1", True), ("s-1", False)]

    run(test())


@pytest.mark.parametrize(
    "data, status",
    [
        (post("/_servers/detach", b"other"), 404),
        (post("/_servers/attach", b"other"), 404),
        (post("/_servers/drain", b"s-1"), 404),
        (post("/_ready", b""), 405),
        (post("/_servers/detach", b""), 400),
        (b"GET /_servers/detach HTTP/1.1\r\n\r\n", 405),
        (b"GET / HTTP/1.1\r\n\r\n", 404),
        (post("/_servers/detach", b"\xff\xfe"), 400),
        (post("/_servers/detach", b"s" * 300), 400),
        (post("/_servers/detach", b"s" * 10_000), 413),
        (b"\x00\x01\r\n\r\n", 400),
        (b"PING\r\n\r\n", 400),
        (b"GET /_ready HTTP/1.1\r\nX: " + b"x" * 10_000, 413),
    ],
)
def test_call_that_is_malformed_too_long_or_unknown_is_a_no(data, status):
    async def test():
        async with managed() as (port, told, _):
            assert (await http(port, data)).startswith(b"HTTP/1.1 %d " % status)
            assert all(name == "other" for name, _ in told)

    run(test())


def test_callers_who_finish_no_call_keep_nobody_out_and_are_closed(monkeypatch):
    async def test():
        async with managed() as (port, _, management):
            many = range(3 * module.MOST_CALLERS)
            stalled = [await asyncio.open_connection("127.0.0.1", port) for _ in many]
            assert (await http(port, b"GET /_ready HTTP/1.1\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            assert len(management.callers) <= module.MOST_CALLERS
            await until(lambda: not management.callers)
            for _, writer in stalled:
                writer.close()

    monkeypatch.setattr(module, "CALL_S", 1.0)
    run(test())
