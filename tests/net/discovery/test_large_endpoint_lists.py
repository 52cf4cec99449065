"""Endpoint lists of any length: read in pieces, reduced to a subset, and updated by deltas."""

import asyncio
import json
import random
from contextlib import asynccontextmanager, contextmanager
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
from quota_gateway.net.discovery import snapshot_reader, watch_connection
from quota_gateway.net.discovery.client import DiscoveryClient
from quota_gateway.net.discovery.endpoint_registry import EndpointRegistry
from quota_gateway.net.discovery.streaming_snapshot_reader import StreamingSnapshotReader
from quota_gateway.policy.subset import Subset
from tests.support.engine_harness import SETTINGS, EngineHarness
from tests.support.fake_discovery import FakeDiscovery, encode_chunk, encode_update, make_instance
from tests.support.fake_upstream import FakeUpstream
from tests.support.gateway_node import run_gateway, wait_until
from tests.support.resp_encoding import encode_call

GATEWAYS = 3800
SERVERS = 38_000
SUBSET_SIZE = 256  # the size of each gateway's subset if ``GATEWAYS`` gateways share ``SERVERS`` servers
SMALL_SUBSET = Subset(380, 17, min_size=16)  # the subset in a fleet of many gateways and few servers


def make_instances(*numbers: int, **fields):
    """Make an endpoint for each number, as discovery lists it."""
    return [make_instance(f"s-{number:06d}", 1 + number % 60_000, **fields) for number in numbers]


def instance_names(numbers) -> list[str]:
    """Return the names of the endpoints with these numbers."""
    return [instance["instanceId"] for instance in make_instances(*numbers)]


def watch_endpoints(subset: Subset, port: int):
    """Start a client; return it, and the lifecycles of its endpoints by name, kept up to date."""
    known: dict[str, EndpointLifecycle] = {}

    def apply_update(update, addresses):
        if update.kind is not UpdateKind.DELTA:
            known.clear()
        for endpoint in update.endpoints:
            known[endpoint.name] = endpoint.state
            if endpoint.state is EndpointLifecycle.GONE:
                del known[endpoint.name]
            else:
                assert addresses[endpoint.server]

    discovery = DiscoveryClient(EndpointRegistry(subset), apply_update, lambda: None, 1)
    discovery.watch(("127.0.0.1", port))
    return discovery, known


async def wait_until_read(discovery: DiscoveryClient, generation: int) -> int:
    """Wait until this generation has been read; return how many iterations of the loop that took."""
    loop_iterations = 0
    async with asyncio.timeout(30.0):
        while not (discovery.active and discovery.active.generation == generation):
            await asyncio.sleep(0)
            loop_iterations += 1
    return loop_iterations


@asynccontextmanager
async def client_of_thousand_endpoints():
    """Yield a client that has read a list of 1,000 endpoints; its discovery, watch and known endpoints."""
    fake = await FakeDiscovery().start()
    discovery, known = watch_endpoints(SMALL_SUBSET, fake.port)
    _, watch = await fake.next_watch()
    watch.write(encode_chunk(encode_update(1, *make_instances(*range(1000)), reset=True)))
    await wait_until_read(discovery, 1)
    try:
        yield discovery, fake, watch, known
    finally:
        discovery.end()


def nearest_names(subset: Subset, names, count: int) -> set[str]:
    """Return the ``count`` names that are nearest to the gateway."""
    return set(sorted(names, key=subset.distance)[:count])


async def test_list_of_a_large_fleet_is_read_in_pieces_and_its_nearest_endpoints_are_retained():
    fake = await FakeDiscovery().start()
    subset = Subset(GATEWAYS, 17)
    discovery, known = watch_endpoints(subset, fake.port)
    _, watch = await fake.next_watch()
    snapshot = encode_update(7, *make_instances(*range(SERVERS)), reset=True)
    watch.write(encode_chunk(snapshot))
    loop_iterations = await wait_until_read(discovery, 7)
    # Other tasks run after each piece.
    assert loop_iterations >= len(snapshot) / watch_connection.PIECE_BYTES
    nearest = nearest_names(subset, instance_names(range(SERVERS)), 2 * SUBSET_SIZE)
    assert set(known) == nearest == set(discovery.registry.rows)
    # An endpoint that is not among the nearest is kept by name only: it has no row, no number and no update.
    assert len(discovery.registry.other_names) == SERVERS - 2 * SUBSET_SIZE
    assert len(discovery.registry.numbers) == 2 * SUBSET_SIZE
    watch.write(encode_chunk(encode_update(8, *make_instances(SERVERS + 1, *range(0, 200)))))
    await wait_until_read(discovery, 8)
    assert len(known) == 2 * SUBSET_SIZE
    assert fake.request_targets.empty()
    discovery.end()


