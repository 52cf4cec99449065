"""Endpoint lists of any length: read in pieces, a subset worked with, updates at the cost of the change."""

import asyncio
import json
import random
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quota_gateway import (
    AttemptStatus,
    Endpoint,
    EndpointLifecycle,
    EndpointUpdate,
    Outcome,
    Request,
    StartAttempt,
    UpdateKind,
)
from quota_gateway.errors import DiscoveryError
from quota_gateway.net import snapshot_reader, watch_connection
from quota_gateway.net.discovery_client import DiscoveryClient
from quota_gateway.net.endpoint_registry import EndpointRegistry
from quota_gateway.net.snapshot_reader import StreamingSnapshotReader
from quota_gateway.policy.subset import Subset
from tests.support.engine_harness import SETTINGS, EngineHarness
from tests.support.fake_discovery import FakeDiscovery, encode_chunk, encode_update, make_instance
from tests.support.fake_upstream import FakeUpstream
from tests.support.gateway_node import run_gateway, wait_until
from tests.support.resp_encoding import encode_call

FLEET, SERVERS, SIZE = 3800, 38_000, 256
FEW = Subset(380, 17, least=16)  # of a fleet that is large beside so few servers


def rows(*numbers: int, **more):
    return [make_instance(f"s-{number:06d}", 1 + number % 60_000, **more) for number in numbers]


def watch_endpoints(subset: Subset, port: int):
    """A client, and by name the lifecycle of each endpoint, as the updates that it passes on add up."""
    known: dict[str, EndpointLifecycle] = {}

    def take(update, addresses):
        if update.kind is not UpdateKind.DELTA:
            known.clear()
        for make_endpoint in update.endpoints:
            known[make_endpoint.name] = make_endpoint.state
            if make_endpoint.state is EndpointLifecycle.GONE:
                del known[make_endpoint.name]
            else:
                assert addresses[make_endpoint.server]

    discovery = DiscoveryClient(EndpointRegistry(subset), take, lambda: None, 1)
    discovery.watch(("127.0.0.1", port))
    return discovery, known


async def wait_until_read(discovery: DiscoveryClient, generation: int) -> int:
    """Wait until this version has been read; how many turns others have had meanwhile."""
    turns = 0
    async with asyncio.timeout(30.0):
        while not (discovery.active and discovery.active.generation == generation):
            await asyncio.sleep(0)
            turns += 1
    return turns


@asynccontextmanager
async def client_of_thousand_endpoints():
    """A client that has read a list of 1,000 endpoints; the fake it watches, its watch, what is known."""
    fake = await FakeDiscovery().start()
    discovery, known = watch_endpoints(FEW, fake.port)
    _, watch = await fake.next_watch()
    watch.write(encode_chunk(encode_update(1, *rows(*range(1000)), reset=True)))
    await wait_until_read(discovery, 1)
    try:
        yield discovery, fake, watch, known
    finally:
        discovery.end()


def nearest(subset: Subset, names, most: int) -> set[str]:
    return set(sorted(names, key=subset.distance)[:most])


async def test_list_of_a_large_fleet_is_read_in_pieces_and_its_nearest_endpoints_are_retained():
    fake = await FakeDiscovery().start()
    subset = Subset(FLEET, 17)
    discovery, known = watch_endpoints(subset, fake.port)
    _, watch = await fake.next_watch()
    whole = encode_update(7, *rows(*range(SERVERS)), reset=True)
    watch.write(encode_chunk(whole))
    turns = await wait_until_read(discovery, 7)
    assert turns >= len(whole) / watch_connection.PIECE_BYTES  # the others have had a turn after each piece
    names = [line["instanceId"] for line in rows(*range(SERVERS))]
    assert set(known) == nearest(subset, names, 2 * SIZE) == set(discovery.registry.rows)
    # an endpoint that is not near costs its name: no row, no number, nothing passed on
    assert len(discovery.registry.other_names) == SERVERS - 2 * SIZE
    assert len(discovery.registry.numbers) == 2 * SIZE
    watch.write(encode_chunk(encode_update(8, *rows(SERVERS + 1, *range(0, 200)))))
    await wait_until_read(discovery, 8)
    assert len(known) == 2 * SIZE
    assert fake.request_targets.empty()
    discovery.end()


