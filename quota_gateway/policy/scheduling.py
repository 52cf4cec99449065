"""Scheduling: decides whether the first attempt of a request starts now, waits or is given up.

See docs/decisions/scheduling.md.
"""

from typing import NamedTuple

from quota_gateway.model.actions import AnswerReason
from quota_gateway.model.endpoint_state import EndpointState
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.policy.give_up import GiveUp
from quota_gateway.policy.mechanisms import Mechanisms


class StartNow(NamedTuple):
    """An attempt starts at this endpoint."""

    endpoint: EndpointState


class Wait(NamedTuple):
    """The request is queued for at least ``min_wait_ms``; None if no limit determines how long."""

    min_wait_ms: float | None = None


WAIT_FOR_CAPACITY = Wait()  # the wait ends when an attempt ends or the endpoints change


class Scheduler:
    """Checks hard ceiling, in-flight limit and concurrency limit in this order, then chooses an endpoint."""

    def __init__(self, mechanisms: Mechanisms) -> None:
        self._clock = mechanisms.clock
        self._quota = mechanisms.quota
        self._ceiling = mechanisms.ceiling
        self._in_flight_limit = mechanisms.in_flight_limit
        self._latencies = mechanisms.latencies
        self._concurrency = mechanisms.concurrency
        self._balancer = mechanisms.balancer
        self._endpoints = mechanisms.endpoints

    def schedule(self, pending: PendingRequest) -> StartNow | Wait | GiveUp:
        """Decide on a request of which no attempt has been started yet."""
        ceiling_wait_ms = self._ceiling.wait_ms(pending)
        slot_wait_ms = self._in_flight_limit.slot_wait_ms(pending)
        if ceiling_wait_ms is None or self._is_too_long(pending, ceiling_wait_ms, slot_wait_ms):
            return GiveUp(AnswerReason.NO_CAPACITY_IN_TIME)
        min_wait_ms = max(ceiling_wait_ms, slot_wait_ms)
        if min_wait_ms:
            return Wait(min_wait_ms)
        if not self._in_flight_limit.has_free_slot(pending, self._quota.share(pending.customer)):
            return WAIT_FOR_CAPACITY
        endpoint = self.choose_endpoint(pending)
        return StartNow(endpoint) if endpoint else WAIT_FOR_CAPACITY

    def _is_too_long(self, pending: PendingRequest, ceiling_wait_ms: float, slot_wait_ms: float) -> bool:
        """Return whether the ceiling's wait reaches the deadline, or a slot comes after the latest start."""
        now_ms = self._clock.now_ms
        if ceiling_wait_ms >= pending.deadline_ms - now_ms:
            return True
        return slot_wait_ms > 0.0 and slot_wait_ms > self._latencies.latest_start_ms(pending) - now_ms

    def choose_endpoint(self, pending: PendingRequest) -> EndpointState | None:
        """Choose the endpoint of a first attempt.

        Returns None while the concurrency limit is used up, or if the request may be sent to no endpoint.
        A fractional limit such as 4.3 is 5 for requests with a draw below the fraction, and 4 for others.
        """
        if not self._concurrency.has_capacity(pending.random_draw):
            return None
        endpoints = self._endpoints
        return self._balancer.choose(pending, endpoints.ready, endpoints.warming, endpoints.subset_radius)
