"""The discovery watch: snapshots and deltas, malformed documents, watches that end or fall silent."""

import asyncio
import json
import random
import re
from contextlib import asynccontextmanager

import pytest

from quota_gateway import EndpointLifecycle, UpdateKind
from quota_gateway.net import discovery_watch, reconnect_backoff, watch_connection
from quota_gateway.net.discovery_client import DiscoveryClient
from quota_gateway.net.endpoint_registry import EndpointRegistry
from quota_gateway.net.reconnect_backoff import ReconnectBackoff
from tests.support.fake_discovery import FakeDiscovery, encode_chunk, encode_update, make_instance
from tests.support.gateway_node import wait_until


@asynccontextmanager
async def running_client():
    """A running client, the fake discovery that it watches, and the updates it passed on."""
    fake, updates = await FakeDiscovery().start(), asyncio.Queue()
    discovery = DiscoveryClient(
        EndpointRegistry(), lambda *arguments: updates.put_nowait(arguments), lambda: None, 1
    )
    discovery.watch(("127.0.0.1", fake.port))
    try:
        yield discovery, fake, updates
    finally:
        discovery.end()
        fake.server.close()


async def test_cached_list_then_deltas_and_a_watch_resumes_from_the_last_generation():
    async with running_client() as (discovery, fake, updates):
        discovery.load_known(
            {"generation": 41, "reset": True, "instances": [make_instance("s-1", 1), make_instance("s-2", 2)]}
        )
        update, addresses = await updates.get()
        assert update.kind is UpdateKind.CACHED
        assert addresses == {1: ("127.0.0.1", 1), 2: ("127.0.0.1", 2)}
        target, watch = await fake.next_watch()
        assert target == "/discovery/hosts?watch=1"  # the known list may be old, or another agent's
        line = encode_update(
            43, make_instance("s-2", 2, "Terminating"), make_instance("s-3", 3, started_ms=9)
        )
        for part in (line[:20], line[20:], b"\n"):  # a line over two chunks, then an empty one
            watch.write(encode_chunk(part))
        update, addresses = await updates.get()
        assert update.kind is UpdateKind.DELTA
        assert update.version == 43
        assert [(e.server, e.state, e.started_ms) for e in update.endpoints] == [
            (2, EndpointLifecycle.DRAINING, 0.0),
            (3, EndpointLifecycle.READY, 9.0),
        ]
        watch.close()
        target, watch = await fake.next_watch()
        assert target == "/discovery/hosts?watch=1&from=43"
        watch.write(encode_chunk(encode_update(50, make_instance("s-1", 7), reset=True)))
        update, addresses = await updates.get()
        assert update.kind is UpdateKind.SNAPSHOT
        assert addresses == {1: ("127.0.0.1", 7)}


@pytest.mark.parametrize(
    "line",
    [
        b"{not json\n\n",
        b"[]\n",
        b"7\n",
        b'{"generation":2,"reset":false}\n',
        b"\xff\xfe\n",
        b"}\n",
        encode_update(2, {**make_instance("s-2", 2), "hostPort": None}, reset=True),
        b'{"generation":2,\n"reset":false,\n\n',
    ],
)
async def test_malformed_document_is_not_fatal_and_the_complete_list_is_requested(line):
    async with running_client() as (_, fake, updates):
        _, watch = await fake.next_watch()
        watch.write(encode_chunk(encode_update(1, make_instance("s-1", 1), reset=True)))
        await updates.get()
        watch.write(encode_chunk(line))
        target, watch = await fake.next_watch()
        assert target == "/discovery/hosts?watch=1"
        watch.write(encode_chunk(encode_update(2, make_instance("s-1", 1), reset=True)))
        update, _ = await updates.get()
        assert update.version == 2
        assert [make_endpoint.server for make_endpoint in update.endpoints] == [1]


