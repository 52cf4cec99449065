"""The leaky bucket of a customer's rate: docs/decisions/leaky_bucket.md."""

from math import inf

from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.model.settings import Plan, RequestClass, Settings
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.quota import MILLIUNITS_PER_UNIT, LocalQuota

REJECT_BURSTS = 2.0  # bursts of excess beyond which a request is rejected: one is delayed at most
PRIORITY_BURST = 0.25  # by which the burst grows for a class of infinite weight, to have what others leave
LEAST_PRIORITY_DELAY = 0.1  # of the shortest objective, for the least class: weightier ones wait longer
THIN_BURST = 2.0  # requests by which an unused thin share's burst grows: two by chance are no abuse


class LeakyBucket:
    """Decides by a customer's excess whether a request passes now, is delayed, or is rejected."""

    def __init__(self, settings: Settings, clock: DecayClock, quota: LocalQuota) -> None:
        self._clock = clock
        self._quota = quota
        self._limits = settings.limits
        weights = [item.priority_weight for item in settings.classes]
        self._least_weight = min(weights) if min(weights) < max(weights) else 0.0  # 0 where all are equal
        self._shortest_objective_ms = min(item.latency_objective_ms for item in settings.classes)

    def offer(self, pending: PendingRequest, mean_latency_ms: float) -> float:
        """Milliseconds to delay a request, or infinity to reject it, with its units not in the bucket."""
        customer, plan = pending.customer, pending.plan
        if not plan.rate:
            return 0.0
        now_ms, units = self._clock.now_ms, pending.request.units
        rate = plan.rate * self._quota.share(customer)
        burst = self._offered_burst(customer, plan, units) * self._priority_factor(pending.request_class)
        excess = max(
            0.0, customer.excess - rate * (now_ms - customer.excess_at_ms) + MILLIUNITS_PER_UNIT * units
        )
        if excess > REJECT_BURSTS * burst:
            return inf
        delay_ms = max(0.0, excess - burst) / rate
        max_delay_ms = self._max_delay_ms(pending.request_class, mean_latency_ms)
        if delay_ms and delay_ms >= min(pending.request.timeout_ms, max_delay_ms):
            return inf
        customer.excess = excess
        customer.excess_at_ms = now_ms
        return delay_ms

    def _burst(self, customer: CustomerState, plan: Plan) -> float:
        """This gateway's share of the burst, in thousandths, with room for one request at least."""
        return max(plan.burst / customer.gateway_set_size, customer.largest_units) * MILLIUNITS_PER_UNIT

    def _offered_burst(self, customer: CustomerState, plan: Plan, units: float) -> float:
        """Count the units offered; the burst grows by the headroom while a thin share is hardly used."""
        now_ms = self._clock.now_ms
        drained = (
            plan.rate * (now_ms - customer.offered_at_ms) / customer.gateway_set_size / MILLIUNITS_PER_UNIT
        )
        customer.offered = max(0.0, customer.offered - drained) + units
        customer.offered_at_ms = now_ms
        burst = self._burst(customer, plan)
        if (
            self._quota.share_is_below_one_request(customer, plan)
            and customer.offered <= THIN_BURST * customer.largest_units
        ):
            lifetime_ms = self._quota.drain_ms(customer, plan)
            burst *= 1.0 + THIN_BURST * self._quota.headroom(customer, lifetime_ms)
        return burst

    def _priority_factor(self, request_class: RequestClass) -> float:
        """By how much the burst is larger for a class: not at all for the least weight."""
        if not self._least_weight:
            return 1.0
        return 1.0 + PRIORITY_BURST * (1.0 - self._least_weight / request_class.priority_weight)

    def _max_delay_ms(self, request_class: RequestClass, mean_latency_ms: float) -> float:
        """How long a delay still leaves a reply within the shortest objective; less for the least weight."""
        if request_class.priority_weight == self._least_weight:
            return LEAST_PRIORITY_DELAY * self._shortest_objective_ms
        return self._shortest_objective_ms - mean_latency_ms

    def retry_after_ms(self, pending: PendingRequest, mean_latency_ms: float, start_by_ms: float) -> float:
        """When a rejected request would be taken, delayed or not; 0 where that is after ``start_by_ms``."""
        if not self._limits.can_send_retry_after:
            return 0.0
        customer, plan = pending.customer, pending.plan
        now_ms = self._clock.now_ms
        rate = plan.rate * self._quota.share(customer)
        burst = self._burst(customer, plan) * self._priority_factor(pending.request_class)
        units = pending.request.units
        excess = customer.excess - rate * (now_ms - customer.excess_at_ms) + MILLIUNITS_PER_UNIT * units
        max_delay_ms = max(0.0, self._max_delay_ms(pending.request_class, mean_latency_ms))
        delay_ms = min(burst / rate, pending.request.timeout_ms, max_delay_ms)
        wait_ms = max(0.0, (excess - burst) / rate - delay_ms)
        return min(self._limits.max_retry_after_ms, wait_ms) if wait_ms <= start_by_ms - now_ms else 0.0

    def settle(self, pending: PendingRequest, final_units: float) -> float:
        """Correct the excess by the units that a request has really used; by how much it changed."""
        change = MILLIUNITS_PER_UNIT * (final_units - pending.request.units)
        self.adjust(pending.customer, change)
        return change

    @staticmethod
    def adjust(customer: CustomerState, change: float) -> None:
        """Change a customer's excess, not below an empty bucket."""
        customer.excess = max(0.0, customer.excess + change)
