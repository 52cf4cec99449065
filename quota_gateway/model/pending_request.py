"""A request from its arrival until it is answered and none of its attempts is in flight."""

from __future__ import annotations

from math import ceil
from typing import NamedTuple

from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.endpoint_state import EndpointState
from quota_gateway.model.events import AttemptStatus, Request
from quota_gateway.model.settings import Plan, RequestClass


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
        size: Units, rounded up: latencies are kept for each size.
        failure_keys: Keys of the failure records that it counts for.
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
        self.failure_keys = FailureKeys("", class_key, f"{class_key} of plan {plan.name}")
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
