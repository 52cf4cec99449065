"""The state of a customer as one gateway sees it."""

from __future__ import annotations

from math import inf


class CustomerState:
    """The state of one customer at this gateway: its excess, reported usage and attempts in flight.

    Attributes:
        excess: Milliunits in the leaky bucket, as of ``excess_at_ms``.
        largest_units: Units of the largest request seen.
        gateway_set_size: Number of gateways through which its requests come, as given by its last request.
        usage: Usage over all gateways, as last reported at ``usage_at_ms``; 1 is the whole quota.
        contended_until_ms: Clock time until which contention for slots under the in-flight cap is assumed.
        recent_demand: Recent demand, admitted or not, as of ``recent_demand_at_ms``: in units under a rate,
            in requests under a cap.
        in_flight: Number of attempts in flight from this process.
        peer_in_flight: Number of attempts in flight from the peer process of this gateway.
        ceiling_level: Units in this gateway's share of the hard ceiling, as of ``ceiling_at_ms``.
    """

    __slots__ = (
        "ceiling_at_ms",
        "ceiling_level",
        "contended_until_ms",
        "excess",
        "excess_at_ms",
        "gateway_set_size",
        "in_flight",
        "largest_units",
        "peer_in_flight",
        "recent_demand",
        "recent_demand_at_ms",
        "usage",
        "usage_at_ms",
    )

    def __init__(self, now_ms: float, ceiling_level: float) -> None:
        self.excess = 0.0
        self.excess_at_ms = now_ms
        self.largest_units = 0.0
        self.gateway_set_size = 1
        self.usage = 0.0
        self.usage_at_ms = -inf
        self.contended_until_ms = -inf
        self.recent_demand = 0.0
        self.recent_demand_at_ms = now_ms
        self.in_flight = 0
        self.peer_in_flight = 0
        self.ceiling_level = ceiling_level
        self.ceiling_at_ms = now_ms

    def total_in_flight(self) -> int:
        """Return the number of attempts in flight from both processes of this gateway."""
        return self.in_flight + self.peer_in_flight
