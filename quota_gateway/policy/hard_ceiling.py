"""The hard ceiling of a customer's units: docs/decisions/in_flight_limit.md."""

from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.model.settings import Plan
from quota_gateway.policy.clock import DecayClock


class HardCeiling:
    """Limits a customer's units over all gateways by a token bucket that is never overdrawn."""

    def __init__(self, clock: DecayClock) -> None:
        self._clock = clock

    def initial_level(self, plan: Plan, gateway_set_size: int) -> float:
        """Return the units in the share of a new customer: empty at the gateway's start, refilled since."""
        elapsed_ms = self._clock.now_ms - self._clock.started_at_ms
        return min(plan.ceiling_burst, plan.ceiling_rate * elapsed_ms / 1000.0) / gateway_set_size

    def level(self, customer: CustomerState, plan: Plan) -> float:
        """Return the units in this gateway's even share of the customer's bucket now."""
        elapsed_ms = self._clock.now_ms - customer.ceiling_at_ms
        refill = plan.ceiling_rate / customer.gateway_set_size * elapsed_ms / 1000.0
        return min(plan.ceiling_burst / customer.gateway_set_size, customer.ceiling_level + refill)

    def wait_ms(self, pending: PendingRequest) -> float | None:
        """Return the milliseconds until the share holds the request's units; None if it never can."""
        plan, customer = pending.plan, pending.customer
        if not plan.ceiling_rate:
            return 0.0
        if pending.request.units > plan.ceiling_burst / customer.gateway_set_size:
            return None
        missing = pending.request.units - self.level(customer, plan)
        return max(0.0, missing) * 1000.0 * customer.gateway_set_size / plan.ceiling_rate

    def charge(self, pending: PendingRequest) -> None:
        """Take the request's units out of this gateway's share of the bucket."""
        plan, customer = pending.plan, pending.customer
        if plan.ceiling_rate:
            customer.ceiling_level = self.level(customer, plan) - pending.request.units
            customer.ceiling_at_ms = self._clock.now_ms
