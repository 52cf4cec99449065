"""Settings of a gateway, fixed at its start. Times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from quota_gateway.model.validation import FieldError, require, require_numbers, require_positive

#: Default time after which servers close an idle connection.
DEFAULT_IDLE_MS = 30_000.0


class Idempotency(Enum):
    """Whether a request may be repeated: freely, at servers that recognize its idempotency key, or never."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"


class IdempotencyScope(Enum):
    """The servers that recognize a repeated idempotency key: all, those of a zone, or those of a cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """How endpoint updates arrive: without a call, or only after ``Subscribe`` or ``PollEndpoints``."""

    PUSH = "push"
    ASK = "ask"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with the same objective and the same rules for retries.

    Attributes:
        name: Unique name, as clients send it.
        latency_objective_ms: Time from arrival to reply; later replies earn only ``value_after_objective``.
        deadline_ms: Longest time that any client waits.
        idempotency: Whether, and where, an attempt may be repeated.
        priority_weight: Value of one unit that is served within the objective.
        value_after_objective: Share of ``priority_weight`` earned between objective and deadline.
        idempotency_scope: The servers among which a key is recognized.
        idempotency_window_ms: Time after the first attempt during which a key is recognized.
        streamed: Whether replies are streamed.
        objective_stretch: Growth of the objective with a request's size; kept for the simulator's protocol.
    """

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
        require(bool(self.name), self, "name", "is not a name of at least one character")
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
        require_positive(self, "deadline_ms")
        require_positive(self, "latency_objective_ms")


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan: the quota of each of its customers, summed over all gateways.

    A rate, an in-flight limit or a ceiling rate of 0 means that the plan has none.

    Attributes:
        name: Unique name, as clients send it.
        rate: Units per second that drain from the customer's leaky bucket.
        burst: Units that the bucket may hold without a delay of requests.
        max_in_flight: Attempts that a customer may have in flight at once.
        weight: Factor on ``RequestClass.priority_weight`` for its customers.
        excess_value: Value of a unit served beyond the quota, relative to one within it.
        excess_cost: Cost of a unit served beyond the quota, on the same scale.
        ceiling_rate: Units per second of the hard ceiling, which must never be exceeded.
        ceiling_burst: Burst of the hard ceiling, in units.
        ceiling_slack: Units by which the ceiling may be exceeded by chance.
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
        require(bool(self.name), self, "name", "is not a name of at least one character")
        require_numbers(self, 0.0, "rate", "burst", "max_in_flight", "weight", "excess_value", "excess_cost")
        require_numbers(self, 0.0, "ceiling_rate", "ceiling_burst", "ceiling_slack")
        if self.rate > 0:
            require_positive(self, "burst")
        if self.ceiling_rate > 0:
            require_positive(self, "ceiling_burst")


@dataclass(frozen=True, slots=True)
class GatewayLimits:
    """The limits and permissions of the site for a gateway.

    Attributes:
        max_attempts: Maximum number of attempts for one request, including the first.
        may_duplicate: Whether two attempts for one request may be in flight (a hedged request).
        can_cancel: Whether an attempt may be cancelled.
        can_probe: Whether health checks may be sent to servers.
        can_message_peers: Whether gateways may send each other messages.
        can_send_retry_after: Whether a rejection may tell the client when to retry.
        max_open: Maximum number of open connections.
        connect_timeout_ms: Time in which a connection to a server must be established.
        max_retry_after_ms: Longest time after which a rejection may tell the client to retry.
        connection_idle_ms: Time after which servers close an idle connection.
    """

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
    """The rules of the service for draining, slow start and overload.

    Attributes:
        answer_slack_ms: Time by which a final answer may be late.
        drain_grace_ms: Longest time for which a draining endpoint may still get new attempts.
        initial_capacity_share: Share of its full capacity that a server has when it starts.
        warm_up_ms: Time in which a server's capacity rises linearly to its full capacity.
        overload_factor: Load that makes a warming server collapse, as a multiple of its current capacity.
        overload_window_ms: Time window over which this load is summed.
        poll_deadline_ms: Time within which discovery must be polled.
    """

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
        is_share = self.initial_capacity_share <= 1
        require(is_share, self, "initial_capacity_share", "is not a number of at most 1")


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a gateway.

    Attributes:
        gateways: Number of gateways in the fleet.
        index: This gateway's number, from 0.
        zone: This gateway's zone.
        classes: Every class of requests.
        plans: Every plan.
        limits: Limits and permissions of the site.
        service_rules: Rules for draining, slow start and overload.
        discovery: How endpoint updates arrive.
        load_report_fields: Names of the values in a server's load report, in order.
        usage_period_ms: Period that a usage report covers.
        max_request_units: Maximum number of units that one request may take.
        reports_final_units: Whether a reply reports the units that the request actually took.
        has_counter: Whether there is a counter shared by all gateways.
        counter_timeout_ms: Timeout of a call to the shared counter.
        tick_ms: Resolution of timers.
        cross_zone_cost: Cost of an attempt in another zone, as a share of a request's value.
    """

    gateways: int
    index: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    limits: GatewayLimits = GatewayLimits()
    service_rules: ServiceRules = ServiceRules()
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
        is_index = self.index < self.gateways
        require(is_index, self, "index", f"is not below the number of gateways, {self.gateways!r}")
        require_numbers(self, 0.0, "max_request_units")
        require_positive(self, "max_request_units")
        self._require_unique_names("classes", [item.name for item in self.classes])
        self._require_unique_names("plans", [item.name for item in self.plans])

    def _require_unique_names(self, field: str, names: list[str]) -> None:
        if not names:
            raise FieldError(self, field, names, "is not a list of at least one")
        if len(set(names)) != len(names):
            raise FieldError(self, field, names, "is not a list of unique names")
