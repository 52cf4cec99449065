"""The watch: lists and changes, what is malformed, watches that end or fall silent."""

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
from tests.support.fakes import FakeDiscovery, chunk, listing, row, run


@asynccontextmanager
async def watched():
    """A running watch, the fake it watches, and the news that came of it."""
    fake, news = await FakeDiscovery().start(), asyncio.Queue()
    discovery = DiscoveryClient(EndpointRegistry(), lambda *told: news.put_nowait(told), lambda: None, 1)
    discovery.watch(("127.0.0.1", fake.port))
    try:
        yield discovery, fake, news
    finally:
        discovery.end()
        fake.server.close()


def test_known_list_then_changes_and_what_was_missed_after_a_break():
    async def test():
        async with watched() as (discovery, fake, news):
            discovery.load_known(
                {"generation": 41, "reset": True, "instances": [row("s-1", 1), row("s-2", 2)]}
            )
            told, addresses = await news.get()
            assert told.kind is UpdateKind.CACHED and addresses == {1: ("127.0.0.1", 1), 2: ("127.0.0.1", 2)}
            target, watch = await fake.watch()
            assert target == "/discovery/hosts?watch=1"  # the known list may be old, or another agent's
            line = listing(43, row("s-2", 2, "Terminating"), row("s-3", 3, started=9))
            for part in (line[:20], line[20:], b"\n"):  # a line over two chunks, then an empty one
                watch.write(chunk(part))
            told, addresses = await news.get()
            assert told.kind is UpdateKind.DELTA and told.version == 43
            assert [(e.server, e.state, e.started_ms) for e in told.endpoints] == [
                (2, EndpointLifecycle.DRAINING, 0.0),
                (3, EndpointLifecycle.READY, 9.0),
            ]
            watch.close()
            target, watch = await fake.watch()
            assert target == "/discovery/hosts?watch=1&from=43"
            watch.write(chunk(listing(50, row("s-1", 7), reset=True)))
            told, addresses = await news.get()
            assert told.kind is UpdateKind.SNAPSHOT and addresses == {1: ("127.0.0.1", 7)}

    run(test())


@pytest.mark.parametrize(
    "line",
    [
        b"{not json\n\n",
        b"[]\n",
        b"7\n",
        b'{"generation":2,"reset":false}\n',
        b"\xff\xfe\n",
        b"}\n",
        listing(2, {**row("s-2", 2), "hostPort": None}, reset=True),
        b'{"generation":2,\n"reset":false,\n\n',
    ],
)
def test_malformed_line_is_not_fatal_and_all_is_asked_for_again(line):
    async def test():
        async with watched() as (_, fake, news):
            _, watch = await fake.watch()
            watch.write(chunk(listing(1, row("s-1", 1), reset=True)))
            await news.get()
            watch.write(chunk(line))
            target, watch = await fake.watch()
            assert target == "/discovery/hosts?watch=1"
            watch.write(chunk(listing(2, row("s-1", 1), reset=True)))
            told, _ = await news.get()
            assert told.version == 2 and [entry.server for entry in told.endpoints] == [1]

    run(test())