async def test_later_snapshot_replaces_the_list_though_it_is_passed_on_in_parts():
    async with client_of_thousand_endpoints() as (discovery, _, watch, known):
        before = set(known)
        watch.write(
            encode_chunk(encode_update(2, *rows(*range(500, 1500)), reset=True)) + encode_chunk(b"\n")
        )
        watch.write(encode_chunk(encode_update(3, *rows(700, 701, lifecycle="Terminating"))))
        await wait_until_read(discovery, 3)
        names = [line["instanceId"] for line in rows(*range(500, 1500))]
        size = FEW.size(1000)
        assert nearest(FEW, names, size) <= set(known) <= set(names)
        assert len(known) == 2 * size
        assert before != set(known)
        assert discovery.registry.nearest.listed == 1000


async def test_connection_lost_within_a_long_list_changes_nothing_and_the_list_is_requested_again():
    async with client_of_thousand_endpoints() as (discovery, fake, watch, known):
        before = dict(known)
        watch.write(encode_chunk(encode_update(2, *rows(*range(5000, 7000)), reset=True)[:-1000]))
        await watch.drain()
        watch.close()
        target, watch = await fake.next_watch()
        assert target == "/discovery/hosts?watch=1&from=1"
        assert known == before
        # an answer that is complete with its list is read to its end
        watch.write(encode_chunk(encode_update(2, *rows(*range(5000, 7000)), reset=True)) + b"0\r\n\r\n")
        await wait_until_read(discovery, 2)
        assert not set(known) & set(before)
        assert len(known) >= 2 * FEW.size(2000) - 2


@pytest.mark.parametrize(
    "bad",
    [
        b'{"generation":2,"reset":true,"instances":[' + b'{"instanceId":"' + b"x" * 200_000,
        b'{"generation":2,"reset":true,"instances":[' + b"[" * 100_000,
        b'{"generation":2,"reset":true,"instances":' + b" " * 100_000 + b"7}\n",
        b"[" + b" " * 100_000 + b"]\n",
        b" " * 200_000,
        b'{"a":' + b'{"a":' * 40_000,
        b'{"reset":true,"instances":[' + b",".join([b"7"] * 50_000) + b"]}\n",
        b'{"generation":2,\n"reset":true,\n"instances":[\n' + b" \t{}," * 20_000 + b"\n\n",
    ],
)
async def test_malformed_long_document_is_rejected_and_the_list_before_stays(bad):
    async with client_of_thousand_endpoints() as (_, fake, watch, known):
        before = dict(known)
        watch.write(encode_chunk(bad))
        target, watch = await fake.next_watch()
        assert target == "/discovery/hosts?watch=1"
        assert known == before


def test_endless_rows_are_rejected_within_a_bound_on_memory(monkeypatch):
    monkeypatch.setattr(snapshot_reader, "MAX_LISTED", 2000)
    reader = StreamingSnapshotReader(EndpointRegistry(FEW))
    with pytest.raises(DiscoveryError, match="more than 2000"):
        reader.feed(
            b'{"generation":2,"reset":true,"instances":['
            + b",".join(json.dumps(line).encode() for line in rows(*range(3000)))
        )
    assert len(reader.reader.other_names) <= 2001


NUMBERS = st.integers(0, 120)
ODD = st.sampled_from(
    [
        {},
        {},
        {},
        {"lifecycle": "Terminating"},
        {"lifecycle": "Gone"},
        {"hostPort": None},
        {"lifecycle": "Odd"},
        {"cell": "x"},
        {"instanceId": 7},
        {"instanceId": ""},
    ]
)
ROWS = st.lists(st.tuples(NUMBERS, ODD), max_size=150)
DOCUMENTS = st.lists(st.tuples(st.booleans(), ROWS), min_size=1, max_size=5)


def read_in_pieces(registry: EndpointRegistry, document, indent, cut_bytes: int):
    """The endpoints that a long document tells, read in pieces of so many bytes; None if it is malformed."""
    reader, text = StreamingSnapshotReader(registry), json.dumps(document, indent=indent).encode() + b"\nrest"
    try:
        for at in range(0, len(text), cut_bytes):
            if (behind := reader.feed(text[at : at + cut_bytes])) is not None:
                break
        assert behind is not None
        assert b"rest".startswith(behind)
        updates = [change.update for change in reader.changes()]
    except DiscoveryError:
        return None
    return [endpoint for update in updates for endpoint in update.endpoints]


