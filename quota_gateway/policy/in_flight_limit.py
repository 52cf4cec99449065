"""The cap on a customer's attempts in flight: docs/decisions/in_flight_limit.md."""

from math import exp, inf

from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.model.settings import Plan, Settings
from quota_gateway.policy.clock import DecayClock

SMALL_GATEWAY_SET_SIZE = (
    4  # gateways by which most of a customer's requests come at a time: a wider set has idle ones
)
TURN_PERIODS = 1.0  # usage periods of a gateway's turn at contended places: long beside an attempt
REPORTED_PERIODS = 10.0  # usage periods of contention after a report of more in flight than the cap allows
OCCUPIED_PERIODS = 1.0  # the same after a request found this gateway's place taken, which may be chance
ARRIVALS_DECAY_MS = 2000.0  # time constant of a customer's arrivals here: the lateness of a report
ARRIVALS_PER_HEADROOM = 0.75  # such arrivals that the whole of a cap's headroom allows
FIRST_HEADROOM = 0.3  # of a cap: taken for a customer of whom there is no report yet


class InFlightLimit:
    """Keeps a customer's attempts in flight, over all gateways, within the cap of its plan."""

    def __init__(self, settings: Settings, clock: DecayClock) -> None:
        self._settings = settings
        self._clock = clock

    def has_place(self, pending: PendingRequest, quota_share: float) -> bool:
        """Whether an attempt fits into this gateway's share of the cap, which is one at least."""
        cap = pending.plan.max_in_flight
        return not cap or pending.customer.total_in_flight() < max(1, int(cap * quota_share))

    def on_usage_report(self, customer: CustomerState, usage: float) -> None:
        """Note contention where a report tells of more than the cap allows."""
        if usage > 1.0:
            self._mark_contended(customer, REPORTED_PERIODS)

    def on_arrival(self, customer: CustomerState, plan: Plan) -> bool:
        """Count a request under a cap, and say whether its places seem to be taken elsewhere."""
        if customer.total_in_flight():
            self._mark_contended(customer, OCCUPIED_PERIODS)
        if not plan.max_in_flight or plan.rate:
            return False
        now_ms = self._clock.now_ms
        arrivals = customer.offered * exp((customer.offered_at_ms - now_ms) / ARRIVALS_DECAY_MS)
        customer.offered = arrivals + 1.0
        customer.offered_at_ms = now_ms
        headroom = max(0.0, 1.0 - customer.usage) if customer.usage_at_ms > -inf else FIRST_HEADROOM
        return arrivals >= ARRIVALS_PER_HEADROOM * headroom

    def _mark_contended(self, customer: CustomerState, periods: float) -> None:
        until_ms = self._clock.now_ms + periods * self._settings.usage_period_ms
        customer.contended_until_ms = max(customer.contended_until_ms, until_ms)

    def turn_wait_ms(self, pending: PendingRequest) -> float:
        """Milliseconds until it is this gateway's turn at a cap with fewer places than gateways."""
        customer, places = pending.customer, pending.plan.max_in_flight
        if not places or places >= customer.gateway_set_size:
            return 0.0
        now_ms = self._clock.now_ms
        is_set_wide = customer.gateway_set_size > SMALL_GATEWAY_SET_SIZE
        if not (pending.is_contended if is_set_wide else now_ms < customer.contended_until_ms):
            return 0.0
        turn_ms = TURN_PERIODS * self._settings.usage_period_ms
        turn, elapsed_ms = divmod(now_ms, turn_ms)
        position = (self._settings.index - pending.request.first_gateway) % self._settings.gateways
        turns_ahead = int(position - turn) % customer.gateway_set_size
        return 0.0 if turns_ahead < places else (turns_ahead - places + 1) * turn_ms - elapsed_ms
