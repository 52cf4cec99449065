"""The discovery client: snapshots and deltas, malformed documents, watches that end or fall silent."""

import asyncio
import json
import random
import re
from contextlib import asynccontextmanager

import pytest

from quota_gateway import EndpointLifecycle, UpdateKind
from quota_gateway.net.discovery import reconnect_backoff, watch_connection
from quota_gateway.net.discovery import watch as discovery_watch
from quota_gateway.net.discovery.client import DiscoveryClient
from quota_gateway.net.discovery.endpoint_registry import EndpointRegistry
from quota_gateway.net.discovery.reconnect_backoff import ReconnectBackoff
from tests.support.fake_discovery import FakeDiscovery, encode_chunk, encode_update, make_instance
from tests.support.gateway_node import wait_until


def make_client(updates: asyncio.Queue, on_unavailable) -> DiscoveryClient:
    """Make a client that puts each update, with the addresses of its endpoints, into the queue."""

    def put_update(update, addresses):
        updates.put_nowait((update, addresses))

    return DiscoveryClient(EndpointRegistry(), put_update, on_unavailable, 1)


@asynccontextmanager
async def running_client():
    """Yield a running client, the fake discovery that it watches, and the queue of its updates."""
    fake = await FakeDiscovery().start()
    updates = asyncio.Queue()
    discovery = make_client(updates, lambda: None)
    discovery.watch(("127.0.0.1", fake.port))
    try:
        yield discovery, fake, updates
    finally:
        discovery.end()
        fake.server.close()


