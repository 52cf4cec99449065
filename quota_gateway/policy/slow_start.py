"""Slow start of warming endpoints: docs/decisions/slow_start.md."""

from quota_gateway.model.endpoint_state import Endpoints, EndpointState
from quota_gateway.model.settings import ServiceRules
from quota_gateway.policy.clock import DecayClock

OVERLOAD_BUDGET_SHARE = 0.5  # planned share of the overload factor; the rest is left for bursts


class SlowStart:
    """Computes the capacity of warming endpoints, and picks the one that a request may be sent to."""

    def __init__(self, rules: ServiceRules, clock: DecayClock) -> None:
        self._rules = rules
        self._clock = clock

    def capacity_share(self, endpoint: EndpointState) -> float:
        """Return the least share of its full capacity that an endpoint has now, from 0 to 1."""
        age_ms = self._clock.now_ms - endpoint.started_ms
        if endpoint.started_ms <= 0 or age_ms >= self._rules.warm_up_ms:
            return 1.0
        initial_share = self._rules.initial_capacity_share
        return initial_share + (1.0 - initial_share) * max(0.0, age_ms) / self._rules.warm_up_ms

    def is_over(self, started_ms: float) -> bool:
        """Return whether an endpoint that started at this time has its full capacity now."""
        return self._clock.now_ms - started_ms >= self._rules.warm_up_ms

    def warming_up(self, endpoints: Endpoints) -> Endpoints:
        """Return the endpoints that do not have their full capacity yet."""
        return [item for item in endpoints if item.started_ms > 0 and self.capacity_share(item) < 1.0]

    def pick(self, draw: float, ready: Endpoints, warming: Endpoints) -> EndpointState | None:
        """Pick the warming endpoint that a request may be sent to.

        Each warming endpoint is assigned a range of the draws from 0 to 1, as wide as its share of the
        capacity of all ready endpoints. The ranges follow each other from 0; the draws after the last range
        belong to no warming endpoint. A request may be sent to a warming endpoint only if its draw is in the
        first part of the endpoint's range, see ``_usable_range_share``.

        Args:
            draw: ``PendingRequest.random_draw``, so that the pick stays the same as endpoints warm up.
            ready: The endpoints in use; not empty.
            warming: The warming endpoints among ``ready``.

        Returns:
            The endpoint, or None if the draw is not in the first part of any range.
        """
        total_capacity = sum(self.capacity_share(endpoint) for endpoint in ready)
        usable_share = self._usable_range_share(total_capacity, len(ready))
        range_start = 0.0
        for endpoint in warming:
            capacity_share = self.capacity_share(endpoint)
            if not endpoint.is_ready or capacity_share >= 1.0:
                continue
            range_width = capacity_share / total_capacity
            if 0.0 <= draw - range_start < usable_share * range_width:
                return endpoint
            range_start += range_width
        return None

    def _usable_range_share(self, total_capacity: float, ready_count: int) -> float:
        """Return the share of each range that keeps its endpoint within the overload budget."""
        load_factor = OVERLOAD_BUDGET_SHARE * self._rules.overload_factor
        return min(1.0, load_factor * total_capacity / ready_count)
