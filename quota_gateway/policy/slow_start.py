"""Slow start of endpoints that warm up: docs/decisions/slow_start.md."""

from quota_gateway.model.endpoint_state import Endpoints, EndpointState
from quota_gateway.model.settings import ServiceRules
from quota_gateway.policy.clock import DecayClock

OVERLOAD_BUDGET_SHARE = 0.5  # of the overload factor that is planned for; the rest is left for bursts


class SlowStart:
    """How far an endpoint has warmed up, and which requests it may be sent meanwhile."""

    def __init__(self, rules: ServiceRules, clock: DecayClock) -> None:
        self._rules = rules
        self._clock = clock

    def capacity_share(self, endpoint: EndpointState) -> float:
        """Return the share of its full capacity, from 0 to 1, that an endpoint has at least."""
        age_ms = self._clock.now_ms - endpoint.started_ms
        if endpoint.started_ms <= 0 or age_ms >= self._rules.warm_up_ms:
            return 1.0
        initial_share = self._rules.initial_capacity_share
        return initial_share + (1.0 - initial_share) * max(0.0, age_ms) / self._rules.warm_up_ms

    def is_over(self, started_ms: float) -> bool:
        """Whether an endpoint that started at this time has its full capacity."""
        return self._clock.now_ms - started_ms >= self._rules.warm_up_ms

    def warming_up(self, endpoints: Endpoints) -> Endpoints:
        """Return those of the endpoints that do not have their full capacity yet."""
        return [item for item in endpoints if item.started_ms > 0 and self.capacity_share(item) < 1.0]

    def pick(self, draw: float, ready: Endpoints, warming: Endpoints) -> EndpointState | None:
        """Pick the warming endpoint that a request may be sent to.

        The draws from 0 to 1 are divided: each warming endpoint in turn owns a range, as wide as its share of
        the capacity of all ready endpoints; the rest belongs to no warming endpoint. Only requests with a
        draw in the first part of a range may go to its endpoint, see ``_open_share``.

        Args:
            draw: ``PendingRequest.random_draw``; the pick stays the same for it as endpoints warm up.
            ready: The endpoints to work with; not empty.
            warming: Those of them that warm up.

        Returns:
            The endpoint, or None where the draw is in none of these first parts.
        """
        total_capacity = sum(self.capacity_share(endpoint) for endpoint in ready)
        open_share = self._open_share(total_capacity, len(ready))
        range_start = 0.0
        for endpoint in warming:
            capacity_share = self.capacity_share(endpoint)
            if not endpoint.is_ready or capacity_share >= 1.0:
                continue
            range_width = capacity_share / total_capacity
            if 0.0 <= draw - range_start < open_share * range_width:
                return endpoint
            range_start += range_width
        return None

    def _open_share(self, total_capacity: float, ready_count: int) -> float:
        """The first part of a range, as a share of it, that fits into the overload budget of its endpoint."""
        load_factor = OVERLOAD_BUDGET_SHARE * self._rules.overload_factor
        return min(1.0, load_factor * total_capacity / ready_count)