@settings(deadline=None, max_examples=60)
@given(DOCUMENTS, st.sampled_from([None, 2]), st.integers(1, 400))
def test_list_read_in_pieces_gives_the_same_as_one_read_at_once(documents, indent, cut):
    at_once, in_pieces, known = EndpointRegistry(FEW), EndpointRegistry(FEW), {}
    for generation, (reset, drawn) in enumerate(documents):
        lines = [{**rows(number)[0], **odd} for number, odd in drawn]
        document = {"generation": generation, "reset": reset, "instances": lines}
        endpoints = read_in_pieces(in_pieces, document, indent, cut)
        try:
            update = at_once.read(document).update
        except DiscoveryError:
            assert endpoints is None
            return
        assert endpoints is not None
        assert update.version == generation
        for endpoint in endpoints:
            known[endpoint.name] = endpoint.state
        assert in_pieces.rows == at_once.rows
        assert list(in_pieces.nearest) == list(at_once.nearest)
        assert in_pieces.other_names == at_once.other_names
        assert set(in_pieces.rows) == set(in_pieces.nearest)
        assert in_pieces.nearest.listed == len(in_pieces.rows) + len(in_pieces.other_names)
        left = {name for name, state in known.items() if state is not EndpointLifecycle.GONE}
        assert left == set(in_pieces.rows) == set(in_pieces.numbers)
    at_once_names = at_once.other_names | set(at_once.rows)
    if not at_once.needs_complete_list():
        size = FEW.size(len(at_once_names))
        assert set(list(at_once.nearest)[:size]) == nearest(FEW, at_once_names, size)


async def test_complete_list_is_requested_once_too_many_of_the_nearest_endpoints_are_gone():
    async with client_of_thousand_endpoints() as (discovery, fake, watch, known):
        near = [int(name[2:]) for name in discovery.registry.nearest]
        gone = near[: FEW.size(1000) + 1]
        watch.write(encode_chunk(encode_update(2, *rows(*gone, lifecycle="Gone"))))
        target, watch = await fake.next_watch()
        assert target == "/discovery/hosts?watch=1"
        left = sorted(set(range(1000)) - set(gone))
        watch.write(encode_chunk(encode_update(2, *rows(*left), reset=True)))
        await wait_until_read(discovery, 2)
        names = [line["instanceId"] for line in rows(*left)]
        assert nearest(FEW, names, FEW.size(len(left))) <= set(known)
        assert not discovery.registry.needs_complete_list()


def test_endpoint_without_a_row_is_known_to_operators_and_keeps_its_number_when_it_becomes_near():
    registry = EndpointRegistry(FEW)
    registry.read({"generation": 1, "reset": True, "instances": rows(*range(1000))})
    name = sorted(registry.other_names, key=FEW.distance)[0]
    assert registry.is_known(name)
    assert registry.find(name) is None
    assert not registry.is_known("s-none")
    number = registry.number_of(name)
    gone = [int(near[2:]) for near in list(registry.nearest)[:3]]
    registry.read({"generation": 2, "reset": True, "instances": rows(*sorted(set(range(1000)) - set(gone)))})
    assert registry.numbers[name] == number


# ---- The decisions

LARGE = replace(SETTINGS, gateways=FLEET, index=17)


def endpoints(count: int, **more) -> list[Endpoint]:
    numbers = range(1, count + 1)
    return [Endpoint(number, "a", name=f"s-{number}", **more) for number in numbers]


def large_rig(count: int = 2 * SIZE) -> tuple[EngineHarness, list[int]]:
    """A gateway of a large fleet that knows so many servers, and their numbers, the nearest first."""
    rig = EngineHarness(LARGE)
    known = endpoints(count)
    rig.do(EndpointUpdate(UpdateKind.SNAPSHOT, tuple(known), 1, SERVERS))
    rig.gateway.concurrency.limit = 1e9
    order = sorted(known, key=lambda make_endpoint: rig.gateway.subset.distance(make_endpoint.name))
    return rig, [make_endpoint.server for make_endpoint in order]


