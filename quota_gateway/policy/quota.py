"""Local quotas from late usage reports, and the customers known: docs/decisions/quota.md."""

from math import exp
from random import Random

from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.events import Request
from quota_gateway.model.settings import Plan, Settings
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.in_flight_limit import SMALL_GATEWAY_SET_SIZE, Ceiling

MILLIUNITS_PER_UNIT = 1000.0  # of a unit, the unit of the excess
SHARE_GROWTH = 0.1  # share of the headroom given out: reports are late, and all gateways rise on one figure
REPORT_PERIODS = 4.0  # usage periods a report stays news: the period, its lateness, a gap in traffic
CUSTOMERS_CHECKED = 2  # for forgetting at each request: more than the one that it may bring
FIRST_ADMITTED_SHARE = 0.2  # of a wide plan's unknown customers, until reports tell more
LEAST_ADMITTED_SHARE = 0.08  # at any time: what is not admitted is not reported
ADMISSION_STEP = 0.6  # by which a report over quota lowers it, as a logarithm: a gateway reads a few a second
ADMISSION_TARGET = 0.5  # of the share of such reports that would cost what the others earn: they are late


class LocalQuota:
    """This gateway's share of each customer's quota."""

    def __init__(self, settings: Settings, clock: DecayClock) -> None:
        self._clock = clock
        self.report_lifetime_ms = REPORT_PERIODS * settings.usage_period_ms

    def headroom(self, customer: CustomerState, lifetime_ms: float) -> float:
        """What the last report leaves of the quota; nothing at or over quota, or when it is too old."""
        is_fresh = self._clock.now_ms - customer.usage_at_ms <= lifetime_ms
        return max(0.0, 1.0 - customer.usage) if is_fresh else 0.0

    def share(self, customer: CustomerState) -> float:
        """The even share of the quota, and the even part of the headroom that a fresh report leaves."""
        headroom = self.headroom(customer, self.report_lifetime_ms)
        return min(1.0, (1.0 + SHARE_GROWTH * headroom) / customer.gateway_set_size)

    def drain_ms(self, customer: CustomerState, plan: Plan) -> float:
        """How long the even share takes to drain the customer's largest request."""
        if not plan.rate:
            return 0.0
        return customer.largest_units * customer.gateway_set_size * MILLIUNITS_PER_UNIT / plan.rate

    def share_is_below_one_request(self, customer: CustomerState, plan: Plan) -> bool:
        """Whether the even share is less than a request, in its burst and while a report is news."""
        is_burst_thin = plan.burst < customer.largest_units * customer.gateway_set_size
        return is_burst_thin and self.drain_ms(customer, plan) > self.report_lifetime_ms


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


class CustomerTable:
    """The customers known, the last used at the end; one that is as new is forgotten."""

    def __init__(self, settings: Settings, clock: DecayClock, quota: LocalQuota, ceiling: Ceiling) -> None:
        self._gateways = settings.gateways
        self._plans = {plan.name: plan for plan in settings.plans}
        self._clock = clock
        self._quota = quota
        self._ceiling = ceiling
        self.by_key: dict[tuple[str, str], CustomerState] = {}

    def use(self, request: Request, plan: Plan) -> CustomerState:
        """The state of the request's customer, now the last used."""
        key = (request.plan, request.customer)
        customer = self.by_key.pop(key, None)
        if customer is None:
            level = self._ceiling.initial_level(plan, request.gateway_set_size)
            customer = CustomerState(self._clock.now_ms, level)
        customer.gateway_set_size = min(request.gateway_set_size, self._gateways)
        customer.largest_units = max(customer.largest_units, request.units)
        self.by_key[key] = customer
        self._forget_unused(customer)
        return customer

    def _forget_unused(self, current: CustomerState) -> None:
        """Bound the table: each request brings one customer at most and may take two away."""
        for _ in range(CUSTOMERS_CHECKED):
            key = next(iter(self.by_key))
            customer = self.by_key[key]
            plan = self._plans[key[0]]
            if customer is current:
                return
            idle_ms = self._clock.now_ms - max(customer.excess_at_ms, customer.usage_at_ms)
            is_recent = idle_ms < self._quota.report_lifetime_ms
            is_drained = customer.excess <= plan.rate / customer.gateway_set_size * idle_ms
            initial_level = self._ceiling.initial_level(plan, customer.gateway_set_size)
            is_full = self._ceiling.level(customer, plan) >= initial_level
            is_unused = is_drained and is_full and not customer.total_in_flight()
            if is_recent and is_unused:
                return  # those behind it have been seen later, or are looked at again before long
            del self.by_key[key]
            if is_recent or not is_unused:
                self.by_key[key] = customer
