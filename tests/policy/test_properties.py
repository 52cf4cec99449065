"""Property tests of the service rules: each holds for any bounded sequence of events."""

from dataclasses import dataclass
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from quota_gateway import (
    AttemptStatus,
    ClientDisconnected,
    EndpointLifecycle,
    Idempotency,
    Outcome,
    RequestClass,
    UpdateKind,
)
from tests.support.engine_harness import SETTINGS, EngineHarness, make_endpoint

MAX_ATTEMPTS = 3
ANSWER_SLACK_MS = 8.0
CEILING_BURST_UNITS = 10.0  # the share of one of two gateways
CEILING_UNITS_PER_SECOND = 5.0
ROUNDING_UNITS = 1e-6

PLAN_NAMES = [plan.name for plan in SETTINGS.plans]
CLASS_NAMES = [request_class.name for request_class in SETTINGS.classes]
FAILURE_STATUSES = [status for status in AttemptStatus if status is not AttemptStatus.OK]
POSSIBLY_EXECUTED = {
    AttemptStatus.ERROR,
    AttemptStatus.TIMEOUT,
    AttemptStatus.RESET,
    AttemptStatus.CANCELLED,
}


@dataclass(frozen=True)
class SendRequest:
    """A client sends a new request."""

    plan: str
    class_name: str
    timeout_ms: float
    units: int


@dataclass(frozen=True)
class EndAttempt:
    """One of the attempts in flight ends, if there is any."""

    index: int
    status: AttemptStatus


@dataclass(frozen=True)
class Wait:
    """Time passes."""

    duration_ms: float


@dataclass(frozen=True)
class UpdateEndpoint:
    """Discovery reports the state of an endpoint."""

    number: int
    lifecycle: EndpointLifecycle


@dataclass(frozen=True)
class DisconnectClient:
    """The client of one open request disconnects, if there is any."""

    index: int


Step = SendRequest | EndAttempt | Wait | UpdateEndpoint | DisconnectClient
STEPS = st.one_of(
    st.builds(
        SendRequest,
        st.sampled_from(PLAN_NAMES),
        st.sampled_from(CLASS_NAMES),
        st.floats(20.0, 4000.0),
        st.integers(1, 4),
    ),
    st.builds(EndAttempt, st.integers(0, 50), st.sampled_from(FAILURE_STATUSES)),
    st.builds(EndAttempt, st.integers(0, 50), st.just(AttemptStatus.OK)),
    st.builds(Wait, st.floats(0.0, 900.0)),
    st.builds(UpdateEndpoint, st.integers(1, 4), st.sampled_from(list(EndpointLifecycle))),
    st.builds(DisconnectClient, st.integers(0, 50)),
)


class RequestRecord(NamedTuple):
    """The checker's record of a request."""

    request_class: RequestClass
    plan: str
    units: int
    deadline_ms: float


class AttemptRecord(NamedTuple):
    """The checker's record of an attempt in flight."""

    number: int
    server: int
    started_ms: float


class CeilingUsage(NamedTuple):
    """The units of a request that was forwarded under the ceiling, and the time of its first attempt."""

    time_ms: float
    units: int