async def test_later_snapshot_replaces_the_list_though_it_is_delivered_in_parts():
    async with client_of_thousand_endpoints() as (discovery, _, watch, known):
        before = set(known)
        watch.write(
            encode_chunk(encode_update(2, *make_instances(*range(500, 1500)), reset=True))
            + encode_chunk(b"\n")
        )
        watch.write(encode_chunk(encode_update(3, *make_instances(700, 701, lifecycle="Terminating"))))
        await wait_until_read(discovery, 3)
        names = instance_names(range(500, 1500))
        size = SMALL_SUBSET.size(1000)
        assert nearest_names(SMALL_SUBSET, names, size) <= set(known) <= set(names)
        assert len(known) == 2 * size
        assert before != set(known)
        assert discovery.registry.nearest.listed == 1000


async def test_connection_lost_within_a_long_list_changes_nothing_and_the_list_is_requested_again():
    async with client_of_thousand_endpoints() as (discovery, fake, watch, known):
        before = dict(known)
        watch.write(encode_chunk(encode_update(2, *make_instances(*range(5000, 7000)), reset=True)[:-1000]))
        await watch.drain()
        watch.close()
        target, watch = await fake.next_watch()
        assert target == "/discovery/hosts?watch=1&from=1"
        assert known == before
        # A list is read to its end even if the response ends right after it.
        watch.write(
            encode_chunk(encode_update(2, *make_instances(*range(5000, 7000)), reset=True)) + b"0\r\n\r\n"
        )
        await wait_until_read(discovery, 2)
        assert not set(known) & set(before)
        assert len(known) >= 2 * SMALL_SUBSET.size(2000) - 2


