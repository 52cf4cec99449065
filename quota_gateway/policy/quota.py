"""The local share of a customer's quota, from usage reports that arrive late: docs/decisions/quota.md."""

from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.settings import Plan, Settings
from quota_gateway.policy.clock import DecayClock

MILLIUNITS_PER_UNIT = 1000.0
# Increase of the share at full headroom, relative to the even share. It is small, as all gateways act on the
# same late report.
SHARE_INCREASE_PER_HEADROOM = 0.1
# The lifetime of a report covers its period, its lateness and a gap in traffic.
REPORT_LIFETIME_USAGE_PERIODS = 4.0


class LocalQuota:
    """This gateway's share of each customer's quota."""

    def __init__(self, settings: Settings, clock: DecayClock) -> None:
        self._clock = clock
        self.report_lifetime_ms = REPORT_LIFETIME_USAGE_PERIODS * settings.usage_period_ms

    def headroom(self, customer: CustomerState, lifetime_ms: float) -> float:
        """Return the headroom: the share of the quota, 0 to 1, that the last usage report leaves unused.

        It is 0 if the report is older than ``lifetime_ms``.
        """
        is_fresh = self._clock.now_ms - customer.usage_at_ms <= lifetime_ms
        return max(0.0, 1.0 - customer.usage) if is_fresh else 0.0

    def share(self, customer: CustomerState) -> float:
        """Return the share of the quota, 0 to 1: the even share, increased by part of the headroom."""
        headroom = self.headroom(customer, self.report_lifetime_ms)
        return min(1.0, (1.0 + SHARE_INCREASE_PER_HEADROOM * headroom) / customer.gateway_set_size)

    def drain_ms(self, customer: CustomerState, plan: Plan) -> float:
        """Return the milliseconds in which the even share drains the customer's largest request."""
        if not plan.rate:
            return 0.0
        return customer.largest_units * customer.gateway_set_size * MILLIUNITS_PER_UNIT / plan.rate

    def share_is_below_one_request(self, customer: CustomerState, plan: Plan) -> bool:
        """Return whether the even share of the quota is less than the customer's largest request.

        That is the case if the request exceeds both the even share of the burst and the even share of the
        rate over the lifetime of a usage report.
        """
        burst_is_below_one_request = plan.burst < customer.largest_units * customer.gateway_set_size
        return burst_is_below_one_request and self.drain_ms(customer, plan) > self.report_lifetime_ms
