"""Events: the input of the policy engine, one event at a time.

All times are in milliseconds, by the clock that gives the ``now_ms`` of ``PolicyEngine.handle``.
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
    """The content of an update: changes, all endpoints, all as last known, or nothing (a failed call)."""

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "cached"
    FAILED = "failed"


class AttemptStatus(Enum):
    """The result of an attempt, a health check or a counter call.

    An attempt with the status OVERLOADED, CONNECT_FAILED or NOT_SENT was never executed.
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
        zone: Zone in which the server runs.
        kind: Machine type.
        cell: The group of servers that share idempotency keys, within the zone.
        state: State in the server's lifecycle.
        size: Relative capacity.
        started_ms: Clock time of the last start, 0 if long past.
        name: Name that is the same at all gateways. If it is empty, the number is the same at all gateways.
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
    """An update of the endpoints from discovery.

    DELTA changes the list of endpoints, SNAPSHOT and CACHED replace it, FAILED has no endpoints.

    Attributes:
        kind: Kind of the update.
        endpoints: Endpoints in the update.
        version: Discovery's version of the list.
        listed: Number of servers that discovery lists if ``endpoints`` has only the nearest of them, else 0.
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
        timeout_ms: Time for which the client waits.
        units: Units of the quota that the request takes; an estimate if ``Settings.reports_final_units``.
        gateway_set_size: Number of gateways through which the customer's requests come.
        first_gateway: Number of the first of these gateways; the others follow in order.
        is_retry: Whether the client marked the request as a retry.
        is_write: Whether the request changes any data.
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
    """The outcome of an attempt; exactly one for each ``StartAttempt``.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt, from 0.
        server: The server of the attempt.
        status: Result of the attempt.
        latency_ms: Time from the start of the attempt to its end.
        closed: Whether an answer was given or has begun, or the client has disconnected.
        usage_percent: The customer's usage over all gateways, reported late, in percent of its quota.
        final_units: Units that the request actually took.
        load: The server's load report, one value for each of ``Settings.load_report_fields``.
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
    """A streamed reply has begun; it is passed to the client as it arrives and has no deadline."""

    request_id: str
    attempt: int
    server: int
    latency_ms: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected; its request needs no answer any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set with ``SetTimer`` is due."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The result of one ``HealthCheck``."""

    server: int
    status: AttemptStatus
    latency_ms: float
    load: tuple[float, ...] | None = None


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The process is shutting down: all current and new requests must be answered within ``within_ms``."""

    within_ms: float


@dataclass(frozen=True, slots=True)
class DetachServer:
    """Operators took a server out of service: no new attempts there until ``AttachServer``."""

    server: int


@dataclass(frozen=True, slots=True)
class AttachServer:
    """Operators put a detached server back into service; it was restarted while it was detached."""

    server: int


@dataclass(frozen=True, slots=True)
class ExportState:
    """The next process takes over: output a ``StateSnapshot``, then ``NotifyPeerProcess`` on each change."""


@dataclass(frozen=True, slots=True)
class RestoreState:
    """The state that the previous process exported.

    ``PolicyEngine.handle`` raises a ``StateError`` if it is malformed; none of it is restored then.
    """

    state: dict[str, Any]


@dataclass(frozen=True, slots=True)
class PeerProcessUsage:
    """The usage of a customer by the peer process of this gateway.

    Attributes:
        plan: The customer's plan.
        customer: The customer.
        in_flight: Number of attempts in flight from the peer process.
        excess_change: Change of the leaky bucket's excess, in milliunits.
    """

    plan: str
    customer: str
    in_flight: int
    excess_change: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerProcessExited:
    """The peer process of this gateway has exited."""


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The result of one ``IncrementCounter``; ``total`` is valid only if the status is OK."""

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