def ready(rig: EngineHarness) -> set[int]:
    return {server.id for server in rig.gateway.endpoints.ready}


def test_gateway_of_a_large_fleet_works_with_the_nearest_ready_servers_alone():
    rig, order = large_rig()
    assert ready(rig) == set(order[:SIZE])
    drained = order[3:10]
    rig.servers(
        *(Endpoint(number, "a", state=EndpointLifecycle.DRAINING) for number in drained),
        kind=UpdateKind.DELTA,
    )
    rig.gateway.endpoints.listed = SERVERS
    rig.do(EndpointUpdate(UpdateKind.DELTA, (), 2, SERVERS))
    assert ready(rig) == set(order[: SIZE + 7]) - set(drained)
    assert rig.gateway.endpoints.reserve[-1].id == order[SIZE + 7]


def test_gateway_where_all_servers_fit_works_with_all_of_them():
    rig = EngineHarness(replace(SETTINGS, gateways=200, index=17))
    rig.do(EndpointUpdate(UpdateKind.SNAPSHOT, tuple(endpoints(200))))
    assert len(rig.gateway.endpoints.ready) == 200
    assert not rig.gateway.endpoints.reserve


def test_share_of_what_may_be_out_goes_by_all_servers_listed_not_by_those_that_are_known():
    rig = EngineHarness(LARGE)
    rig.do(EndpointUpdate(UpdateKind.CACHED, tuple(endpoints(2 * SIZE)), 1, SERVERS))
    assert rig.gateway.concurrency.limit == pytest.approx(6.0 * SERVERS / FLEET)


def fail(rig: EngineHarness, server: int) -> None:
    """Requests that go to this server fail there, until it is in doubt."""
    gateway = rig.gateway
    gateway.endpoints.ready, before = (
        [s for s in gateway.endpoints.ready if s.id == server],
        gateway.endpoints.ready,
    )
    for _ in range(4):
        rig.count += 1
        name = f"f{rig.count}"
        sent = [
            a for a in rig.do(Request(name, "unsafe", "free", "c", 4000.0)) if isinstance(a, StartAttempt)
        ]
        assert [a.server for a in sent] == [server]
        rest, gateway.endpoints.ready = gateway.endpoints.ready, before  # another may have come to stand in
        rig.do(Outcome(name, 0, server, AttemptStatus.RESET, 10.0))
        before = gateway.endpoints.ready
        gateway.endpoints.ready = rest if rest is not before else [s for s in before if s.id == server]
    gateway.endpoints.ready = before


def test_for_each_server_of_the_subset_that_is_down_unknown_to_discovery_one_of_the_reserve_works():
    rig, order = large_rig()
    for server in order[:5]:
        fail(rig, server)
    assert ready(rig) == set(order[: SIZE + 5])
    rig.do(EndpointUpdate(UpdateKind.DELTA, (), 2, SERVERS))  # some news: they stay as long as the doubt does
    assert ready(rig) == set(order[: SIZE + 5])
    rig.run(60_000.0)
    for _ in range(100):  # the others are well
        rig.finish(rig.ask(class_name="unsafe"))
    rig.gateway.clock.attempts += 100 * len(order)  # each might have been met again since
    rig.do(EndpointUpdate(UpdateKind.DELTA, (), 3, SERVERS))
    assert ready(rig) == set(order[:SIZE])


def test_gateway_whose_whole_subset_hangs_up_still_serves_by_its_reserve():
    rig, order = large_rig()
    down, served = set(order[:SIZE]), 0
    for _ in range(1500):
        name = rig.ask(timeout_ms=60_000.0)
        while name not in rig.answers and rig.sent.get(name):
            server = rig.sent[name][-1]
            rig.finish(name, AttemptStatus.CONNECT_FAILED if server in down else AttemptStatus.OK)
            served += rig.answers.get(name) == "Ok"
            if server in down and len(rig.sent[name]) == LARGE.limits.max_attempts:
                break
        rig.run(5.0)
    assert served >= 1000


