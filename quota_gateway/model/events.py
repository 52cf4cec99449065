"""Events: everything that the policy engine is told, one after the other.

All times are milliseconds of the clock that the caller hands to ``PolicyEngine.handle``.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from quota_gateway.model.validation import require_numbers


class EndpointLifecycle(Enum):
    """What discovery says of a server's process."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(Enum):
    """What a server list holds: changes, everything, everything as last known, or a failed call."""

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "cached"
    FAILED = "failed"


class AttemptStatus(Enum):
    """How an attempt, a probe or a counter call ended. FULL, CONNECT_FAILED and NOT_SENT never ran."""

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
    """A server in a list. ``started_ms`` is the clock time of its last start, 0 if long past.

    ``name`` is what all gateways call it; where it is not given, the number is the same for all.
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
    """Discovery's news. CHANGES alter the list held; FULL and CACHED replace it; FAILED has no entries.

    ``listed`` is how many servers discovery names, where the entries are of the nearest of them alone.
    """

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0
    listed: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request. It may come through ``gateway_set_size`` gateways from ``first_gateway`` on."""

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
    """How an attempt ended; one for each Send. ``closed``: the request has had its final answer.

    ``usage_percent`` is the customer's late metered use by all gateways, in percent of its rate;
    ``final_units`` replaces a guess; ``load`` has a value for each of ``Settings.load_report_fields``.
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
    """A streamed answer has begun: the attempt is the client's now and has no deadline."""

    request_id: str
    attempt: int
    server: int
    latency_ms: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has left; nothing more is owed for this request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set with ``SetTimer`` has fallen due."""

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
    """The gateway will be ended: every request in hand, and any that still comes, is answered within this."""

    within_ms: float


@dataclass(frozen=True, slots=True)
class DetachServer:
    """Operators took a server out: nothing more goes there, whatever lists say, until ``AttachServer``."""

    server: int


@dataclass(frozen=True, slots=True)
class AttachServer:
    """Operators let a server serve again; it was started anew while it was out."""

    server: int


@dataclass(frozen=True, slots=True)
class ExportState:
    """Another process takes over from this one: it is owed an ``StateSnapshot``, and what changes of it."""


@dataclass(frozen=True, slots=True)
class RestoreState:
    """What the process before has left, as its ``StateSnapshot`` had it. ValueError if it is malformed."""

    state: dict[str, Any]


@dataclass(frozen=True, slots=True)
class PeerProcessUsage:
    """What the other process of this gateway has out for a customer, and by how much its excess changed."""

    plan: str
    customer: str
    in_flight: int
    excess_change: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerProcessExited:
    """There is no other process of this gateway any more."""


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The answer to one ``IncrementCounter``; ``total`` counts with OK only."""

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
