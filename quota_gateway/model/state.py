"""What a gateway knows of customers, endpoints and pending requests: types alone, nothing decided."""

from __future__ import annotations

from math import ceil, inf
from typing import NamedTuple

from quota_gateway.model.events import AttemptStatus, Endpoint, EndpointLifecycle, Request
from quota_gateway.model.settings import Plan, RequestClass


class Moment(NamedTuple):
    """When a statistic was updated: the time, and how many attempts this gateway had started."""

    at_ms: float
    attempts: int


class FailureRecord(NamedTuple):
    """Failures and all outcomes, both decayed, and when they were updated."""

    failures: float
    outcomes: float
    updated: Moment


NEVER = Moment(-inf, 0)
NO_RECORD = FailureRecord(0.0, 0.0, NEVER)  # of an endpoint that has had no outcome yet


class EndpointRecord(NamedTuple):
    """What a process leaves of an endpoint to the next: its start and what it has shown."""

    started_ms: float
    relative_latency: float
    relative_latency_at: Moment
    failures: dict[str, FailureRecord]


class CustomerState:
    """What this gateway knows of one customer: its excess, its reported usage, its attempts in flight.

    Attributes:
        excess: Thousandths of a unit in the leaky bucket, as of ``excess_at_ms``.
        largest_units: Units of the largest request seen.
        usage: Use by all gateways as a share of the quota, as last reported at ``usage_at_ms``.
        contended_until_ms: Until when the places under its in-flight cap are rotated.
        offered: Units (under a rate) or requests (under a cap) offered lately, rejected ones included.
        in_flight: Attempts in flight from this process.
        peer_in_flight: Attempts in flight from the peer process of this gateway.
        ceiling_level: Units in this gateway's share of the hard ceiling, as of ``ceiling_at_ms``.
    """

    __slots__ = (
        "ceiling_at_ms",
        "ceiling_level",
        "contended_until_ms",
        "excess",
        "excess_at_ms",
        "gateway_set_size",
        "in_flight",
        "largest_units",
        "offered",
        "offered_at_ms",
        "peer_in_flight",
        "usage",
        "usage_at_ms",
    )

    def __init__(self, now_ms: float, ceiling_level: float) -> None:
        self.excess = 0.0
        self.excess_at_ms = now_ms
        self.largest_units = 0.0
        self.gateway_set_size = 1
        self.usage = 0.0
        self.usage_at_ms = -inf
        self.contended_until_ms = -inf
        self.offered = 0.0
        self.offered_at_ms = now_ms
        self.in_flight = 0
        self.peer_in_flight = 0
        self.ceiling_level = ceiling_level
        self.ceiling_at_ms = now_ms

    def total_in_flight(self) -> int:
        """Attempts in flight from both processes of this gateway."""
        return self.in_flight + self.peer_in_flight


class EndpointState:
    """What this gateway knows of one endpoint.

    Attributes:
        distance: How far behind this gateway it stands, see ``Subset.distance``.
        in_flight: Attempts in flight, by request id and number.
        relative_latency: Its latency relative to the mean of the requests' class and size.
        queue_length: Requests that it last reported as waiting.
        failures: Failure records by key: "" for all requests, or a class, or a class of a plan.
        is_listed: Whether discovery lists it as ready.
        is_ready: Whether it may be sent requests: it is listed and not detached.
    """

    __slots__ = (
        "cell",
        "distance",
        "failures",
        "id",
        "in_flight",
        "is_listed",
        "is_ready",
        "queue_length",
        "queue_length_at",
        "relative_latency",
        "relative_latency_at",
        "started_ms",
        "zone",
    )

    def __init__(self, endpoint: Endpoint, distance: float) -> None:
        self.id = endpoint.server
        self.distance = distance
        self.in_flight: set[tuple[str, int]] = set()
        self.reset()
        self.update(endpoint)

    def reset(self) -> None:
        """Forget what a process that has ended has shown."""
        self.relative_latency = 1.0
        self.relative_latency_at = NEVER
        self.queue_length = 0.0
        self.queue_length_at = NEVER
        self.failures: dict[str, FailureRecord] = {}

    def update(self, endpoint: Endpoint) -> None:
        """Take over what discovery says."""
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.started_ms = endpoint.started_ms
        self.is_listed = endpoint.state is EndpointLifecycle.READY
        self.is_ready = self.is_listed

    def export(self) -> EndpointRecord:
        """What the next process has to know of it."""
        return EndpointRecord(self.started_ms, self.relative_latency, self.relative_latency_at, self.failures)

    def restore(self, record: EndpointRecord) -> None:
        """Go on from what the process before knew of it; a later start stays."""
        self.started_ms = max(self.started_ms, record.started_ms)
        self.relative_latency = record.relative_latency
        self.relative_latency_at = record.relative_latency_at
        self.failures = record.failures


