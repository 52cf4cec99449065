"""A pending request, from its arrival until it is answered and none of its attempts is in flight."""

from __future__ import annotations

from enum import Enum
from math import ceil
from typing import NamedTuple

from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.endpoint_state import EndpointState
from quota_gateway.model.events import AttemptStatus, Request
from quota_gateway.model.settings import Plan, RequestClass


class RequestState(Enum):
    """The state of a request; the transitions are in ``policy/request_lifecycle.py``.

    Attributes:
        ADMITTED: Admitted; scheduled or delayed within the same event.
        DELAYED: Waits for the leaky bucket.
        QUEUED: Waits for a limit or an endpoint.
        IN_FLIGHT: An attempt has been started.
        STREAMING: A reply is being streamed to the client.
        ANSWERED: The final answer has been given; attempts may still be in flight.
        ANSWERED_BY_STREAM: The same as ANSWERED, after STREAMING.
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


class ExecutedRequest(NamedTuple):
    """A request that has ended and may have run, by its clock times in milliseconds."""

    arrived_ms: float
    ended_ms: float


class FailureKeys(NamedTuple):
    """The keys of the failure records in which a request's outcomes are counted, the widest first."""

    all_requests: str
    request_class: str
    class_of_plan: str


class PendingRequest:
    """A request that is delayed, queued or in flight, or answered with attempts still in flight.

    Attributes:
        request: Event of the request's arrival.
        request_class: Class of the request.
        plan: Plan of the customer.
        customer: State of the customer.
        state: State of the request.
        arrived_ms: Clock time of the arrival.
        deadline_ms: Clock time by which the final answer is due.
        attempts: Number of attempts started.
        in_flight: Attempts in flight, by number.
        tried_endpoints: Ids of the endpoints at which an attempt was started.
        size: Units, rounded up; mean latencies are kept for each size.
        failure_keys: Keys of the failure records in which the request's outcomes are counted.
        random_draw: Random number from 0 to below 1 that is drawn once for the request. It decides which
            warming endpoint the request may be sent to, and whether a fractional concurrency limit admits it.
        was_delivered: Whether an endpoint may have received an attempt completely.
        may_have_run: Whether an endpoint may have executed an attempt that has ended.
        had_error: Whether an endpoint has answered with an error.
        timer_tokens: Tokens of the timers that were set for the request.
        is_contended: Whether other gateways seemed to use the slots under the in-flight cap at the arrival.
        first_executed: The first attempt that may have been executed, None if there is none.
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
        "may_have_run",
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
        self.may_have_run = False
        self.had_error = False
        self.timer_tokens: list[int] = []
        self.is_contended = False
        self.first_executed: RunningAttempt | None = None

    @property
    def is_answered(self) -> bool:
        """Whether the final answer has been given or is not needed any more."""
        return self.state is RequestState.ANSWERED or self.state is RequestState.ANSWERED_BY_STREAM

    @property
    def is_streaming(self) -> bool:
        """Whether a streamed reply has begun; it may be complete."""
        return self.state is RequestState.STREAMING or self.state is RequestState.ANSWERED_BY_STREAM

    def start_attempt(self, endpoint: EndpointState, now_ms: float) -> int:
        """Record a new attempt here, at its endpoint and at its customer; return its number, from 0."""
        number = self.attempts
        self.attempts += 1
        self.tried_endpoints.add(endpoint.id)
        self.in_flight[number] = RunningAttempt(endpoint, now_ms)
        self.customer.in_flight += 1
        endpoint.in_flight.add((self.request.request_id, number))
        return number

    def end_attempt(self, number: int, status: AttemptStatus) -> RunningAttempt:
        """Record the end of an attempt in flight, and return the attempt.

        Raises:
            KeyError: No attempt of this number is in flight.
        """
        attempt = self.in_flight.pop(number)
        attempt.endpoint.in_flight.discard((self.request.request_id, number))
        self.customer.in_flight -= 1
        if status not in (AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT):
            self.was_delivered = True
        return attempt