MALFORMED_FIELDS = [
    {"hostPort": None},
    {"hostPort": "nowhere"},
    {"hostPort": "127.0.0.1:99999"},
    {"hostPort": "127.0.0.:1"},
    {"lifecycle": "Odd"},
    {"lifecycle": []},
    {"startedAtMs": "soon"},
    {"startedAtMs": 1e999},
    {"zone": None},
    {"cell": "x"},
    {"weight": "x"},
]


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("malformed", MALFORMED_FIELDS)
async def test_malformed_row_costs_that_row_alone(malformed, reset):
    async with running_client() as (discovery, fake, updates):
        _, watch = await fake.next_watch()
        watch.write(
            encode_chunk(encode_update(1, make_instance("s-1", 1), make_instance("s-2", 2), reset=True))
        )
        await updates.get()
        bad, new = {**make_instance("s-1", 1), **malformed}, {**make_instance("s-4", 4), **malformed}
        rows = bad, new, 7, make_instance("s-2", 2, "Terminating"), make_instance("s-3", 3)
        watch.write(encode_chunk(encode_update(2, *rows, reset=reset)))
        update, addresses = await updates.get()
        # the draining endpoint and the new one are notified; the one whose row is malformed stays as it was
        assert [(e.server, e.state) for e in update.endpoints] == [
            (1, EndpointLifecycle.READY),
            (2, EndpointLifecycle.DRAINING),
            (3, EndpointLifecycle.READY),
        ]
        assert addresses[1] == ("127.0.0.1", 1)
        assert set(discovery.registry.numbers) == {
            "s-1",
            "s-2",
            "s-3",
        }
        watch.write(encode_chunk(encode_update(3, make_instance("s-4", 4))))  # the watch goes on
        assert (await updates.get())[1] == {4: ("127.0.0.1", 4)}


async def test_updates_may_be_indented_over_many_lines_and_arrive_in_any_pieces():
    async with running_client() as (_, fake, updates):
        _, watch = await fake.next_watch()
        for generation, name in ((1, 's-"{'), (2, "s-]\\"), (3, "s-3")):
            plain = json.loads(encode_update(generation, make_instance(name, generation), reset=True))
            for part in re.findall(b"(?s).{1,7}", json.dumps(plain, indent=2).encode() + b"\r\n\r\n"):
                watch.write(encode_chunk(part))
            update, addresses = await updates.get()
            assert update.version == generation
            assert list(addresses.values()) == [("127.0.0.1", generation)]
        assert fake.request_targets.empty()  # all on one watch


async def test_bytes_that_never_complete_a_document_do_not_restart_the_heartbeat_timeout(monkeypatch):
    monkeypatch.setattr(watch_connection, "HEARTBEAT_TIMEOUT_S", 0.3)
    async with running_client() as (_, fake, updates):
        _, watch = await fake.next_watch()
        watch.write(encode_chunk(encode_update(5, make_instance("s-1", 1), reset=True)))
        await updates.get()
        watch.write(encode_chunk(b'{"generation":6,"reset":false,"instances":[\n'))
        while not watch.is_closing():  # it goes on and on, and nothing can come of it
            watch.write(encode_chunk(b" \t"))
            await asyncio.sleep(0.02)
        target, watch = await fake.next_watch()
        assert target == "/discovery/hosts?watch=1&from=5"
        watch.write(encode_chunk(encode_update(7, make_instance("s-1", 2))))
        assert (await updates.get())[1] == {1: ("127.0.0.1", 2)}


async def test_first_line_timeout_of_a_new_watch_is_shorter_than_the_heartbeat_timeout(monkeypatch):
    monkeypatch.setattr(watch_connection, "HEARTBEAT_TIMEOUT_S", 3600.0)
    monkeypatch.setattr(watch_connection, "FIRST_LINE_TIMEOUT_S", 0.05)
    async with running_client() as (_, fake, updates):
        for _ in range(3):
            await fake.next_watch()  # silent from the first moment: it is replaced
        _, watch = await fake.next_watch()
        watch.write(encode_chunk(encode_update(5, make_instance("s-1", 1), reset=True)))
        await updates.get()
        await asyncio.sleep(4.0 * watch_connection.FIRST_LINE_TIMEOUT_S)
        assert fake.request_targets.empty()  # it has spoken, and may be silent for longer
        watch.write(encode_chunk(encode_update(6, make_instance("s-1", 2))))
        await updates.get()


