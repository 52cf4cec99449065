"""Slow start of endpoints that warm up: docs/decisions/slow_start.md."""

from quota_gateway.model.endpoint_state import Endpoints, EndpointState
from quota_gateway.model.settings import ServiceRules
from quota_gateway.policy.clock import DecayClock

OVERLOAD_BUDGET = 0.5  # of the overload factor: a burst of half as much again and chance fit into the rest


class SlowStart:
    """How far an endpoint has warmed up, and which requests it is open to meanwhile."""

    def __init__(self, rules: ServiceRules, clock: DecayClock) -> None:
        self._rules = rules
        self._clock = clock

    def capacity_share(self, endpoint: EndpointState) -> float:
        """The share of its capacity that an endpoint has at least, by the time since its start."""
        age_ms = self._clock.now_ms - endpoint.started_ms
        if endpoint.started_ms <= 0 or age_ms >= self._rules.warm_up_ms:
            return 1.0
        initial = self._rules.initial_capacity_share
        return initial + (1.0 - initial) * max(0.0, age_ms) / self._rules.warm_up_ms

    def is_over(self, started_ms: float) -> bool:
        """Whether an endpoint that started then has its whole capacity."""
        return self._clock.now_ms - started_ms >= self._rules.warm_up_ms

    def warming_up(self, endpoints: Endpoints) -> list[EndpointState]:
        """Those of the endpoints that don't have their whole capacity yet."""
        return [item for item in endpoints if item.started_ms > 0 and self.capacity_share(item) < 1.0]

    def pick(self, draw: float, ready: Endpoints, warming: Endpoints) -> EndpointState | None:
        """The warming endpoint that a request of this draw may go to, if any: it stays the same for it."""
        capacity = sum(self.capacity_share(endpoint) for endpoint in ready)
        start = 0.0
        open_part = min(1.0, OVERLOAD_BUDGET * self._rules.overload_factor * capacity / len(ready))
        for endpoint in warming:
            share = self.capacity_share(endpoint)
            if endpoint.is_ready and share < 1.0:
                width = share / capacity
                if 0.0 <= draw - start < open_part * width:
                    return endpoint
                start += width
        return None
