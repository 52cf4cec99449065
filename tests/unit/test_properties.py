"""The service rules as properties: they hold for any sequence of events within bounds."""

from hypothesis import given, settings
from hypothesis import strategies as st

from quota_gateway import (
    AttemptStatus,
    ClientDisconnected,
    EndpointLifecycle,
    Idempotency,
    Outcome,
    UpdateKind,
)
from tests.support.engine_harness import SETTINGS, EngineHarness, make_endpoint

MAX_ATTEMPTS = 3
ANSWER_SLACK_MS = 8.0
CEILING_BURST_UNITS = 10.0  # at one of two gateways
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
STEPS = st.one_of(
    st.tuples(
        st.just("request"),
        st.sampled_from(PLAN_NAMES),
        st.sampled_from(CLASS_NAMES),
        st.floats(20.0, 4000.0),
        st.integers(1, 4),
    ),
    st.tuples(st.just("outcome"), st.integers(0, 50), st.sampled_from(FAILURE_STATUSES)),
    st.tuples(st.just("outcome"), st.integers(0, 50), st.just(AttemptStatus.OK)),
    st.tuples(st.just("wait"), st.floats(0.0, 900.0)),
    st.tuples(st.just("endpoint"), st.integers(1, 4), st.sampled_from(list(EndpointLifecycle))),
    st.tuples(st.just("disconnect"), st.integers(0, 50)),
)


class RuleChecker(EngineHarness):
    """Keeps its own record of every request and checks each attempt and answer against the rules."""

    def __init__(self):
        super().__init__()
        self.requests = {}  # class, plan, units and deadline, by request
        self.in_flight = {}  # number, server and start of the attempt, by request; None once it has ended
        self.possibly_executed_at = {}  # start of the first such attempt, by request
        self.ready = set()
        self.closed = set()  # requests that are answered or whose client has disconnected
        self.ceiling_usage = []  # time and units of each forwarded request under the ceiling

    def do(self, event):
        """Hand over an event and check what the engine does."""
        attempts_before = {request_id: len(servers) for request_id, servers in self.sent.items()}
        answered_before = set(self.answers)
        actions = super().do(event)
        for request_id, servers in self.sent.items():
            before = attempts_before.get(request_id, 0)
            if len(servers) > before:
                self.check_attempt(request_id, servers, before)
        for request_id in set(self.answers) - answered_before:
            self.check_answer(request_id)
        return actions

    def check_attempt(self, request_id, servers, attempts_before):
        """Check that an attempt was allowed: its number, endpoint, time, idempotency and ceiling."""
        _, plan, units, deadline = self.requests[request_id]
        assert len(servers) == attempts_before + 1 <= MAX_ATTEMPTS
        assert not self.in_flight.get(request_id)
        assert request_id not in self.closed
        assert servers[-1] in self.ready
        assert self.now < deadline
        self.check_idempotency(request_id)
        self.in_flight[request_id] = (len(servers) - 1, servers[-1], self.now)
        if attempts_before == 0 and plan == "ceiling":
            self.ceiling_usage.append((self.now, units))
            self.check_ceiling()

    def check_idempotency(self, request_id):
        """Check that the request may be repeated, if it may have been executed before."""
        executed_at = self.possibly_executed_at.get(request_id)
        if executed_at is None:
            return
        request_class = self.requests[request_id][0]
        assert request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        if request_class.idempotency is Idempotency.KEYED:
            assert self.now - executed_at < request_class.idempotency_window_ms

    def check_ceiling(self):
        """Check that no period until now has exceeded the burst and rate of the ceiling."""
        for start, _ in self.ceiling_usage:
            used = sum(units for time, units in self.ceiling_usage if time >= start)
            refilled = CEILING_UNITS_PER_SECOND * (self.now - start) / 1000.0
            assert used <= CEILING_BURST_UNITS + refilled + ROUNDING_UNITS

    def check_answer(self, request_id):
        """Check that an answer is in time and the only one, and that a rejected request is safe to retry."""
        request_class, _, _, deadline = self.requests[request_id]
        assert self.now <= deadline + ANSWER_SLACK_MS
        assert request_id not in self.closed
        self.closed.add(request_id)
        possibly_executed = self.possibly_executed_at.get(request_id) is not None or self.in_flight.get(
            request_id
        )
        if self.answers[request_id] == "Reject" and possibly_executed:
            is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
            assert is_idempotent or request_class.name == "keyed-all"

    def step(self, step):
        """Carry out one generated step."""
        kind, *arguments = step
        if kind == "request":
            self.send_request(*arguments)
        elif kind == "wait":
            self.run(*arguments)
        elif kind == "endpoint":
            self.update_endpoint(*arguments)
        elif kind == "disconnect":
            self.disconnect_client(*arguments)
        elif kind == "outcome":
            self.end_some_attempt(*arguments)

    def send_request(self, plan, class_name, timeout_ms, units):
        """Record a new request and send it."""
        request_id = f"r{self.count + 1}"
        request_class = self.gateway.classes[class_name]
        self.requests[request_id] = (request_class, plan, units, self.now + timeout_ms)
        self.ask(plan, class_name, timeout_ms=timeout_ms, units=units)

    def update_endpoint(self, number, lifecycle):
        """Deliver an update of one endpoint."""
        if lifecycle is EndpointLifecycle.READY:
            self.ready.add(number)
        else:
            self.ready.discard(number)
        self.servers(make_endpoint(number, "ab"[number % 2], state=lifecycle), kind=UpdateKind.DELTA)

    def disconnect_client(self, index):
        """Disconnect the client of one open request, if there is any."""
        open_requests = [request_id for request_id in self.requests if request_id not in self.closed]
        if open_requests:
            request_id = open_requests[index % len(open_requests)]
            self.closed.add(request_id)
            self.do(ClientDisconnected(request_id))

    def end_some_attempt(self, index, status):
        """End one of the attempts in flight, if there is any."""
        in_flight = [request_id for request_id, attempt in self.in_flight.items() if attempt]
        if in_flight:
            self.end_attempt(in_flight[index % len(in_flight)], status)

    def end_attempt(self, request_id, status):
        """End the attempt in flight of a request."""
        number, server, started_at = self.in_flight[request_id]
        self.in_flight[request_id] = None
        if status in POSSIBLY_EXECUTED and self.possibly_executed_at.get(request_id) is None:
            self.possibly_executed_at[request_id] = started_at
        is_closed = status is AttemptStatus.OK or request_id in self.closed
        if is_closed:
            self.closed.add(request_id)
        self.do(Outcome(request_id, number, server, status, self.now - started_at, is_closed))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(STEPS, min_size=5, max_size=60))
def test_rules_hold_and_every_request_is_answered(steps):
    checker = RuleChecker()
    for number in (1, 2):
        checker.step(("endpoint", number, EndpointLifecycle.READY))
    for step in steps:
        checker.step(step)
    checker.run(5000.0)
    assert set(checker.requests) == checker.closed
