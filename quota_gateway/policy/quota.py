"""The local quota of a customer, by usage reports that come late: docs/decisions/quota.md."""

from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.settings import Plan, Settings
from quota_gateway.policy.clock import DecayClock

MILLIUNITS_PER_UNIT = 1000.0
SHARE_INCREASE_PER_HEADROOM = 0.1  # of the even share; small, as all gateways act on the same late report
REPORT_LIFETIME_USAGE_PERIODS = 4.0  # for its own period, its lateness and a gap in traffic


class LocalQuota:
    """This gateway's share of each customer's quota."""

    def __init__(self, settings: Settings, clock: DecayClock) -> None:
        self._clock = clock
        self.report_lifetime_ms = REPORT_LIFETIME_USAGE_PERIODS * settings.usage_period_ms

    def headroom(self, customer: CustomerState, lifetime_ms: float) -> float:
        """Share of the quota, 0 to 1, that the last report leaves; 0 if it is older than ``lifetime_ms``."""
        is_fresh = self._clock.now_ms - customer.usage_at_ms <= lifetime_ms
        return max(0.0, 1.0 - customer.usage) if is_fresh else 0.0

    def share(self, customer: CustomerState) -> float:
        """The share of the quota, 0 to 1: the even one, increased by part of the last report's headroom."""
        headroom = self.headroom(customer, self.report_lifetime_ms)
        return min(1.0, (1.0 + SHARE_INCREASE_PER_HEADROOM * headroom) / customer.gateway_set_size)

    def drain_ms(self, customer: CustomerState, plan: Plan) -> float:
        """Milliseconds that the even share takes to drain the customer's largest request."""
        if not plan.rate:
            return 0.0
        return customer.largest_units * customer.gateway_set_size * MILLIUNITS_PER_UNIT / plan.rate

    def share_is_below_one_request(self, customer: CustomerState, plan: Plan) -> bool:
        """Whether the largest request exceeds the even share of the burst, and of the rate over a lifetime.

        The lifetime is that of a usage report.
        """
        burst_is_below_one_request = plan.burst < customer.largest_units * customer.gateway_set_size
        return burst_is_below_one_request and self.drain_ms(customer, plan) > self.report_lifetime_ms
