"""Admission of unknown customers, who have no recent usage report: docs/decisions/quota.md."""

from math import exp
from random import Random

from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.settings import Plan, Settings
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.in_flight_limit import SMALL_GATEWAY_SET_SIZE
from quota_gateway.policy.quota import LocalQuota

INITIAL_ADMITTED_SHARE = 0.2  # admitted share of the requests of unknown customers before any report
# The admitted share stays above 0, as only reports raise it again, and only admitted customers are reported.
MIN_ADMITTED_SHARE = 0.08
# Change of the logarithm of the admitted share by a report that deviates by 1 from the target.
ADMITTED_SHARE_LOG_STEP = 0.6
# Target for the share of reports over quota: half of the break-even share, as reports are late.
TARGET_SHARE_OF_BREAK_EVEN_REPORTS = 0.5


class UnknownCustomerAdmission:
    """Admits a share of unknown customers' requests if each gateway would otherwise admit at least one."""

    def __init__(self, settings: Settings, clock: DecayClock, random: Random, quota: LocalQuota) -> None:
        self._clock = clock
        self._random = random
        self._quota = quota
        self.admitted_shares = {plan.name: INITIAL_ADMITTED_SHARE for plan in settings.plans}

    def admits(self, customer: CustomerState, plan: Plan) -> bool:
        """Return whether a request is passed on to the leaky bucket.

        This is decided at random for a customer without a recent usage report, in a large gateway set, under
        a plan for which use beyond the quota costs more than it is worth, if each gateway would otherwise
        admit at least one request.
        """
        is_excess_harmless = plan.excess_cost <= plan.excess_value
        if customer.gateway_set_size <= SMALL_GATEWAY_SET_SIZE or is_excess_harmless:
            return True
        admits_one_each = (
            self._quota.share_is_below_one_request(customer, plan) if plan.rate else plan.max_in_flight > 0
        )
        lifetime_ms = max(self._quota.report_lifetime_ms, self._quota.drain_ms(customer, plan))
        if not admits_one_each or self._clock.now_ms - customer.usage_at_ms <= lifetime_ms:
            return True
        return self._random.random() < self.admitted_shares[plan.name]

    def on_usage_report(self, customer: CustomerState, plan: Plan, usage: float) -> None:
        """Adjust the admitted share of a plan after a usage report (1 is the whole quota) of one customer.

        A report over quota lowers the share, any other raises it. The share is steady when the reports over
        quota are half of the break-even number, at which they cost as much as the other reports earn.
        """
        if customer.gateway_set_size <= SMALL_GATEWAY_SET_SIZE:
            return
        relative_cost = 1.0 + max(0.0, plan.excess_cost - plan.excess_value)
        target = TARGET_SHARE_OF_BREAK_EVEN_REPORTS / relative_cost
        log_step = ADMITTED_SHARE_LOG_STEP * (target - (usage > 1.0))
        share = self.admitted_shares[plan.name] * exp(log_step)
        self.admitted_shares[plan.name] = min(1.0, max(MIN_ADMITTED_SHARE, share))

    def restore(self, shares: dict[str, float]) -> None:
        """Restore the admitted shares of the previous process."""
        for name, share in shares.items():
            self.admitted_shares[name] = min(1.0, max(MIN_ADMITTED_SHARE, share))