async def test_deltas_follow_a_cached_list_and_a_new_watch_resumes_from_the_last_generation():
    async with running_client() as (discovery, fake, updates):
        discovery.load_known(
            {"generation": 41, "reset": True, "instances": [make_instance("s-1", 1), make_instance("s-2", 2)]}
        )
        update, addresses = await updates.get()
        assert update.kind is UpdateKind.CACHED
        assert addresses == {1: ("127.0.0.1", 1), 2: ("127.0.0.1", 2)}
        target, watch = await fake.next_watch()
        # The client does not resume from the cached list, which may be outdated or come from another agent.
        assert target == "/discovery/hosts?watch=1"
        line = encode_update(
            43, make_instance("s-2", 2, "Terminating"), make_instance("s-3", 3, started_ms=9)
        )
        for part in (line[:20], line[20:], b"\n"):  # one line in two chunks, then an empty line
            watch.write(encode_chunk(part))
        update, addresses = await updates.get()
        assert update.kind is UpdateKind.DELTA
        assert update.version == 43
        assert [(endpoint.server, endpoint.state, endpoint.started_ms) for endpoint in update.endpoints] == [
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
        assert [endpoint.server for endpoint in update.endpoints] == [1]


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
async def test_malformed_endpoint_is_ignored_and_the_others_of_its_update_are_read(malformed, reset):
    async with running_client() as (discovery, fake, updates):
        _, watch = await fake.next_watch()
        watch.write(
            encode_chunk(encode_update(1, make_instance("s-1", 1), make_instance("s-2", 2), reset=True))
        )
        await updates.get()
        malformed_known = {**make_instance("s-1", 1), **malformed}
        malformed_new = {**make_instance("s-4", 4), **malformed}
        draining = make_instance("s-2", 2, "Terminating")
        instances = malformed_known, malformed_new, 7, draining, make_instance("s-3", 3)
        watch.write(encode_chunk(encode_update(2, *instances, reset=reset)))
        update, addresses = await updates.get()
        # The update has the draining endpoint and the new one; the malformed known one stays unchanged.
        assert [(endpoint.server, endpoint.state) for endpoint in update.endpoints] == [
            (1, EndpointLifecycle.READY),
            (2, EndpointLifecycle.DRAINING),
            (3, EndpointLifecycle.READY),
        ]
        assert addresses[1] == ("127.0.0.1", 1)
        assert set(discovery.registry.numbers) == {"s-1", "s-2", "s-3"}
        watch.write(encode_chunk(encode_update(3, make_instance("s-4", 4))))  # the watch stays open
        assert (await updates.get())[1] == {4: ("127.0.0.1", 4)}


async def test_updates_may_be_indented_over_many_lines_and_arrive_in_any_pieces():
    async with running_client() as (_, fake, updates):
        _, watch = await fake.next_watch()
        for generation, name in ((1, 's-"{'), (2, "s-]\\"), (3, "s-3")):
            document = json.loads(encode_update(generation, make_instance(name, generation), reset=True))
            indented = json.dumps(document, indent=2).encode() + b"\r\n\r\n"
            for part in re.findall(b"(?s).{1,7}", indented):
                watch.write(encode_chunk(part))
            update, addresses = await updates.get()
            assert update.version == generation
            assert list(addresses.values()) == [("127.0.0.1", generation)]
        assert fake.request_targets.empty()  # All updates came on one watch.


async def test_bytes_that_never_complete_a_document_do_not_restart_the_heartbeat_timeout(monkeypatch):
    monkeypatch.setattr(watch_connection, "HEARTBEAT_TIMEOUT_S", 0.3)
    async with running_client() as (_, fake, updates):
        _, watch = await fake.next_watch()
        watch.write(encode_chunk(encode_update(5, make_instance("s-1", 1), reset=True)))
        await updates.get()
        watch.write(encode_chunk(b'{"generation":6,"reset":false,"instances":[\n'))
        while not watch.is_closing():  # Endless whitespace never completes the document.
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
            await fake.next_watch()  # A watch that is silent from its start is replaced.
        _, watch = await fake.next_watch()
        watch.write(encode_chunk(encode_update(5, make_instance("s-1", 1), reset=True)))
        await updates.get()
        await asyncio.sleep(4.0 * watch_connection.FIRST_LINE_TIMEOUT_S)
        assert fake.request_targets.empty()  # A watch may be silent for longer after its first line.
        watch.write(encode_chunk(encode_update(6, make_instance("s-1", 2))))
        await updates.get()


async def test_silent_or_unreachable_agent_is_watched_again_before_attempts_must_have_ended():
    backoff = ReconnectBackoff(random.Random(1))
    waits = [backoff.next_wait_s(was_rejected=False) for _ in range(20)]
    assert max(waits) <= reconnect_backoff.MAX_LOCAL_BACKOFF_S
    # One watch falls silent, and the next one is silent too or is not established. The third one is opened
    # within the 6 s after which an update counts as notified plus the 2 s in which attempts must have ended.
    assert (
        watch_connection.HEARTBEAT_TIMEOUT_S
        + sum(waits[:2])
        + max(discovery_watch.CONNECT_TIMEOUT_S, watch_connection.FIRST_LINE_TIMEOUT_S)
        < 6.0 + 2.0
    )


@pytest.mark.parametrize("cached", [None, {}, [], {"generation": 1, "reset": True, "instances": [{}]}])
async def test_malformed_cached_list_is_not_fatal(cached):
    async with running_client() as (discovery, fake, updates):
        discovery.load_known(cached)
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
    "response",
    [
        b"HTTP/1.1 500 Odd\r\nContent-Length: 2\r\n\r\n{}",
        b"junk\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ],
)
async def test_watch_is_retried_after_a_response_that_is_not_a_watch(response):
    requests = asyncio.Queue()

    async def respond(reader, writer):
        requests.put_nowait(await reader.readuntil(b"\r\n\r\n"))
        writer.write(response)

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    discovery = DiscoveryClient(EndpointRegistry(), lambda *_: None, lambda: None, 1)
    discovery.watch(server.sockets[0].getsockname())
    for _ in range(3):
        await requests.get()
    discovery.end()
    server.close()


async def test_unavailable_is_notified_for_each_rejected_watch_until_the_first_update():
    opened_watches = 0
    unavailable = asyncio.Queue()
    updates = asyncio.Queue()

    async def reject_twice(reader, writer):
        nonlocal opened_watches
        opened_watches += 1
        await reader.readuntil(b"\r\n\r\n")
        if opened_watches < 3:
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        else:
            body = encode_update(1, make_instance("s-1", 1), reset=True) + b"\n"
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    server = await asyncio.start_server(reject_twice, "127.0.0.1", 0)
    discovery = make_client(updates, lambda: unavailable.put_nowait(opened_watches))
    discovery.watch(server.sockets[0].getsockname())
    assert [await unavailable.get(), await unavailable.get()] == [1, 2]
    assert updates.empty()
    await updates.get()
    await wait_until(lambda: opened_watches >= 4)  # Further watches follow the one with the update.
    assert unavailable.empty()
    discovery.end()
    server.close()


async def test_backoff_of_rejected_watches_grows_and_differs_between_gateways():
    backoffs = [ReconnectBackoff(random.Random(seed)) for seed in range(40)]
    waits_of_gateways = [[backoff.next_wait_s(was_rejected=True) for _ in range(12)] for backoff in backoffs]
    first_waits = [waits[0] for waits in waits_of_gateways]
    last_waits = [waits[-1] for waits in waits_of_gateways]
    first_backoff_s = reconnect_backoff.INITIAL_BACKOFF_S
    assert all(0.5 * first_backoff_s <= wait <= first_backoff_s for wait in first_waits)
    # After many rejections, forty gateways open ten to twenty watches per second.
    assert 10.0 <= sum(1.0 / wait for wait in last_waits) <= 20.0
    # Each wait is well below the ten seconds within which a gateway must poll discovery.
    assert max(last_waits) <= 4.0
    assert len({round(sum(waits), 2) for waits in waits_of_gateways}) > 30


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
    assert registry.numbers["s-4"] > second  # Attempts on s-2 may still be in flight under its number.
    registry.read({"generation": 3, "reset": True, "instances": [make_instance("s-3", 3)]})
    assert set(registry.numbers) == {"s-3"}


async def test_address_change_keeps_the_old_watch_until_the_new_one_has_sent_the_complete_list():
    async with running_client() as (discovery, fake, updates):
        _, old_watch = await fake.next_watch()
        old_watch.write(
            encode_chunk(encode_update(41, make_instance("s-1", 1), make_instance("s-2", 2), reset=True))
        )
        await updates.get()
        # The address changes twice. The generations of different agents are not comparable.
        for generation in (7, 3):
            new_fake = await FakeDiscovery().start()
            discovery.watch(("127.0.0.1", new_fake.port))
            target, new_watch = await new_fake.next_watch()
            assert target == "/discovery/hosts?watch=1"
            old_watch.write(encode_chunk(encode_update(42, make_instance("s-2", 2, "Terminating"))))
            update, _ = await updates.get()
            assert update.kind is UpdateKind.DELTA
            new_watch.write(
                encode_chunk(
                    encode_update(generation, make_instance("s-2", 2), make_instance("s-3", 3), reset=True)
                )
            )
            update, addresses = await updates.get()
            assert update.kind is UpdateKind.SNAPSHOT
            assert sorted(addresses) == [2, 3]
            assert discovery.active.address == ("127.0.0.1", new_fake.port)
            assert discovery.candidate is None
            await fake.closed_watches.get()  # The old watch has been closed.
            fake, old_watch = new_fake, new_watch


async def test_address_change_to_a_silent_agent_keeps_the_old_watch_through_a_further_change():
    async with running_client() as (discovery, fake, updates):
        _, old_watch = await fake.next_watch()
        old_watch.write(encode_chunk(encode_update(1, make_instance("s-1", 1), reset=True)))
        await updates.get()
        silent = await FakeDiscovery().start()
        healthy = await FakeDiscovery().start()
        discovery.watch(("127.0.0.1", silent.port))
        await silent.next_watch()
        discovery.watch(("127.0.0.1", healthy.port))
        await silent.closed_watches.get()
        old_watch.write(encode_chunk(encode_update(2, make_instance("s-1", 5))))
        assert (await updates.get())[1] == {1: ("127.0.0.1", 5)}
        _, watch = await healthy.next_watch()
        watch.write(encode_chunk(encode_update(9, make_instance("s-1", 6), reset=True)))
        assert (await updates.get())[1] == {1: ("127.0.0.1", 6)}