class RuleChecker(EngineHarness):
    """Keeps its own record of every request and checks each attempt and answer against the rules."""

    def __init__(self):
        super().__init__()
        self.requests: dict[str, RequestRecord] = {}
        self.in_flight: dict[str, AttemptRecord] = {}
        # By request, the start time of its first attempt that may have been executed.
        self.possibly_executed_at: dict[str, float] = {}
        self.ready: set[int] = set()
        self.closed: set[str] = set()  # requests that are answered or whose client has disconnected
        self.ceiling_usage: list[CeilingUsage] = []

    def handle(self, event):
        """Pass an event to the engine, and check the attempts and answers that follow."""
        attempts_before = {request_id: len(servers) for request_id, servers in self.sent.items()}
        answered_before = set(self.answers)
        actions = super().handle(event)
        for request_id, servers in self.sent.items():
            before = attempts_before.get(request_id, 0)
            if len(servers) > before:
                self.check_attempt(request_id, servers, before)
        for request_id in set(self.answers) - answered_before:
            self.check_answer(request_id)
        return actions

    def check_attempt(self, request_id, servers, attempts_before):
        """Check that an attempt was allowed: its number, endpoint, time, idempotency and ceiling."""
        record = self.requests[request_id]
        assert len(servers) == attempts_before + 1 <= MAX_ATTEMPTS
        assert request_id not in self.in_flight
        assert request_id not in self.closed
        assert servers[-1] in self.ready
        assert self.now_ms < record.deadline_ms
        self.check_idempotency(request_id)
        self.in_flight[request_id] = AttemptRecord(attempts_before, servers[-1], self.now_ms)
        if attempts_before == 0 and record.plan == "ceiling":
            self.ceiling_usage.append(CeilingUsage(self.now_ms, record.units))
            self.check_ceiling()

    def check_idempotency(self, request_id):
        """Check that the request may be repeated, if it may have been executed before."""
        executed_at = self.possibly_executed_at.get(request_id)
        if executed_at is None:
            return
        request_class = self.requests[request_id].request_class
        assert request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        if request_class.idempotency is Idempotency.KEYED:
            assert self.now_ms - executed_at < request_class.idempotency_window_ms

    def check_ceiling(self):
        """Check that the units used in each period until now are within the burst and rate of the ceiling."""
        for first in self.ceiling_usage:
            used = sum(usage.units for usage in self.ceiling_usage if usage.time_ms >= first.time_ms)
            refilled = CEILING_UNITS_PER_SECOND * (self.now_ms - first.time_ms) / 1000.0
            assert used <= CEILING_BURST_UNITS + refilled + ROUNDING_UNITS

    def check_answer(self, request_id):
        """Check that an answer is in time and the only one, and that a rejected request is safe to retry."""
        record = self.requests[request_id]
        assert self.now_ms <= record.deadline_ms + ANSWER_SLACK_MS
        assert request_id not in self.closed
        self.closed.add(request_id)
        possibly_executed = request_id in self.possibly_executed_at or request_id in self.in_flight
        if self.answers[request_id] == "Reject" and possibly_executed:
            is_idempotent = record.request_class.idempotency is Idempotency.IDEMPOTENT
            assert is_idempotent or record.request_class.name == "keyed-all"

    def step(self, step: Step):
        """Carry out one generated step."""
        match step:
            case SendRequest():
                self.record_and_send(step)
            case EndAttempt(index, status):
                self.end_some_attempt(index, status)
            case Wait(duration_ms):
                self.run(duration_ms)
            case UpdateEndpoint(number, lifecycle):
                self.update_endpoint(number, lifecycle)
            case DisconnectClient(index):
                self.disconnect_client(index)

    def record_and_send(self, step):
        """Record a new request and send it."""
        request_id = f"r{self.request_count + 1}"
        request_class = next(item for item in self.settings.classes if item.name == step.class_name)
        deadline_ms = self.now_ms + step.timeout_ms
        self.requests[request_id] = RequestRecord(request_class, step.plan, step.units, deadline_ms)
        self.send_request(step.plan, step.class_name, timeout_ms=step.timeout_ms, units=step.units)

    def update_endpoint(self, number, lifecycle):
        """Deliver an update of one endpoint."""
        if lifecycle is EndpointLifecycle.READY:
            self.ready.add(number)
        else:
            self.ready.discard(number)
        self.update_endpoints(make_endpoint(number, "ab"[number % 2], state=lifecycle), kind=UpdateKind.DELTA)

    def disconnect_client(self, index):
        """Disconnect the client of one open request, if there is any."""
        open_requests = [request_id for request_id in self.requests if request_id not in self.closed]
        if open_requests:
            request_id = open_requests[index % len(open_requests)]
            self.closed.add(request_id)
            self.handle(ClientDisconnected(request_id))

    def end_some_attempt(self, index, status):
        """End one of the attempts in flight, if there is any."""
        in_flight = list(self.in_flight)
        if in_flight:
            self.end_attempt(in_flight[index % len(in_flight)], status)

    def end_attempt(self, request_id, status):
        """End the attempt in flight of a request."""
        attempt = self.in_flight.pop(request_id)
        if status in POSSIBLY_EXECUTED and request_id not in self.possibly_executed_at:
            self.possibly_executed_at[request_id] = attempt.started_ms
        is_closed = status is AttemptStatus.OK or request_id in self.closed
        if is_closed:
            self.closed.add(request_id)
        latency_ms = self.now_ms - attempt.started_ms
        self.handle(Outcome(request_id, attempt.number, attempt.server, status, latency_ms, is_closed))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(STEPS, min_size=5, max_size=60))
def test_rules_hold_and_every_request_is_answered(steps):
    checker = RuleChecker()
    for number in (1, 2):
        checker.step(UpdateEndpoint(number, EndpointLifecycle.READY))
    for step in steps:
        checker.step(step)
    checker.run(5000.0)
    assert set(checker.requests) == checker.closed