class Crossing(EngineHarness):
    """A gateway of a large fleet under a list that changes all the time, with requests in hand."""

    def __init__(self, seed: int) -> None:
        super().__init__(replace(SETTINGS, gateways=380, index=17), seed)
        self.gateway.endpoints.subset, self.registry, self.draw = (
            FEW,
            EndpointRegistry(FEW),
            random.Random(seed),
        )
        self.states = dict.fromkeys(range(400), "Ready")
        self.tell(True, sorted(self.states))
        self.moves = 0  # sends to a server that was not worked with at first
        self.first = ready(self)

    def tell(self, whole: bool, numbers: list[int]) -> None:
        """Let discovery name these servers: all there are, or a change."""
        started = int(self.now) if self.draw.random() < 0.3 else 0
        lines = [make_instance(f"s-{number}", 1, self.states[number], started) for number in numbers]
        self.do(self.registry.read({"generation": 1, "reset": whole, "instances": lines}).update)

    def do(self, event) -> list:
        """Check that each attempt goes to a server that is ready and worked with."""
        actions = super().do(event)
        for action in actions:
            if isinstance(action, StartAttempt):
                (name,) = [name for name, number in self.registry.numbers.items() if number == action.server]
                assert self.registry.rows[name]["lifecycle"] == "Ready"
                assert action.server in ready(self)
                self.moves += action.server not in self.first
        return actions

    def step(self) -> None:
        """One random event: a request, an outcome, a change of the list, or time that passes."""
        what = self.draw.random()
        if what < 0.4:
            plan, kind = self.draw.choice(("free", "metered", "capped")), ("safe", "keyed", "unsafe")
            self.ask(plan, self.draw.choice(kind), self.draw.choice("abc"))
        elif what < 0.7 and (
            open_now := [
                (name, number)
                for name, flight in self.gateway.requests.items()
                for number in flight.in_flight
            ]
        ):
            name, number = self.draw.choice(open_now)
            how = self.draw.choice(
                (AttemptStatus.OK, AttemptStatus.RESET, AttemptStatus.OVERLOADED, AttemptStatus.TIMEOUT)
            )
            self.finish(name, how, number)
        elif what < 0.95:
            numbers = self.draw.sample(sorted(self.states), 6)
            for number in numbers:
                self.states[number] = self.draw.choice(("Ready", "Ready", "Terminating", "Gone"))
            self.tell(False, numbers)
            assert len(ready(self)) <= len(self.registry.rows)
        else:
            self.tell(True, [number for number, state in self.states.items() if state != "Gone"])
        self.run(self.draw.uniform(0.0, 40.0))


@pytest.mark.parametrize("seed", range(10))
def test_subset_that_changes_under_holds_attempts_retries_and_drains_keeps_every_request(seed):
    rig = Crossing(seed)
    for _ in range(600):
        rig.step()
        assert {server.id for server in rig.gateway.endpoints.by_id.values()} == set(
            rig.registry.numbers.values()
        )
        most = FEW.size(rig.gateway.endpoints.listed)
        assert len(rig.gateway.endpoints.ready) <= 2 * most
    rig.run(10_000.0)
    for name, flight in list(rig.gateway.requests.items()):
        for number in list(flight.in_flight):
            rig.finish(name, AttemptStatus.CANCELLED, number)
    assert not rig.gateway.requests
    assert len(rig.answers) == rig.count
    assert rig.moves >= 10


async def test_reply_of_an_endpoint_that_left_the_subset_is_served_and_retries_go_elsewhere():
    slow, other = FakeUpstream(lambda _: None), FakeUpstream()
    async with run_gateway(slow) as gateway:
        peer = await gateway.connect_client()
        peer.send(encode_call(1))
        await slow.wait_until(lambda: len(slow.commands) == 1)
        await other.start()
        gone = replace(slow.endpoint(1)[0], state=EndpointLifecycle.GONE), ("", 0)  # others are nearer now
        gateway.update_endpoints(gone, other.endpoint(2), kind=UpdateKind.DELTA)
        assert await (await gateway.connect_client()).request(encode_call(2)) == b"0000000000000002"
        slow.writers[0].write(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
        assert await peer.read_reply() == b"v"
        assert len(slow.commands) == 1
        await wait_until(lambda: not gateway.driver.active_requests)