async def test_silent_or_unreachable_agent_is_watched_again_before_attempts_must_have_ended():
    backoff = ReconnectBackoff(random.Random(1))
    waits = [backoff.next_wait_s(was_rejected=False) for _ in range(20)]
    assert max(waits) <= reconnect_backoff.MAX_LOCAL_BACKOFF_S
    # a watch falls silent, and the next one is too, or does not come up: the third one is opened within
    # the 6 s after which its update counts as notified and the 2 s in which attempts must have ended
    assert (
        watch_connection.HEARTBEAT_TIMEOUT_S
        + sum(waits[:2])
        + max(discovery_watch.CONNECT_TIMEOUT_S, watch_connection.FIRST_LINE_TIMEOUT_S)
        < 6.0 + 2.0
    )


@pytest.mark.parametrize("known", [None, {}, [], {"generation": 1, "reset": True, "instances": [{}]}])
async def test_malformed_cached_list_is_not_fatal(known):
    async with running_client() as (discovery, fake, updates):
        discovery.load_known(known)
        target, _ = await fake.next_watch()
        assert target == "/discovery/hosts?watch=1"
        assert updates.empty()


async def test_watch_without_a_heartbeat_is_replaced(monkeypatch):
    monkeypatch.setattr(watch_connection, "HEARTBEAT_TIMEOUT_S", 0.05)
    async with running_client() as (_, fake, updates):
        _, watch = await fake.next_watch()
        watch.write(encode_chunk(encode_update(5, make_instance("s-1", 1), reset=True)))
        await updates.get()
        target, _ = await fake.next_watch()
        assert target == "/discovery/hosts?watch=1&from=5"


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 500 Odd\r\nContent-Length: 2\r\n\r\n{}",
        b"junk\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ],
)
async def test_response_that_is_no_watch_is_retried(answer):
    opened = asyncio.Queue()

    async def odd(reader, writer):
        opened.put_nowait(await reader.readuntil(b"\r\n\r\n"))
        writer.write(answer)

    server = await asyncio.start_server(odd, "127.0.0.1", 0)
    discovery = DiscoveryClient(EndpointRegistry(), lambda *_: None, lambda: None, 1)
    discovery.watch(server.sockets[0].getsockname())
    for _ in range(3):
        await opened.get()
    discovery.end()
    server.close()


async def test_unavailable_is_notified_for_each_rejected_watch_until_an_update_has_come():
    opened, unavailable = 0, asyncio.Queue()

    async def reject_at_first(reader, writer):
        nonlocal opened
        opened += 1
        await reader.readuntil(b"\r\n\r\n")
        if opened < 3:
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        else:
            body = encode_update(1, make_instance("s-1", 1), reset=True) + b"\n"
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    server = await asyncio.start_server(reject_at_first, "127.0.0.1", 0)
    updates: asyncio.Queue[object] = asyncio.Queue()
    discovery = DiscoveryClient(
        EndpointRegistry(),
        lambda *arguments: updates.put_nowait(arguments),
        lambda: unavailable.put_nowait(opened),
        1,
    )
    discovery.watch(server.sockets[0].getsockname())
    assert [await unavailable.get(), await unavailable.get()] == [1, 2]
    assert updates.empty()
    await updates.get()
    await wait_until(lambda: opened >= 4)  # watches are opened on after that one has ended
    assert unavailable.empty()
    discovery.end()
    server.close()