@pytest.mark.parametrize(
    "malformed",
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
async def test_malformed_long_document_is_rejected_and_the_previous_list_is_kept(malformed):
    async with client_of_thousand_endpoints() as (_, fake, watch, known):
        before = dict(known)
        watch.write(encode_chunk(malformed))
        target, watch = await fake.next_watch()
        assert target == "/discovery/hosts?watch=1"
        assert known == before


def test_endless_list_is_rejected_within_a_bound_on_memory(monkeypatch):
    monkeypatch.setattr(snapshot_reader, "MAX_LISTED_ENDPOINTS", 2000)
    reader = StreamingSnapshotReader(EndpointRegistry(SMALL_SUBSET))
    instances = [json.dumps(instance).encode() for instance in make_instances(*range(3000))]
    endless = b'{"generation":2,"reset":true,"instances":[' + b",".join(instances)
    with pytest.raises(DiscoveryError, match="more than 2000"):
        reader.feed(endless)
    assert len(reader.reader.other_names) <= 2001


NUMBERS = st.integers(0, 120)
CHANGED_FIELDS = st.sampled_from(
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
INSTANCES = st.lists(st.tuples(NUMBERS, CHANGED_FIELDS), max_size=150)
DOCUMENTS = st.lists(st.tuples(st.booleans(), INSTANCES), min_size=1, max_size=5)


def read_in_pieces(registry: EndpointRegistry, document, indent, piece_bytes: int):
    """Read a document in pieces of ``piece_bytes``; return its endpoints, or None if it is malformed."""
    reader = StreamingSnapshotReader(registry)
    text = json.dumps(document, indent=indent).encode() + b"\nrest"
    try:
        for start in range(0, len(text), piece_bytes):
            unread = reader.feed(text[start : start + piece_bytes])
            if unread is not None:
                break
        assert unread is not None
        assert b"rest".startswith(unread)
        updates = [change.update for change in reader.changes()]
    except DiscoveryError:
        return None
    return [endpoint for update in updates for endpoint in update.endpoints]


@settings(deadline=None, max_examples=60)
@given(DOCUMENTS, st.sampled_from([None, 2]), st.integers(1, 400))
def test_list_read_in_pieces_gives_the_same_as_one_read_at_once(documents, indent, piece_bytes):
    at_once = EndpointRegistry(SMALL_SUBSET)
    in_pieces = EndpointRegistry(SMALL_SUBSET)
    known = {}
    for generation, (reset, drawn) in enumerate(documents):
        instances = [{**make_instances(number)[0], **changed} for number, changed in drawn]
        document = {"generation": generation, "reset": reset, "instances": instances}
        endpoints = read_in_pieces(in_pieces, document, indent, piece_bytes)
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
        present = {name for name, state in known.items() if state is not EndpointLifecycle.GONE}
        assert present == set(in_pieces.rows) == set(in_pieces.numbers)
    listed_names = at_once.other_names | set(at_once.rows)
    if not at_once.needs_complete_snapshot():
        size = SMALL_SUBSET.size(len(listed_names))
        assert set(list(at_once.nearest)[:size]) == nearest_names(SMALL_SUBSET, listed_names, size)


async def test_complete_list_is_requested_once_too_many_of_the_nearest_endpoints_are_gone():
    async with client_of_thousand_endpoints() as (discovery, fake, watch, known):
        nearest = [int(name[2:]) for name in discovery.registry.nearest]
        gone = nearest[: SMALL_SUBSET.size(1000) + 1]
        watch.write(encode_chunk(encode_update(2, *make_instances(*gone, lifecycle="Gone"))))
        target, watch = await fake.next_watch()
        assert target == "/discovery/hosts?watch=1"
        remaining = sorted(set(range(1000)) - set(gone))
        watch.write(encode_chunk(encode_update(2, *make_instances(*remaining), reset=True)))
        await wait_until_read(discovery, 2)
        size = SMALL_SUBSET.size(len(remaining))
        assert nearest_names(SMALL_SUBSET, instance_names(remaining), size) <= set(known)
        assert not discovery.registry.needs_complete_snapshot()


def test_endpoint_beyond_the_reserve_is_known_and_keeps_its_number_when_it_becomes_one_of_the_nearest():
    registry = EndpointRegistry(SMALL_SUBSET)
    registry.read({"generation": 1, "reset": True, "instances": make_instances(*range(1000))})
    name = sorted(registry.other_names, key=SMALL_SUBSET.distance)[0]
    assert registry.is_known(name)
    assert registry.find(name) is None
    assert not registry.is_known("s-none")
    number = registry.number_of(name)
    gone = [int(nearest[2:]) for nearest in list(registry.nearest)[:3]]
    remaining = sorted(set(range(1000)) - set(gone))
    registry.read({"generation": 2, "reset": True, "instances": make_instances(*remaining)})
    assert registry.numbers[name] == number


# ---- The policy engine

LARGE_FLEET = replace(SETTINGS, gateways=GATEWAYS, index=17)
UNLIMITED = 1e9  # a concurrency limit that no test reaches


def make_endpoints(count: int) -> tuple[Endpoint, ...]:
    """Make ``count`` ready endpoints, numbered from 1."""
    return tuple(Endpoint(number, "a", name=f"s-{number}") for number in range(1, count + 1))


def make_large_fleet_harness() -> tuple[EngineHarness, list[int]]:
    """Make a gateway of a large fleet that knows its subset and its reserve.

    Returns:
        The harness, and the numbers of the servers in subset and reserve, the nearest first.
    """
    harness = EngineHarness(LARGE_FLEET)
    known = make_endpoints(2 * SUBSET_SIZE)
    harness.handle(EndpointUpdate(UpdateKind.SNAPSHOT, known, 1, SERVERS))
    harness.engine.mechanisms.concurrency.limit = UNLIMITED
    subset = harness.engine.subset
    ranked = sorted(known, key=lambda endpoint: subset.distance(endpoint.name))
    return harness, [endpoint.server for endpoint in ranked]


def ready_servers(harness: EngineHarness) -> set[int]:
    """Return the numbers of the servers that the gateway may send attempts to."""
    return {server.id for server in harness.engine.endpoints.ready}


def test_gateway_of_a_large_fleet_works_with_the_nearest_ready_servers_alone():
    harness, ranked = make_large_fleet_harness()
    assert ready_servers(harness) == set(ranked[:SUBSET_SIZE])
    draining = ranked[3:10]
    update = [Endpoint(number, "a", state=EndpointLifecycle.DRAINING) for number in draining]
    harness.update_endpoints(*update, kind=UpdateKind.DELTA)
    harness.engine.endpoints.listed_count = SERVERS
    harness.handle(EndpointUpdate(UpdateKind.DELTA, (), 2, SERVERS))
    assert ready_servers(harness) == set(ranked[: SUBSET_SIZE + 7]) - set(draining)
    assert harness.engine.endpoints.standby[-1].id == ranked[SUBSET_SIZE + 7]


def test_gateway_where_all_servers_fit_works_with_all_of_them():
    harness = EngineHarness(replace(SETTINGS, gateways=200, index=17))
    harness.handle(EndpointUpdate(UpdateKind.SNAPSHOT, make_endpoints(200)))
    assert len(harness.engine.endpoints.ready) == 200
    assert not harness.engine.endpoints.standby


def test_concurrency_limit_depends_on_all_listed_servers_not_on_those_that_are_known():
    harness = EngineHarness(LARGE_FLEET)
    harness.handle(EndpointUpdate(UpdateKind.CACHED, make_endpoints(2 * SUBSET_SIZE), 1, SERVERS))
    assert harness.engine.mechanisms.concurrency.limit == pytest.approx(6.0 * SERVERS / GATEWAYS)


@contextmanager
def only_ready_server(harness: EngineHarness, server: int):
    """Make this server the only one that requests go to."""
    endpoints = harness.engine.endpoints
    ready = endpoints.ready
    endpoints.ready = [state for state in ready if state.id == server]
    yield
    endpoints.ready = ready


def eject(harness: EngineHarness, server: int) -> None:
    """Fail requests to this server until it is ejected as an outlier."""
    for _ in range(4):
        harness.request_count += 1
        name = f"f{harness.request_count}"
        with only_ready_server(harness, server):
            actions = harness.handle(Request(name, "unsafe", "free", "c", 4000.0))
        attempts = [action for action in actions if isinstance(action, StartAttempt)]
        assert [attempt.server for attempt in attempts] == [server]
        harness.handle(Outcome(name, 0, server, AttemptStatus.RESET, 10.0))


def test_each_ejected_server_that_discovery_still_lists_is_replaced_from_the_reserve():
    harness, ranked = make_large_fleet_harness()
    for server in ranked[:5]:
        eject(harness, server)
    assert ready_servers(harness) == set(ranked[: SUBSET_SIZE + 5])
    harness.handle(EndpointUpdate(UpdateKind.DELTA, (), 2, SERVERS))  # Replacements stay after an update.
    assert ready_servers(harness) == set(ranked[: SUBSET_SIZE + 5])
    harness.run(60_000.0)
    for _ in range(100):  # The other servers are healthy.
        harness.finish(harness.send_request(class_name="unsafe"))
    # So many attempts imply that each server has had some since the ejection.
    harness.engine.mechanisms.clock.attempts += 100 * len(ranked)
    harness.handle(EndpointUpdate(UpdateKind.DELTA, (), 3, SERVERS))
    assert ready_servers(harness) == set(ranked[:SUBSET_SIZE])


def test_gateway_whose_complete_subset_refuses_connections_serves_from_its_reserve():
    harness, ranked = make_large_fleet_harness()
    down = set(ranked[:SUBSET_SIZE])
    served = 0
    for _ in range(1500):
        name = harness.send_request(timeout_ms=60_000.0)
        while name not in harness.answers and harness.sent.get(name):
            server = harness.sent[name][-1]
            harness.finish(name, AttemptStatus.CONNECT_FAILED if server in down else AttemptStatus.OK)
            served += harness.answers.get(name) == "Ok"
            if server in down and len(harness.sent[name]) == LARGE_FLEET.limits.max_attempts:
                break
        harness.run(5.0)
    assert served >= 1000


class ChangingFleetHarness(EngineHarness):
    """A gateway of a large fleet whose endpoint list changes all the time, with requests in flight.

    Attributes:
        attempts_outside_first_subset: The number of attempts on servers outside the first subset.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(replace(SETTINGS, gateways=380, index=17), seed)
        self.engine.endpoints.subset = SMALL_SUBSET
        self.registry = EndpointRegistry(SMALL_SUBSET)
        self.random = random.Random(seed)
        self.lifecycles = dict.fromkeys(range(400), "Ready")
        self.attempts_outside_first_subset = 0
        self.update_servers(sorted(self.lifecycles), is_snapshot=True)
        self.first_subset = ready_servers(self)

    def update_servers(self, numbers: list[int], *, is_snapshot: bool) -> None:
        """Apply an update with these servers: all servers in a snapshot, otherwise those that changed."""
        started_ms = int(self.now_ms) if self.random.random() < 0.3 else 0
        instances = [
            make_instance(f"s-{number}", 1, self.lifecycles[number], started_ms) for number in numbers
        ]
        document = {"generation": 1, "reset": is_snapshot, "instances": instances}
        self.handle(self.registry.read(document).update)

    def handle(self, event) -> list:
        """Handle an event; check that each attempt goes to a server that is ready and in the subset."""
        actions = super().handle(event)
        for action in actions:
            if isinstance(action, StartAttempt):
                self._check_attempt(action)
        return actions

    def _check_attempt(self, attempt: StartAttempt) -> None:
        (name,) = [name for name, number in self.registry.numbers.items() if number == attempt.server]
        assert self.registry.rows[name]["lifecycle"] == "Ready"
        assert attempt.server in ready_servers(self)
        self.attempts_outside_first_subset += attempt.server not in self.first_subset

    def step(self) -> None:
        """Run one random event (a request, an outcome or a change of the list), then let time pass."""
        draw = self.random.random()
        if draw < 0.4:
            self._send_random_request()
        elif draw < 0.7 and (in_flight := self.attempts_in_flight()):
            self._finish_one(in_flight)
        elif draw < 0.95:
            self._change_lifecycles()
        else:
            present = [number for number, state in self.lifecycles.items() if state != "Gone"]
            self.update_servers(present, is_snapshot=True)
        self.run(self.random.uniform(0.0, 40.0))

    def attempts_in_flight(self) -> list[tuple[str, int]]:
        """Return the request and the number of each attempt in flight."""
        return [
            (name, attempt) for name, request in self.engine.requests.items() for attempt in request.in_flight
        ]

    def _send_random_request(self) -> None:
        plan = self.random.choice(("free", "metered", "capped"))
        class_name = self.random.choice(("safe", "keyed", "unsafe"))
        self.send_request(plan, class_name, self.random.choice("abc"))

    def _finish_one(self, in_flight: list[tuple[str, int]]) -> None:
        name, attempt = self.random.choice(in_flight)
        status = self.random.choice(
            (AttemptStatus.OK, AttemptStatus.RESET, AttemptStatus.OVERLOADED, AttemptStatus.TIMEOUT)
        )
        self.finish(name, status, attempt)

    def _change_lifecycles(self) -> None:
        numbers = self.random.sample(sorted(self.lifecycles), 6)
        for number in numbers:
            self.lifecycles[number] = self.random.choice(("Ready", "Ready", "Terminating", "Gone"))
        self.update_servers(numbers, is_snapshot=False)
        assert len(ready_servers(self)) <= len(self.registry.rows)


@pytest.mark.parametrize("seed", range(10))
def test_every_request_is_answered_once_while_the_subset_changes_under_delays_retries_and_drains(seed):
    harness = ChangingFleetHarness(seed)
    for _ in range(600):
        harness.step()
        endpoints = harness.engine.endpoints
        assert {server.id for server in endpoints.by_id.values()} == set(harness.registry.numbers.values())
        assert len(endpoints.ready) <= 2 * SMALL_SUBSET.size(endpoints.listed_count)
    harness.run(10_000.0)
    for name, request in list(harness.engine.requests.items()):
        for attempt in list(request.in_flight):
            harness.finish(name, AttemptStatus.CANCELLED, attempt)
    assert not harness.engine.requests
    assert len(harness.answers) == harness.request_count
    assert harness.attempts_outside_first_subset >= 10


async def test_reply_of_an_endpoint_that_left_the_subset_is_served_and_retries_go_elsewhere():
    slow, other = FakeUpstream(lambda _: None), FakeUpstream()
    async with run_gateway(slow) as gateway:
        first_client = await gateway.connect_client()
        first_client.send(encode_call(1))
        await slow.wait_until(lambda: len(slow.commands) == 1)
        await other.start()
        # The slow server is no longer in the subset.
        gone = replace(slow.endpoint(1)[0], state=EndpointLifecycle.GONE), ("", 0)
        gateway.update_endpoints(gone, other.endpoint(2), kind=UpdateKind.DELTA)
        assert await (await gateway.connect_client()).request(encode_call(2)) == b"0000000000000002"
        slow.writers[0].write(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
        assert await first_client.read_reply() == b"v"
        assert len(slow.commands) == 1
        await wait_until(lambda: not gateway.driver.active_requests)
