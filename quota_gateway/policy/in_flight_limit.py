"""The cap on a customer's attempts in flight: docs/decisions/in_flight_limit.md."""

from math import exp, inf

from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.model.settings import Plan, Settings
from quota_gateway.policy.clock import DecayClock

# In a larger gateway set, usage reports and slots of the rotation come too late for a waiting client.
SMALL_GATEWAY_SET_SIZE = 4
ROTATION_PERIOD_USAGE_PERIODS = 1.0  # length of a rotation period
CONTENTION_AFTER_REPORT_USAGE_PERIODS = 10.0  # assumed duration of contention after a report over the cap
# Assumed duration of contention after a request that comes while another is in flight. It is short, as
# requests may overlap by chance.
CONTENTION_AFTER_OCCUPIED_SLOT_USAGE_PERIODS = 1.0
# Time in which the count of arrivals decays by a factor of e, equal to the delay of a usage report.
ARRIVALS_DECAY_MS = 2000.0
# Recent arrivals at this gateway that imply contention, at a headroom of 1 (the cap is not used at all).
CONTENTION_ARRIVALS_PER_HEADROOM = 0.75
INITIAL_HEADROOM_SHARE = 0.3  # share of the cap that is assumed to be free without a usage report


class InFlightLimit:
    """Keeps a customer's attempts in flight, over all gateways, within the cap of its plan."""

    def __init__(self, settings: Settings, clock: DecayClock) -> None:
        self._settings = settings
        self._clock = clock

    def has_free_slot(self, pending: PendingRequest, quota_share: float) -> bool:
        """Return whether an attempt fits into this gateway's share of the cap, which is at least 1."""
        cap = pending.plan.max_in_flight
        return not cap or pending.customer.total_in_flight() < max(1, int(cap * quota_share))

    def on_usage_report(self, customer: CustomerState, usage: float) -> None:
        """Assume contention for some time if reported usage is above 1, which is more than the cap allows."""
        if usage > 1.0:
            self._mark_contended(customer, CONTENTION_AFTER_REPORT_USAGE_PERIODS)

    def on_arrival(self, customer: CustomerState, plan: Plan) -> bool:
        """Count a request; return whether frequent arrivals here imply that other gateways use the slots too.

        Always returns False for a plan without a cap, or with both a cap and a rate.
        """
        if customer.total_in_flight():
            self._mark_contended(customer, CONTENTION_AFTER_OCCUPIED_SLOT_USAGE_PERIODS)
        if not plan.max_in_flight or plan.rate:
            return False
        now_ms = self._clock.now_ms
        arrivals = customer.recent_demand * exp((customer.recent_demand_at_ms - now_ms) / ARRIVALS_DECAY_MS)
        customer.recent_demand = arrivals + 1.0
        customer.recent_demand_at_ms = now_ms
        headroom = max(0.0, 1.0 - customer.usage) if customer.usage_at_ms > -inf else INITIAL_HEADROOM_SHARE
        return arrivals >= CONTENTION_ARRIVALS_PER_HEADROOM * headroom

    def _mark_contended(self, customer: CustomerState, usage_periods: float) -> None:
        until_ms = self._clock.now_ms + usage_periods * self._settings.usage_period_ms
        customer.contended_until_ms = max(customer.contended_until_ms, until_ms)

    def slot_wait_ms(self, pending: PendingRequest) -> float:
        """Return the milliseconds until the rotation gives this gateway a slot; 0 if slots do not rotate.

        Slots rotate under contention if the cap has fewer slots than the customer's gateway set has gateways.
        Time is divided into rotation periods by the clock that all gateways share. In each period, as many
        neighboring gateways of the set as there are slots may use one slot each. In the next period, this
        group of gateways moves on by one.
        """
        customer, cap = pending.customer, pending.plan.max_in_flight
        if not cap or cap >= customer.gateway_set_size or not self._are_slots_contended(pending):
            return 0.0
        period_ms = ROTATION_PERIOD_USAGE_PERIODS * self._settings.usage_period_ms
        period, elapsed_ms = divmod(self._clock.now_ms, period_ms)
        position = (self._settings.index - pending.request.first_gateway) % self._settings.gateways
        periods_ahead = int(position - period) % customer.gateway_set_size
        return 0.0 if periods_ahead < cap else (periods_ahead - cap + 1) * period_ms - elapsed_ms

    def _are_slots_contended(self, pending: PendingRequest) -> bool:
        """Return whether contention for the customer's slots is assumed.

        This is judged by arrivals in a large gateway set, else by usage reports and occupied slots.
        """
        if pending.customer.gateway_set_size > SMALL_GATEWAY_SET_SIZE:
            return pending.is_contended
        return self._clock.now_ms < pending.customer.contended_until_ms
