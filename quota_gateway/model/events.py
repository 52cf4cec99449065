"""Events: everything that the policy engine is told, one after the other.

All times are milliseconds of the clock that the caller hands to ``PolicyEngine.handle``.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from quota_gateway.model.validation import require_numbers


class EndpointLifecycle(Enum):
    """The lifecycle of an endpoint as discovery reports it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(Enum):
    """What an update holds: changes, all endpoints, all as last known, or nothing (a failed call)."""

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "cached"
    FAILED = "failed"


class AttemptStatus(Enum):
    """How an attempt, a health check or a counter call ended.

    An attempt that ended OVERLOADED, CONNECT_FAILED or NOT_SENT was never carried out.
    """

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A server as discovery lists it.

    Attributes:
        server: Number of the server at this gateway.
        zone: Where it runs.
        kind: Type of its machine.
        cell: The group of servers that share idempotency keys, within the zone.
        state: Its lifecycle.
        size: Its relative capacity.
        started_ms: Clock time of its last start, 0 if long past.
        name: What all gateways call it; where it is empty, the number is the same for all.
    """

    server: int
    zone: str
    kind: str = ""
    cell: int = 0
    state: EndpointLifecycle = EndpointLifecycle.READY
    size: float = 1.0
    started_ms: float = 0.0
    name: str = ""


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """What discovery says of the endpoints.

    DELTA alters what is known, SNAPSHOT and CACHED replace it, FAILED holds no endpoints.

    Attributes:
        kind: What the update holds.
        endpoints: Those that it tells of.
        version: Discovery's version of the list.
        listed: Number of servers that discovery lists, where ``endpoints`` has the nearest alone; else 0.
    """

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0
    listed: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request.

    Attributes:
        request_id: Unique among the requests in progress.
        class_name: Name of a ``RequestClass``.
        plan: Name of a ``Plan``.
        customer: The customer, unique within the plan.
        timeout_ms: For how long the client waits.
        units: Units that the request takes of the quota; a guess where ``Settings.reports_final_units``.
        gateway_set_size: Number of gateways through which the customer's requests come.
        first_gateway: Number of the first of them; the others follow in order.
        is_retry: Whether the client marked it as a retry.
        is_write: Whether it changes anything.
    """

    request_id: str
    class_name: str
    plan: str
    customer: str
    timeout_ms: float
    units: float = 1.0
    gateway_set_size: int = 1
    first_gateway: int = 0
    is_retry: bool = False
    is_write: bool = False

    def __post_init__(self) -> None:
        require_numbers(self, 0.0, "units", "timeout_ms")
        require_numbers(self, 1, "gateway_set_size")


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended; exactly one for each ``StartAttempt``.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt, from 0.
        server: The server of the attempt.
        status: How it ended.
        latency_ms: Time from the start of the attempt to its end.
        closed: Whether the client has had the final answer of the request.
        usage_percent: The customer's usage over all gateways, reported late, in percent of its quota.
        final_units: The units that the request has really taken.
        load: The server's load report, a value for each of ``Settings.load_report_fields``.
    """

    request_id: str
    attempt: int
    server: int
    status: AttemptStatus
    latency_ms: float
    closed: bool = False
    usage_percent: float | None = None
    final_units: float | None = None
    load: tuple[float, ...] | None = None


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed reply has begun: it goes to the client as it comes and has no deadline."""

    request_id: str
    attempt: int
    server: int
    latency_ms: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has gone; no answer is owed for this request any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set with ``SetTimer`` is due."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The answer to one ``HealthCheck``."""

    server: int
    status: AttemptStatus
    latency_ms: float
    load: tuple[float, ...] | None = None


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The process will be ended: every request in progress, and any to come, is answered within this time."""

    within_ms: float


@dataclass(frozen=True, slots=True)
class DetachServer:
    """Operators took a server out of service: no new attempts there until ``AttachServer``."""

    server: int


@dataclass(frozen=True, slots=True)
class AttachServer:
    """Operators put a detached server back into service; it was restarted meanwhile."""

    server: int


@dataclass(frozen=True, slots=True)
class ExportState:
    """Another process takes over: a ``StateSnapshot`` is owed, and ``NotifyPeerProcess`` on each change."""


@dataclass(frozen=True, slots=True)
class RestoreState:
    """The state that the previous process exported.

    Raises:
        StateError: The state is malformed; none of it is taken over.
    """

    state: dict[str, Any]


@dataclass(frozen=True, slots=True)
class PeerProcessUsage:
    """What the other process of this gateway has in flight for a customer.

    Attributes:
        plan: The customer's plan.
        customer: The customer.
        in_flight: Number of attempts in flight from the other process.
        excess_change: Change of the leaky bucket's excess, in milliunits.
    """

    plan: str
    customer: str
    in_flight: int
    excess_change: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerProcessExited:
    """The other process of this gateway has ended."""


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The answer to one ``IncrementCounter``; ``total`` is valid with OK only."""

    name: int
    status: AttemptStatus
    total: float
    latency_ms: float


Event = (
    EndpointUpdate
    | Request
    | Outcome
    | StreamStarted
    | ClientDisconnected
    | TimerFired
    | HealthCheckResult
    | PeerMessage
    | CounterReply
    | ShutdownStarted
    | DetachServer
    | AttachServer
    | ExportState
    | RestoreState
    | PeerProcessUsage
    | PeerProcessExited
)
