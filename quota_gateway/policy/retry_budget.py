"""The budget of retries and hedged requests: docs/decisions/retries.md."""

from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.model.settings import GatewayLimits

RETRY_TOKENS_PER_FIRST_ATTEMPT = 0.2  # one retry or hedged request costs one token
MAX_RETRY_TOKENS = 10.0  # the budget is full at the start


class RetryBudget:
    """A token bucket that first attempts fill and further ones empty, to bound the load that retries add."""

    def __init__(self, limits: GatewayLimits) -> None:
        self._max_attempts = limits.max_attempts
        self.tokens = MAX_RETRY_TOKENS

    def on_start(self, attempt: int, is_free: bool) -> None:
        """Add tokens for a first attempt (number 0); take one for a further attempt unless it is free."""
        if attempt == 0:
            self.tokens = min(MAX_RETRY_TOKENS, self.tokens + RETRY_TOKENS_PER_FIRST_ATTEMPT)
        elif not is_free:
            self.tokens -= 1.0

    def allows(self, pending: PendingRequest, is_free: bool = False) -> bool:
        """Return whether an attempt is left and, unless the retry is free, the budget has a token."""
        return pending.attempts < self._max_attempts and (is_free or self.tokens >= 1.0)

    def restore(self, tokens: float) -> None:
        """Restore the tokens of the previous process."""
        self.tokens = min(MAX_RETRY_TOKENS, tokens)