async def test_backoff_of_rejected_watches_grows_and_differs_between_gateways():
    backoffs = [ReconnectBackoff(random.Random(seed)) for seed in range(40)]
    waits = [[backoff.next_wait_s(was_rejected=True) for _ in range(12)] for backoff in backoffs]
    assert all(
        0.5 * reconnect_backoff.FIRST_BACKOFF_S <= first[0] <= reconnect_backoff.FIRST_BACKOFF_S
        for first in waits
    )
    # once each has been turned away often, forty gateways ask ten to twenty times a second at most
    assert 10.0 <= sum(1.0 / last[-1] for last in waits) <= 20.0
    assert max(last[-1] for last in waits) <= 4.0  # and each well within the ten seconds it has
    assert len({round(sum(row), 2) for row in waits}) > 30


def test_endpoint_that_is_gone_loses_its_number_and_no_number_is_reused():
    registry = EndpointRegistry()
    registry.read(
        {"generation": 1, "reset": True, "instances": [make_instance("s-1", 1), make_instance("s-2", 2)]}
    )
    update = registry.read(
        {"generation": 2, "reset": False, "instances": [make_instance("s-1", 1, "Gone")]}
    ).update
    assert update.endpoints[0].state is EndpointLifecycle.GONE
    assert set(registry.numbers) == {"s-2"}
    (second,) = registry.numbers.values()
    registry.read({"generation": 3, "reset": False, "instances": [make_instance("s-2", 2, "Gone")]})
    registry.read({"generation": 3, "reset": False, "instances": [make_instance("s-4", 4)]})
    assert registry.numbers["s-4"] > second  # attempts on s-2 may still be out under its number
    registry.read({"generation": 3, "reset": True, "instances": [make_instance("s-3", 3)]})
    assert set(registry.numbers) == {"s-3"}


async def test_address_change_keeps_the_old_watch_until_the_new_one_has_sent_the_complete_list():
    async with running_client() as (discovery, fake, updates):
        _, old = await fake.next_watch()
        old.write(
            encode_chunk(encode_update(41, make_instance("s-1", 1), make_instance("s-2", 2), reset=True))
        )
        await updates.get()
        for generation in (7, 3):  # more than once; versions of another agent tell nothing here
            other = await FakeDiscovery().start()
            discovery.watch(("127.0.0.1", other.port))
            target, watch = await other.next_watch()
            assert target == "/discovery/hosts?watch=1"
            old.write(encode_chunk(encode_update(42, make_instance("s-2", 2, "Terminating"))))
            update, _ = await updates.get()
            assert update.kind is UpdateKind.DELTA
            watch.write(
                encode_chunk(
                    encode_update(generation, make_instance("s-2", 2), make_instance("s-3", 3), reset=True)
                )
            )
            update, addresses = await updates.get()
            assert update.kind is UpdateKind.SNAPSHOT
            assert sorted(addresses) == [
                2,
                3,
            ]
            assert discovery.active.address == ("127.0.0.1", other.port)
            assert discovery.candidate is None
            await fake.closed_watches.get()  # the old one has been closed
            fake, old = other, watch


async def test_address_change_to_a_silent_agent_keeps_the_old_watch_through_a_further_change():
    async with running_client() as (discovery, fake, updates):
        _, old = await fake.next_watch()
        old.write(encode_chunk(encode_update(1, make_instance("s-1", 1), reset=True)))
        await updates.get()
        silent, good = await FakeDiscovery().start(), await FakeDiscovery().start()
        discovery.watch(("127.0.0.1", silent.port))
        await silent.next_watch()
        discovery.watch(("127.0.0.1", good.port))
        await silent.closed_watches.get()
        old.write(encode_chunk(encode_update(2, make_instance("s-1", 5))))
        assert (await updates.get())[1] == {1: ("127.0.0.1", 5)}
        _, watch = await good.next_watch()
        watch.write(encode_chunk(encode_update(9, make_instance("s-1", 6), reset=True)))
        assert (await updates.get())[1] == {1: ("127.0.0.1", 6)}
