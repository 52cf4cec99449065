"""Test harness for the policy engine: sends events, records actions and fires timers of a scripted clock."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from quota_gateway import (
    Action,
    AttemptStatus,
    Endpoint,
    EndpointUpdate,
    Event,
    Fail,
    GatewayLimits,
    Idempotency,
    IdempotencyScope,
    Outcome,
    Plan,
    PolicyEngine,
    Reject,
    Request,
    RequestClass,
    ServiceRules,
    SetTimer,
    Settings,
    StartAttempt,
    TimerFired,
    UpdateKind,
)

CLASSES = (
    RequestClass("safe", 2000.0, 4000.0, Idempotency.IDEMPOTENT),
    RequestClass(
        "keyed",
        2000.0,
        4000.0,
        Idempotency.KEYED,
        idempotency_scope=IdempotencyScope.ZONE,
        idempotency_window_ms=3000.0,
    ),
    RequestClass(
        "keyed-all",
        2000.0,
        4000.0,
        Idempotency.KEYED,
        idempotency_scope=IdempotencyScope.ALL,
        idempotency_window_ms=3000.0,
    ),
    RequestClass(
        "keyed-cell",
        2000.0,
        4000.0,
        Idempotency.KEYED,
        idempotency_scope=IdempotencyScope.CELL,
        idempotency_window_ms=3000.0,
    ),
    RequestClass("unsafe", 2000.0, 4000.0, Idempotency.NON_IDEMPOTENT),
)
# Tests that need this class add it to CLASSES.
HIGH_PRIORITY = RequestClass("dear", 1000.0, 4000.0, Idempotency.NON_IDEMPOTENT, priority_weight=4.0)
PLANS = (
    Plan("metered", rate=10.0, burst=8.0),
    Plan("capped", rate=10.0, burst=100.0, max_in_flight=4),
    Plan("ceiling", rate=100.0, burst=1000.0, ceiling_rate=10.0, ceiling_burst=20.0, ceiling_slack=2.0),
    Plan("free"),
    Plan("only-cap", max_in_flight=2),
    Plan("capped-wide", max_in_flight=60),
)
SETTINGS = Settings(
    gateways=2,
    index=0,
    zone="a",
    classes=CLASSES,
    plans=PLANS,
    limits=GatewayLimits(max_attempts=3, can_cancel=True),
    service_rules=ServiceRules(8.0, 500.0, 0.2, 10_000.0, 3.0, 2000.0, 10_000.0),
    usage_period_ms=1000.0,
    max_request_units=4,
    tick_ms=2.0,
)


class EngineHarness:
    """A policy engine with a scripted clock and a record of its actions.

    Attributes:
        engine: The engine under test.
        now_ms: Time of the clock in milliseconds.
        settings: Settings of the engine.
        timers: Due time in milliseconds and token of each timer that has not fired.
        sent: Servers of the attempts of each request, in order, by request id.
        answers: Name of the action that answered each request, or ``Ok``, by request id.
        request_count: Number of requests sent to the engine.
    """

    def __init__(self, settings: Settings = SETTINGS, seed: int = 1) -> None:
        self.engine, self.now_ms = PolicyEngine(settings, seed), 1000.0
        self.settings = settings
        self.timers: list[tuple[float, int]] = []
        self.sent: dict[str, list[int]] = {}
        self.answers: dict[str, str] = {}
        self.request_count = 0

    def handle(self, event: Event) -> list[Action]:
        """Pass an event to the engine; record timers, attempts and answers, and return all actions."""
        actions = self.engine.handle(self.now_ms, event)
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now_ms + action.delay_ms, action.token))
            elif isinstance(action, StartAttempt):
                assert action.request_id not in self.answers, "attempt started after the answer"
                self.sent.setdefault(action.request_id, []).append(action.server)
            elif isinstance(action, (Reject, Fail)):
                assert action.request_id not in self.answers, "request answered twice"
                self.answers[action.request_id] = type(action).__name__
        return actions

    def update_endpoints(self, *endpoints: Endpoint, kind: UpdateKind = UpdateKind.SNAPSHOT) -> list[Action]:
        """Send an endpoint update to the engine and return its actions."""
        return self.handle(EndpointUpdate(kind, endpoints))

    def send_request(
        self,
        plan: str = "free",
        class_name: str = "safe",
        customer: str = "c",
        timeout_ms: float = 4000.0,
        units: float = 1,
        gateway_set_size: int = 2,
    ) -> str:
        """Send a new request to the engine and return the request's id."""
        self.request_count += 1
        request_id = f"r{self.request_count}"
        self.handle(Request(request_id, class_name, plan, customer, timeout_ms, units, gateway_set_size))
        return request_id

    def finish(
        self,
        request_id: str,
        status: AttemptStatus = AttemptStatus.OK,
        attempt: int | None = None,
        used: float | None = None,
        units: float | None = None,
        latency: float = 50.0,
    ) -> list[Action]:
        """Send the outcome of an attempt, by default of the last one, and return the engine's actions."""
        attempt = len(self.sent[request_id]) - 1 if attempt is None else attempt
        server = self.sent[request_id][attempt]
        if status is AttemptStatus.OK:
            self.answers.setdefault(request_id, "Ok")
        return self.handle(
            Outcome(request_id, attempt, server, status, latency, status is AttemptStatus.OK, used, units)
        )

    def run(self, ms: float) -> None:
        """Advance the clock by ``ms`` milliseconds and fire the timers that become due."""
        end = self.now_ms + ms
        while due := [timer for timer in self.timers if timer[0] <= end]:
            next_timer = min(due)
            self.timers.remove(next_timer)
            self.now_ms = max(self.now_ms, next_timer[0])
            self.handle(TimerFired(next_timer[1]))
        self.now_ms = end


def make_endpoint(number: int, zone: str = "a", **fields: Any) -> Endpoint:
    """Make an endpoint, which is ready unless its fields are set otherwise."""
    return Endpoint(number, zone, **fields)


def make_harness(**changes: Any) -> EngineHarness:
    """Make a harness with some fields of ``SETTINGS`` replaced."""
    return EngineHarness(replace(SETTINGS, **changes))
