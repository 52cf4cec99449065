"""A request from its arrival until it is answered and none of its attempts is in flight."""

from __future__ import annotations

from enum import Enum
from math import ceil
from typing import NamedTuple

from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.endpoint_state import EndpointState
from quota_gateway.model.events import AttemptStatus, Request
from quota_gateway.model.settings import Plan, RequestClass


class RequestState(Enum):
    """Where a request is on its way; the transitions are in ``policy/request_lifecycle.py``.

    ADMITTED lasts until the request is scheduled, in the same event. DELAYED waits for the leaky bucket,
    QUEUED for a limit or an endpoint. IN_FLIGHT has started an attempt. STREAMING has a reply on its way to
    the client. ANSWERED has its final answer, and perhaps attempts in flight; ANSWERED_BY_STREAM has been
    STREAMING besides.
    """

    ADMITTED = "admitted"
    DELAYED = "delayed"
    QUEUED = "queued"
    IN_FLIGHT = "in flight"
    STREAMING = "streaming"
    ANSWERED = "answered"
    ANSWERED_BY_STREAM = "answered by stream"


class RunningAttempt(NamedTuple):
    """An attempt in flight, or one that may have been executed."""

    endpoint: EndpointState
    started_ms: float


class FailureKeys(NamedTuple):
    """The keys of the failure records that a request's outcomes count for, the widest first."""

    all_requests: str
    request_class: str
    class_of_plan: str


class PendingRequest:
    """A request that is delayed, queued or in flight, or answered with attempts still in flight.

    Attributes:
        request: The event by which it arrived.
        request_class: Its class.
        plan: Its customer's plan.
        customer: The state of its customer.
        state: Where it is on its way.
        arrived_ms: Clock time of its arrival.
        deadline_ms: Clock time at which its final answer is due at the latest.
        attempts: How many attempts have been started.
        in_flight: Attempts in flight, by number.
        tried_endpoints: Ids of the endpoints that an attempt was started at.
        size: Units, rounded up: latencies are kept for each size.
        failure_keys: Keys of the failure records that it counts for.
        random_draw: Drawn at random once for the request, from 0 to below 1: decides which warming
            endpoint it may go to, and whether a fraction of the concurrency limit admits it.
        was_delivered: Whether an endpoint may have received an attempt whole.
        had_error: Whether an endpoint has answered, but with an error.
        timer_tokens: Tokens of the timers that were set for this request.
        is_contended: Whether, at its arrival, other gateways seemed to use the slots under the in-flight cap.
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
        "is_contended",
        "plan",
        "random_draw",
        "request",
        "request_class",
        "size",
        "state",
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
        random_draw: float,
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.plan = plan
        self.customer = customer
        self.arrived_ms = now_ms
        self.deadline_ms = now_ms + request.timeout_ms
        self.size = ceil(request.units)
        class_key = f"class {request_class.name}"
        self.failure_keys = FailureKeys("", class_key, f"{class_key} of plan {plan.name}")
        self.state = RequestState.ADMITTED
        self.attempts = 0
        self.random_draw = random_draw
        self.in_flight: dict[int, RunningAttempt] = {}
        self.tried_endpoints: set[int] = set()
        self.was_delivered = False
        self.had_error = False
        self.timer_tokens: list[int] = []
        self.is_contended = False
        self.first_executed: RunningAttempt | None = None

    @property
    def is_answered(self) -> bool:
        """Whether the final answer is given, or not owed any more."""
        return self.state is RequestState.ANSWERED or self.state is RequestState.ANSWERED_BY_STREAM

    @property
    def is_streaming(self) -> bool:
        """Whether a streamed reply has begun, also if it is complete."""
        return self.state is RequestState.STREAMING or self.state is RequestState.ANSWERED_BY_STREAM

    def start_attempt(self, endpoint: EndpointState, now_ms: float) -> int:
        """Account for a new attempt, here and at its endpoint and customer; return its number, from 0."""
        number = self.attempts
        self.attempts += 1
        self.tried_endpoints.add(endpoint.id)
        self.in_flight[number] = RunningAttempt(endpoint, now_ms)
        self.customer.in_flight += 1
        endpoint.in_flight.add((self.request.request_id, number))
        return number

    def end_attempt(self, number: int, status: AttemptStatus) -> RunningAttempt:
        """Account for the end of an attempt in flight, and return it.

        Raises:
            KeyError: No attempt of this number is in flight.
        """
        attempt = self.in_flight.pop(number)
        attempt.endpoint.in_flight.discard((self.request.request_id, number))
        self.customer.in_flight -= 1
        if status not in (AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT):
            self.was_delivered = True
        return attempt