Endpoints = list[EndpointState]


class DetectedOutlier(NamedTuple):
    """An endpoint that has failed too often: under which key, and how the last attempt ended."""

    endpoint: EndpointState
    key: str
    reason: str


class RunningAttempt(NamedTuple):
    """An attempt in flight, or one that may have been executed."""

    endpoint: EndpointState
    started_ms: float


class PendingRequest:
    """A request that is delayed, queued or in flight, or answered with attempts still in flight.

    Attributes:
        size: Units, rounded up: latencies are kept for each size.
        failure_keys: Keys of the failure records it counts for: all, its class, its class and plan.
        slow_start_draw: Drawn once for the request, 0 to 1: says which warming endpoint it may go to.
        was_delivered: Whether an endpoint may have received an attempt whole.
        had_error: Whether an endpoint has answered, but with an error.
        timer_tokens: Timers that are for this request alone.
        is_contended: Whether the places under the in-flight cap seem to be taken elsewhere.
        is_delayed: Whether it waits for the leaky bucket, whose timer releases it.
        first_executed: The first attempt that may have been executed.
    """

    __slots__ = (
        "arrived_ms",
        "attempts",
        "customer",
        "deadline_ms",
        "failure_keys",
        "first_executed",
        "had_error",
        "in_flight",
        "is_closed",
        "is_contended",
        "is_delayed",
        "is_streaming",
        "plan",
        "request",
        "request_class",
        "size",
        "slow_start_draw",
        "timer_tokens",
        "tried_endpoints",
        "was_delivered",
    )

    def __init__(
        self,
        request: Request,
        request_class: RequestClass,
        plan: Plan,
        customer: CustomerState,
        now_ms: float,
        slow_start_draw: float,
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.plan = plan
        self.customer = customer
        self.arrived_ms = now_ms
        self.deadline_ms = now_ms + request.timeout_ms
        self.size = ceil(request.units)
        class_key = f"class {request_class.name}"
        self.failure_keys = ("", class_key, f"{class_key} of plan {plan.name}")
        self.attempts = 0
        self.slow_start_draw = slow_start_draw
        self.in_flight: dict[int, RunningAttempt] = {}
        self.tried_endpoints: set[int] = set()
        self.was_delivered = False
        self.is_closed = False
        self.is_streaming = False
        self.had_error = False
        self.timer_tokens: list[int] = []
        self.is_contended = False
        self.is_delayed = False
        self.first_executed: RunningAttempt | None = None

    def start_attempt(self, endpoint: EndpointState, now_ms: float) -> int:
        """Account for a new attempt, here and at its endpoint and customer; its number."""
        number = self.attempts
        self.attempts += 1
        self.tried_endpoints.add(endpoint.id)
        self.in_flight[number] = RunningAttempt(endpoint, now_ms)
        self.customer.in_flight += 1
        endpoint.in_flight.add((self.request.request_id, number))
        return number

    def end_attempt(self, number: int, status: AttemptStatus) -> RunningAttempt:
        """Account for the end of an attempt in flight."""
        attempt = self.in_flight.pop(number)
        attempt.endpoint.in_flight.discard((self.request.request_id, number))
        self.customer.in_flight -= 1
        if status not in (AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT):
            self.was_delivered = True
        return attempt
