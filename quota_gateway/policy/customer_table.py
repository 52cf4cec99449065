"""The LRU table of customer states: docs/decisions/quota.md."""

from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.events import Request
from quota_gateway.model.settings import Plan, Settings
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.hard_ceiling import HardCeiling
from quota_gateway.policy.quota import LocalQuota

# A request may evict more than the one customer that it may add, so the table can shrink.
MAX_EVICTIONS_PER_REQUEST = 2


class CustomerTable:
    """An LRU table of customer states; evicts those equivalent to a new one, whose loss changes nothing."""

    def __init__(
        self, settings: Settings, clock: DecayClock, quota: LocalQuota, ceiling: HardCeiling
    ) -> None:
        self._gateways = settings.gateways
        self._plans = {plan.name: plan for plan in settings.plans}
        self._clock = clock
        self._quota = quota
        self._ceiling = ceiling
        self.by_key: dict[tuple[str, str], CustomerState] = {}

    def use(self, request: Request, plan: Plan) -> CustomerState:
        """Return the state of the request's customer and mark it as the most recently used."""
        key = (request.plan, request.customer)
        customer = self.by_key.pop(key, None)
        if customer is None:
            level = self._ceiling.initial_level(plan, request.gateway_set_size)
            customer = CustomerState(self._clock.now_ms, level)
        customer.gateway_set_size = min(request.gateway_set_size, self._gateways)
        customer.largest_units = max(customer.largest_units, request.units)
        self.by_key[key] = customer
        self._evict_unused(customer)
        return customer

    def _evict_unused(self, current: CustomerState) -> None:
        """Evict customers equivalent to a new one, the least recently used first; keep the current one.

        A customer that is not equivalent to a new one yet is moved to the end, so that it does not keep those
        after it from being evicted. One that is equivalent, but was charged or reported within the lifetime
        of a usage report, ends the search.
        """
        for _ in range(MAX_EVICTIONS_PER_REQUEST):
            key = next(iter(self.by_key))
            customer = self.by_key[key]
            plan = self._plans[key[0]]
            if customer is current:
                return
            idle_ms = self._clock.now_ms - max(customer.excess_at_ms, customer.usage_at_ms)
            is_recent = idle_ms < self._quota.report_lifetime_ms
            is_drained = customer.excess <= plan.rate / customer.gateway_set_size * idle_ms
            initial_level = self._ceiling.initial_level(plan, customer.gateway_set_size)
            is_ceiling_full = self._ceiling.level(customer, plan) >= initial_level
            is_like_new = is_drained and is_ceiling_full and not customer.total_in_flight()
            if is_recent and is_like_new:
                return  # the next customers in the table were used even more recently
            del self.by_key[key]
            if is_recent or not is_like_new:
                self.by_key[key] = customer
