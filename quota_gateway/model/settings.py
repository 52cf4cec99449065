"""Settings of a gateway: what it is told once, at its start. Times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from quota_gateway.model.validation import require_not, require_numbers

DEFAULT_IDLE_MS = 30_000.0  # of a connection, where the settings do not tell


class Idempotency(Enum):
    """Whether a request may be repeated: freely, within a group that knows its key, or never."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"


class IdempotencyScope(Enum):
    """Which servers drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """How server lists come: unasked, or only after ``Subscribe`` or ``PollEndpoints``."""

    PUSH = "push"
    ASK = "ask"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests. ``priority_weight`` is per unit; ``value_after_objective`` of it is kept later."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    idempotency: Idempotency
    priority_weight: float = 1.0
    value_after_objective: float = 0.0
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window_ms: float = 0.0
    streamed: bool = False
    objective_stretch: float = 0.0

    def __post_init__(self) -> None:
        require_not(not self.name, self, "name", "is empty")
        require_numbers(
            self,
            0.0,
            "latency_objective_ms",
            "deadline_ms",
            "priority_weight",
            "value_after_objective",
            "idempotency_window_ms",
            "objective_stretch",
        )
        require_not(self.deadline_ms <= 0, self, "deadline_ms", "leaves no time")
        require_not(self.latency_objective_ms <= 0, self, "latency_objective_ms", "leaves no time")


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota per customer over all gateways: units a second, units at once, attempts out.

    A rate, an in-flight limit or a ceiling rate of 0 means that the plan has none.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    max_in_flight: int = 0
    weight: float = 1.0
    excess_value: float = 0.0
    excess_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        require_not(not self.name, self, "name", "is empty")
        require_numbers(self, 0.0, "rate", "burst", "max_in_flight", "weight", "excess_value", "excess_cost")
        require_numbers(self, 0.0, "ceiling_rate", "ceiling_burst", "ceiling_slack")
        require_not(self.rate > 0 and self.burst <= 0, self, "burst", "is nothing though there is a rate")
        nothing = self.ceiling_rate > 0 and self.ceiling_burst <= 0
        require_not(nothing, self, "ceiling_burst", "is nothing though there is a ceiling")


@dataclass(frozen=True, slots=True)
class GatewayLimits:
    """What the site permits a gateway to do."""

    max_attempts: int = 1
    may_duplicate: bool = False
    can_cancel: bool = False
    can_probe: bool = False
    can_message_peers: bool = False
    can_send_retry_after: bool = False
    max_open: int = 1_000_000
    connect_timeout_ms: float = 250.0
    max_retry_after_ms: float = 0.0
    connection_idle_ms: float = DEFAULT_IDLE_MS

    def __post_init__(self) -> None:
        require_numbers(self, 1, "max_attempts", "max_open")
        require_numbers(self, 0.0, "connect_timeout_ms", "max_retry_after_ms", "connection_idle_ms")


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """The figures of the rules: answers, drains and cold servers."""

    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    initial_capacity_share: float = 1.0
    warm_up_ms: float = 0.0
    overload_factor: float = 1.0
    overload_window_ms: float = 0.0
    poll_deadline_ms: float = 0.0

    def __post_init__(self) -> None:
        require_numbers(
            self, 0.0, "answer_slack_ms", "drain_grace_ms", "initial_capacity_share", "warm_up_ms"
        )
        require_numbers(self, 0.0, "overload_factor", "overload_window_ms", "poll_deadline_ms")
        require_not(self.initial_capacity_share > 1, self, "initial_capacity_share", "is more than the whole")


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told at its start."""

    gateways: int
    index: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    limits: GatewayLimits = GatewayLimits()
    contract: ServiceRules = ServiceRules()
    discovery: DiscoveryMode = DiscoveryMode.PUSH
    load_report_fields: tuple[str, ...] = ()
    usage_period_ms: float = 0.0
    max_request_units: float = 1.0
    reports_final_units: bool = False
    has_counter: bool = False
    counter_timeout_ms: float = 0.0
    tick_ms: float = 1.0
    cross_zone_cost: float = 0.0

    def __post_init__(self) -> None:
        require_numbers(self, 1, "gateways")
        require_numbers(
            self, 0.0, "index", "usage_period_ms", "counter_timeout_ms", "tick_ms", "cross_zone_cost"
        )
        require_not(self.index >= self.gateways, self, "index", "is not below the number of gateways")
        require_numbers(self, 0.0, "max_request_units")
        require_not(self.max_request_units <= 0, self, "max_request_units", "is nothing")
        for name in ("classes", "plans"):
            names = [item.name for item in getattr(self, name)]
            require_not(not names, self, name, "is empty")
            require_not(len(set(names)) != len(names), self, name, "names one twice")
