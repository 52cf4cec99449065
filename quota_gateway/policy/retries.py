"""Retries: decides what follows a failed or a slow attempt.

See docs/decisions/retries.md.
"""

from enum import Enum, auto
from typing import NamedTuple

from quota_gateway.model.actions import AnswerReason
from quota_gateway.model.endpoint_state import EndpointState
from quota_gateway.model.events import AttemptStatus
from quota_gateway.model.pending_request import PendingRequest, RunningAttempt
from quota_gateway.model.settings import GatewayLimits, Idempotency, IdempotencyScope
from quota_gateway.policy.give_up import GiveUp
from quota_gateway.policy.mechanisms import Mechanisms

NEVER_EXECUTED = (AttemptStatus.OVERLOADED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)


class Retry(NamedTuple):
    """Another attempt starts at this endpoint; it is charged to the retry budget unless ``is_free``."""

    endpoint: EndpointState
    is_free: bool


class Hedge(NamedTuple):
    """A hedged request: a second attempt starts at this endpoint while the slow one goes on."""

    endpoint: EndpointState


class InFlightDecision(Enum):
    """A decision on an attempt in flight: it goes on, or it is cancelled so that a retry follows."""

    KEEP_WAITING = auto()
    CANCEL_AND_RETRY = auto()


class RetryRules:
    """Decides on further attempts, given idempotency, attempts left, retry budget and permitted endpoints."""

    def __init__(self, limits: GatewayLimits, mechanisms: Mechanisms) -> None:
        self._limits = limits
        self._clock = mechanisms.clock
        self._budget = mechanisms.retry_budget
        self._latencies = mechanisms.latencies
        self._outliers = mechanisms.outliers
        self._concurrency = mechanisms.concurrency
        self._balancer = mechanisms.balancer
        self._endpoints = mechanisms.endpoints

    def after_failure(
        self, pending: PendingRequest, status: AttemptStatus, attempt: RunningAttempt
    ) -> Retry | GiveUp | InFlightDecision:
        """Decide what follows an attempt that has ended with a status other than OK."""
        may_retry = self.may_retry(pending, status, attempt)
        if pending.in_flight or pending.is_streaming:
            return InFlightDecision.KEEP_WAITING
        endpoint = self._choose_endpoint(pending) if may_retry else None
        if endpoint is None:
            return GiveUp(AnswerReason.NO_FURTHER_ATTEMPT)
        return Retry(endpoint, is_free=_is_free_after(status))

    def may_retry(self, pending: PendingRequest, status: AttemptStatus, attempt: RunningAttempt) -> bool:
        """Record the failed attempt in ``pending``; return whether another attempt may follow."""
        is_overloaded_after_error = status is AttemptStatus.OVERLOADED and pending.had_error
        pending.had_error = pending.had_error or status is AttemptStatus.ERROR
        if status not in NEVER_EXECUTED:
            pending.first_executed = pending.first_executed or attempt
        if (
            is_overloaded_after_error
            or status is AttemptStatus.NOT_SENT
            or self._clock.now_ms >= pending.deadline_ms
        ):
            return False
        return self._budget.allows(pending, is_free=_is_free_after(status))

    def after_slowness(self, pending: PendingRequest, attempt: RunningAttempt) -> Hedge | InFlightDecision:
        """Decide on a slow attempt in flight: one that is suspect is hedged, or cancelled and retried."""
        if not (self._is_suspect(pending, attempt) and _may_add_attempt(pending)):
            return InFlightDecision.KEEP_WAITING
        pending.first_executed = pending.first_executed or attempt
        if not self._budget.allows(pending) or not self._concurrency.has_capacity():
            return InFlightDecision.KEEP_WAITING
        other = self._choose_endpoint(pending)
        if other and other is not attempt.endpoint and self._limits.may_duplicate:
            return Hedge(other)
        if other and self._limits.can_cancel:
            return InFlightDecision.CANCEL_AND_RETRY
        return InFlightDecision.KEEP_WAITING

    def _is_suspect(self, pending: PendingRequest, attempt: RunningAttempt) -> bool:
        """Return whether the attempt is presumed lost, or its endpoint an outlier for the request's class."""
        if self._latencies.is_presumed_lost(pending, attempt.started_ms):
            return True
        return self._outliers.is_outlier_under_key(attempt.endpoint, pending.failure_keys.request_class)

    def _choose_endpoint(self, pending: PendingRequest) -> EndpointState | None:
        endpoints = self._endpoints
        return self._balancer.choose(pending, endpoints.ready, endpoints.warming, endpoints.subset_radius)


def _is_free_after(status: AttemptStatus) -> bool:
    """Return whether a retry takes no token of the budget: the failed attempt cost no endpoint any work."""
    return status is AttemptStatus.CONNECT_FAILED


def _may_add_attempt(pending: PendingRequest) -> bool:
    """Return whether the request may be repeated now; at most two attempts are in flight at the same time."""
    is_repeatable = pending.request_class.idempotency is not Idempotency.NON_IDEMPOTENT
    return is_repeatable and not pending.is_answered and len(pending.in_flight) <= 1


def is_retry_harmless(pending: PendingRequest) -> bool:
    """Return whether the client may safely repeat the request; if so it is rejected, else it fails."""
    idempotency, scope = pending.request_class.idempotency, pending.request_class.idempotency_scope
    is_keyed_everywhere = idempotency is Idempotency.KEYED and scope is IdempotencyScope.ALL
    was_not_executed = pending.first_executed is None and not pending.in_flight
    return idempotency is Idempotency.IDEMPOTENT or is_keyed_everywhere or was_not_executed
