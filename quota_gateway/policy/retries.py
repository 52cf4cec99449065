"""Retries and hedged requests, and their budget: docs/decisions/retries.md."""

from quota_gateway.model.events import AttemptStatus
from quota_gateway.model.pending_request import PendingRequest, RunningAttempt
from quota_gateway.model.settings import GatewayLimits, Idempotency, IdempotencyScope
from quota_gateway.policy.clock import DecayClock

RETRY_TOKENS_PER_FIRST_ATTEMPT = (
    0.2  # retries per first attempt, over time: bounds what failures can add to the load
)
MAX_RETRY_TOKENS = 10.0  # retries saved up at most
NEVER_EXECUTED = (AttemptStatus.OVERLOADED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)


class RetryBudget:
    """Says whether another attempt is allowed, by a token bucket that first attempts fill."""

    def __init__(self, limits: GatewayLimits, clock: DecayClock) -> None:
        self._max_attempts = limits.max_attempts
        self._clock = clock
        self.tokens = MAX_RETRY_TOKENS

    def on_start(self, attempt: int, is_free: bool) -> None:
        """Fill the budget by a first attempt, charge a further one to it unless it is free."""
        if attempt == 0:
            self.tokens = min(MAX_RETRY_TOKENS, self.tokens + RETRY_TOKENS_PER_FIRST_ATTEMPT)
        elif not is_free:
            self.tokens -= 1.0

    def allows(self, pending: PendingRequest, is_free: bool = False) -> bool:
        """Whether another attempt is left, and the budget holds it; one after none was executed is free."""
        return pending.attempts < self._max_attempts and (is_free or self.tokens >= 1.0)

    def allows_hedge(self, pending: PendingRequest) -> bool:
        """Whether a slow attempt may be repeated while it is in flight."""
        is_repeatable = pending.request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        return is_repeatable and not pending.is_closed and len(pending.in_flight) <= 1

    def on_failure(self, pending: PendingRequest, status: AttemptStatus, attempt: RunningAttempt) -> bool:
        """Note a failed attempt; whether another one may follow."""
        is_over = status is AttemptStatus.OVERLOADED and pending.had_error
        pending.had_error = pending.had_error or status is AttemptStatus.ERROR
        if status not in NEVER_EXECUTED and pending.first_executed is None:
            pending.first_executed = attempt
        if is_over or status is AttemptStatus.NOT_SENT or self._clock.now_ms >= pending.deadline_ms:
            return False
        return self.allows(pending, is_free=status is AttemptStatus.CONNECT_FAILED)

    def restore(self, tokens: float) -> None:
        """Go on from the budget of the process before."""
        self.tokens = min(MAX_RETRY_TOKENS, tokens)


def is_retry_harmless(pending: PendingRequest) -> bool:
    """Whether the client may safely send the request again: it is rejected then, and failed otherwise."""
    idempotency, scope = pending.request_class.idempotency, pending.request_class.idempotency_scope
    is_keyed_everywhere = idempotency is Idempotency.KEYED and scope is IdempotencyScope.ALL
    was_not_executed = pending.first_executed is None and not pending.in_flight
    return idempotency is Idempotency.IDEMPOTENT or is_keyed_everywhere or was_not_executed