SPOILT = [
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
@pytest.mark.parametrize("spoilt", SPOILT)
def test_row_that_can_not_be_read_costs_that_row_alone(spoilt, reset):
    async def test():
        async with watched() as (discovery, fake, news):
            _, watch = await fake.watch()
            watch.write(chunk(listing(1, row("s-1", 1), row("s-2", 2), reset=True)))
            await news.get()
            bad, new = {**row("s-1", 1), **spoilt}, {**row("s-4", 4), **spoilt}
            rows = bad, new, 7, row("s-2", 2, "Terminating"), row("s-3", 3)
            watch.write(chunk(listing(2, *rows, reset=reset)))
            told, addresses = await news.get()
            # the one that drains and the new one are heard of; the one whose row is spoilt stays as it was
            assert [(e.server, e.state) for e in told.endpoints] == [
                (1, EndpointLifecycle.READY),
                (2, EndpointLifecycle.DRAINING),
                (3, EndpointLifecycle.READY),
            ]
            assert addresses[1] == ("127.0.0.1", 1) and set(discovery.registry.numbers) == {
                "s-1",
                "s-2",
                "s-3",
            }
            watch.write(chunk(listing(3, row("s-4", 4))))  # the watch goes on
            assert (await news.get())[1] == {4: ("127.0.0.1", 4)}

    run(test())


def test_lists_may_come_indented_over_many_lines_and_in_any_pieces():
    async def test():
        async with watched() as (_, fake, news):
            _, watch = await fake.watch()
            for generation, name in ((1, 's-"{'), (2, "s-]\\"), (3, "s-3")):
                plain = json.loads(listing(generation, row(name, generation), reset=True))
                for part in re.findall(b"(?s).{1,7}", json.dumps(plain, indent=2).encode() + b"\r\n\r\n"):
                    watch.write(chunk(part))
                told, addresses = await news.get()
                assert told.version == generation and list(addresses.values()) == [("127.0.0.1", generation)]
            assert fake.targets.empty()  # all on one watch

    run(test())


def test_bytes_that_never_make_a_list_are_no_sign_of_life(monkeypatch):
    monkeypatch.setattr(watch_connection, "HEARTBEAT_TIMEOUT_S", 0.3)

    async def test():
        async with watched() as (_, fake, news):
            _, watch = await fake.watch()
            watch.write(chunk(listing(5, row("s-1", 1), reset=True)))
            await news.get()
            watch.write(chunk(b'{"generation":6,"reset":false,"instances":[\n'))
            while not watch.is_closing():  # it goes on and on, and nothing can come of it
                watch.write(chunk(b" \t"))
                await asyncio.sleep(0.02)
            target, watch = await fake.watch()
            assert target == "/discovery/hosts?watch=1&from=5"
            watch.write(chunk(listing(7, row("s-1", 2))))
            assert (await news.get())[1] == {1: ("127.0.0.1", 2)}

    run(test())


def test_new_watch_that_says_nothing_is_given_up_sooner_than_one_that_has_spoken(monkeypatch):
    monkeypatch.setattr(watch_connection, "HEARTBEAT_TIMEOUT_S", 3600.0)
    monkeypatch.setattr(watch_connection, "FIRST_LINE_TIMEOUT_S", 0.05)

    async def test():
        async with watched() as (_, fake, news):
            for _ in range(3):
                await fake.watch()  # silent from the first moment: it is opened anew
            _, watch = await fake.watch()
            watch.write(chunk(listing(5, row("s-1", 1), reset=True)))
            await news.get()
            await asyncio.sleep(4.0 * watch_connection.FIRST_LINE_TIMEOUT_S)
            assert fake.targets.empty()  # it has spoken, and may be silent for longer
            watch.write(chunk(listing(6, row("s-1", 2))))
            await news.get()

    run(test())


def test_agent_that_is_silent_or_refuses_is_asked_again_within_the_time_in_which_sends_must_end():
    async def test():
        backoff = ReconnectBackoff(random.Random(1))
        waits = [backoff.next_wait_s(was_rejected=False) for _ in range(20)]
        assert max(waits) <= reconnect_backoff.MAX_LOCAL_BACKOFF_S
        # a watch falls silent, and the next one is too, or does not come up: the third one is opened within
        # the 6 s after which its news counts as told and the 2 s in which sends must have ended
        assert (
            watch_connection.HEARTBEAT_TIMEOUT_S
            + sum(waits[:2])
            + max(discovery_watch.CONNECT_TIMEOUT_S, watch_connection.FIRST_LINE_TIMEOUT_S)
            < 6.0 + 2.0
        )

    run(test())


@pytest.mark.parametrize("known", [None, {}, [], {"generation": 1, "reset": True, "instances": [{}]}])
def test_malformed_known_list_is_not_fatal(known):
    async def test():
        async with watched() as (discovery, fake, news):
            discovery.load_known(known)
            target, _ = await fake.watch()
            assert target == "/discovery/hosts?watch=1" and news.empty()

    run(test())


def test_watch_without_a_line_is_dead_and_replaced(monkeypatch):
    monkeypatch.setattr(watch_connection, "HEARTBEAT_TIMEOUT_S", 0.05)

    async def test():
        async with watched() as (_, fake, news):
            _, watch = await fake.watch()
            watch.write(chunk(listing(5, row("s-1", 1), reset=True)))
            await news.get()
            target, _ = await fake.watch()
            assert target == "/discovery/hosts?watch=1&from=5"

    run(test())


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 500 Odd\r\nContent-Length: 2\r\n\r\n{}",
        b"junk\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_answer_that_is_no_watch_is_asked_for_again(answer):
    async def test():
        asked = asyncio.Queue()

        async def odd(reader, writer):
            asked.put_nowait(await reader.readuntil(b"\r\n\r\n"))
            writer.write(answer)

        server = await asyncio.start_server(odd, "127.0.0.1", 0)
        discovery = DiscoveryClient(EndpointRegistry(), lambda *told: None, lambda: None, 1)
        discovery.watch(server.sockets[0].getsockname())
        for _ in range(3):
            await asked.get()
        discovery.end()
        server.close()

    run(test())


def test_being_turned_away_is_told_until_a_list_has_come():
    async def test():
        asked, unheard = 0, asyncio.Queue()

        async def overbooked_at_first(reader, writer):
            nonlocal asked
            asked += 1
            await reader.readuntil(b"\r\n\r\n")
            if asked < 3:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            else:
                body = listing(1, row("s-1", 1), reset=True) + b"\n"
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

        server = await asyncio.start_server(overbooked_at_first, "127.0.0.1", 0)
        news: asyncio.Queue[object] = asyncio.Queue()
        discovery = DiscoveryClient(
            EndpointRegistry(), lambda *told: news.put_nowait(told), lambda: unheard.put_nowait(asked), 1
        )
        discovery.watch(server.sockets[0].getsockname())
        assert [await unheard.get(), await unheard.get()] == [1, 2] and news.empty()
        await news.get()
        while asked < 4:  # it asks on after that watch has ended
            await asyncio.sleep(0.01)
        assert unheard.empty()
        discovery.end()
        server.close()

    run(test())


def test_gateways_that_are_turned_away_ask_again_later_each_time_and_not_in_step():
    async def test():
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

    run(test())


def test_server_that_is_gone_is_forgotten_by_name():
    registry = EndpointRegistry()
    registry.read({"generation": 1, "reset": True, "instances": [row("s-1", 1), row("s-2", 2)]})
    told = registry.read({"generation": 2, "reset": False, "instances": [row("s-1", 1, "Gone")]}).update
    assert told.endpoints[0].state is EndpointLifecycle.GONE and set(registry.numbers) == {"s-2"}
    (second,) = registry.numbers.values()
    registry.read({"generation": 3, "reset": False, "instances": [row("s-2", 2, "Gone")]})
    registry.read({"generation": 3, "reset": False, "instances": [row("s-4", 4)]})
    assert registry.numbers["s-4"] > second  # attempts on s-2 may still be out under its number
    registry.read({"generation": 3, "reset": True, "instances": [row("s-3", 3)]})
    assert set(registry.numbers) == {"s-3"}


def test_watch_that_moves_serves_from_the_old_until_the_new_has_spoken_and_asks_for_all():
    async def test():
        async with watched() as (discovery, fake, news):
            _, old = await fake.watch()
            old.write(chunk(listing(41, row("s-1", 1), row("s-2", 2), reset=True)))
            await news.get()
            for generation in (7, 3):  # more than once; versions of another agent tell nothing here
                other = await FakeDiscovery().start()
                discovery.watch(("127.0.0.1", other.port))
                target, watch = await other.watch()
                assert target == "/discovery/hosts?watch=1"
                old.write(chunk(listing(42, row("s-2", 2, "Terminating"))))
                told, _ = await news.get()
                assert told.kind is UpdateKind.DELTA
                watch.write(chunk(listing(generation, row("s-2", 2), row("s-3", 3), reset=True)))
                told, addresses = await news.get()
                assert told.kind is UpdateKind.SNAPSHOT and sorted(addresses) == [
                    2,
                    3,
                ]  # s-2 keeps its number
                assert discovery.active.address == ("127.0.0.1", other.port) and discovery.candidate is None
                await fake.ended.get()  # the old one has been closed
                fake, old = other, watch

    run(test())


def test_watch_that_moves_to_where_nothing_answers_is_moved_on_and_the_old_one_stays():
    async def test():
        async with watched() as (discovery, fake, news):
            _, old = await fake.watch()
            old.write(chunk(listing(1, row("s-1", 1), reset=True)))
            await news.get()
            silent, good = await FakeDiscovery().start(), await FakeDiscovery().start()
            discovery.watch(("127.0.0.1", silent.port))
            await silent.watch()
            discovery.watch(("127.0.0.1", good.port))
            await silent.ended.get()
            old.write(chunk(listing(2, row("s-1", 5))))
            assert (await news.get())[1] == {1: ("127.0.0.1", 5)}
            _, watch = await good.watch()
            watch.write(chunk(listing(9, row("s-1", 6), reset=True)))
            assert (await news.get())[1] == {1: ("127.0.0.1", 6)}

    run(test())
