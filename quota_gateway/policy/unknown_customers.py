"""Admission of customers of whom nothing is known: docs/decisions/quota.md."""

from math import exp
from random import Random

from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.settings import Plan, Settings
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.in_flight_limit import SMALL_GATEWAY_SET_SIZE
from quota_gateway.policy.quota import LocalQuota

FIRST_ADMITTED_SHARE = 0.2  # of a wide plan's unknown customers, until reports tell more
LEAST_ADMITTED_SHARE = 0.08  # at any time: what is not admitted is not reported
ADMISSION_STEP = 0.6  # by which a report over quota lowers it, as a logarithm: a gateway reads a few a second
ADMISSION_TARGET = 0.5  # of the share of such reports that would cost what the others earn: they are late


class UnknownCustomerAdmission:
    """Admits a share of the customers of whom nothing is known, where each would get a whole request."""

    def __init__(self, settings: Settings, clock: DecayClock, random: Random, quota: LocalQuota) -> None:
        self._clock = clock
        self._random = random
        self._quota = quota
        self.admitted_shares = {plan.name: FIRST_ADMITTED_SHARE for plan in settings.plans}

    def admits(self, customer: CustomerState, plan: Plan) -> bool:
        """Whether a request may pass on to the quota; drawn at random where nothing is known."""
        if customer.gateway_set_size <= SMALL_GATEWAY_SET_SIZE or plan.excess_cost <= plan.excess_value:
            return True  # few gateways, or nothing is lost by what goes beyond
        is_wide = (
            self._quota.share_is_below_one_request(customer, plan) if plan.rate else plan.max_in_flight > 0
        )
        lifetime_ms = max(self._quota.report_lifetime_ms, self._quota.drain_ms(customer, plan))
        if not is_wide or self._clock.now_ms - customer.usage_at_ms <= lifetime_ms:
            return True
        return self._random.random() < self.admitted_shares[plan.name]

    def on_usage_report(self, customer: CustomerState, plan: Plan, usage: float) -> None:
        """Move the admitted share of a plan by what a report tells of one customer."""
        if customer.gateway_set_size > SMALL_GATEWAY_SET_SIZE:
            target = ADMISSION_TARGET / (1.0 + max(0.0, plan.excess_cost - plan.excess_value))
            share = self.admitted_shares[plan.name] * exp(ADMISSION_STEP * (target - (usage > 1.0)))
            self.admitted_shares[plan.name] = min(1.0, max(LEAST_ADMITTED_SHARE, share))

    def restore(self, shares: dict[str, float]) -> None:
        """Go on from the shares of the process before."""
        for name, share in shares.items():
            self.admitted_shares[name] = min(1.0, max(LEAST_ADMITTED_SHARE, share))
