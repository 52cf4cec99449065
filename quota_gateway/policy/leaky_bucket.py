"""The leaky bucket that limits a customer's rate: docs/decisions/leaky_bucket.md.

Excess and burst are in milliunits. A rate in units per second is the same number in milliunits per
millisecond.
"""

from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.model.settings import Plan, RequestClass, Settings
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.quota import MILLIUNITS_PER_UNIT, LocalQuota

# Excess, in bursts, above which a request is rejected. A request is delayed if the excess is above one burst.
MAX_EXCESS_BURSTS = 2.0
# Limit that the increase of the burst approaches as the priority weight grows, as a share of the burst.
MAX_PRIORITY_BURST_INCREASE_SHARE = 0.25
# Longest delay for the lowest priority weight, as a share of the shortest latency objective.
LOWEST_PRIORITY_MAX_DELAY_OBJECTIVE_SHARE = 0.1
# Number of requests that may arrive together by chance. Full headroom adds as many bursts.
HEADROOM_BURST_REQUESTS = 2.0


class LeakyBucket:
    """Decides from a customer's excess whether a request passes now, is delayed or is rejected."""

    def __init__(self, settings: Settings, clock: DecayClock, quota: LocalQuota) -> None:
        self._clock = clock
        self._quota = quota
        self._limits = settings.limits
        weights = {item.priority_weight for item in settings.classes}
        has_lowest_weight = len(weights) > 1 or 0.0 in weights
        self._lowest_weight = min(weights) if has_lowest_weight else None
        self._shortest_objective_ms = min(item.latency_objective_ms for item in settings.classes)

    def offer(self, pending: PendingRequest, mean_latency_ms: float) -> float | None:
        """Add a request's units to the bucket, if they fit.

        Args:
            pending: The request.
            mean_latency_ms: Mean latency of requests of its class and size.

        Returns:
            The delay of the request in milliseconds, 0 for none. None if the request is rejected; then the
            excess is unchanged.
        """
        customer, plan = pending.customer, pending.plan
        if not plan.rate:
            return 0.0
        rate = plan.rate * self._quota.share(customer)
        self._count_demand(customer, plan, pending.request.units)
        base_burst = self._burst(customer, plan) * self._headroom_factor(customer, plan)
        burst = base_burst * self._priority_factor(pending.request_class)
        excess = max(0.0, self._excess_with(pending, rate))
        if excess > MAX_EXCESS_BURSTS * burst:
            return None
        delay_ms = max(0.0, excess - burst) / rate
        max_delay_ms = self._max_delay_ms(pending.request_class, mean_latency_ms)
        if delay_ms and delay_ms >= min(pending.request.timeout_ms, max_delay_ms):
            return None
        customer.excess = excess
        customer.excess_at_ms = self._clock.now_ms
        return delay_ms

    def _excess_with(self, pending: PendingRequest, rate: float) -> float:
        """Return the present excess with the request's units added; it may be below 0.

        The drained amount is not limited to the excess so far: after an idle time long enough to drain the
        request's units as well, the request leaves no excess.
        """
        customer = pending.customer
        drained = rate * (self._clock.now_ms - customer.excess_at_ms)
        return customer.excess - drained + MILLIUNITS_PER_UNIT * pending.request.units

    def _burst(self, customer: CustomerState, plan: Plan) -> float:
        """Return the even share of the burst in milliunits, at least the customer's largest request."""
        return max(plan.burst / customer.gateway_set_size, customer.largest_units) * MILLIUNITS_PER_UNIT

    def _count_demand(self, customer: CustomerState, plan: Plan, units: float) -> None:
        """Add units, admitted or not, to the recent demand, which drains at the even share of the rate."""
        now_ms = self._clock.now_ms
        elapsed_ms = now_ms - customer.recent_demand_at_ms
        drained = plan.rate * elapsed_ms / customer.gateway_set_size / MILLIUNITS_PER_UNIT
        customer.recent_demand = max(0.0, customer.recent_demand - drained) + units
        customer.recent_demand_at_ms = now_ms

    def _headroom_factor(self, customer: CustomerState, plan: Plan) -> float:
        """Return the factor by which headroom raises the burst.

        It is 1 if the recent demand is high, or if the share of the quota is one request or more.
        """
        if not self._quota.share_is_below_one_request(customer, plan):
            return 1.0
        if customer.recent_demand > HEADROOM_BURST_REQUESTS * customer.largest_units:
            return 1.0
        lifetime_ms = self._quota.drain_ms(customer, plan)
        return 1.0 + HEADROOM_BURST_REQUESTS * self._quota.headroom(customer, lifetime_ms)

    def _priority_factor(self, request_class: RequestClass) -> float:
        """Return the factor on the burst by priority weight: 1 for the lowest weight or if all are equal."""
        # The lowest weight is None if all weights are equal; if it is 0, no ratio is defined.
        if not self._lowest_weight:
            return 1.0
        relative_weight = self._lowest_weight / request_class.priority_weight
        return 1.0 + MAX_PRIORITY_BURST_INCREASE_SHARE * (1.0 - relative_weight)

    def _max_delay_ms(self, request_class: RequestClass, mean_latency_ms: float) -> float:
        """Return the longest delay in milliseconds with which a reply still meets the shortest objective.

        For the lowest priority weight it is a fixed share of that objective. It may be below 0.
        """
        if request_class.priority_weight == self._lowest_weight:
            return LOWEST_PRIORITY_MAX_DELAY_OBJECTIVE_SHARE * self._shortest_objective_ms
        return self._shortest_objective_ms - mean_latency_ms

    def retry_after_ms(
        self, pending: PendingRequest, mean_latency_ms: float, latest_start_ms: float
    ) -> float | None:
        """Return the milliseconds until a rejected request would be admitted, with or without a delay.

        The result is at most ``GatewayLimits.max_retry_after_ms``. It is None if the request would not be
        admitted by the clock time ``latest_start_ms``, or if the settings permit no Retry-After.
        """
        if not self._limits.can_send_retry_after:
            return None
        customer, plan = pending.customer, pending.plan
        rate = plan.rate * self._quota.share(customer)
        burst = self._burst(customer, plan) * self._priority_factor(pending.request_class)
        excess = self._excess_with(pending, rate)
        max_delay_ms = max(0.0, self._max_delay_ms(pending.request_class, mean_latency_ms))
        permitted_delay_ms = min(burst / rate, pending.request.timeout_ms, max_delay_ms)
        wait_ms = max(0.0, (excess - burst) / rate - permitted_delay_ms)
        if wait_ms > latest_start_ms - self._clock.now_ms:
            return None
        return min(self._limits.max_retry_after_ms, wait_ms)

    def settle(self, pending: PendingRequest, final_units: float) -> float:
        """Correct the excess to the units actually used; return its change in milliunits."""
        change = MILLIUNITS_PER_UNIT * (final_units - pending.request.units)
        self.adjust(pending.customer, change)
        return change

    @staticmethod
    def adjust(customer: CustomerState, change: float) -> None:
        """Add ``change`` milliunits to a customer's excess, which does not fall below 0."""
        customer.excess = max(0.0, customer.excess + change)
