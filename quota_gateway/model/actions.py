"""Actions: the decisions of the policy engine, to be carried out in order.

The caller of an engine must deliver one ``Outcome`` for each ``StartAttempt`` and one ``TimerFired`` for each
``SetTimer``. The engine must give each ``Request`` exactly one final answer.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from quota_gateway.model.events import PeerProcessUsage


class AnswerReason(Enum):
    """The reason for a rejection or failure, used only in metrics and logs.

    The values are labels in `_metrics` that dashboards refer to, so they never change. The table in
    docs/decisions/README.md names the function that gives each reason.
    """

    UNSPECIFIED = "unspecified"
    UNKNOWN_CLASS_OR_PLAN = "unknown_class_or_plan"
    RETRY_BELOW_ONE_REQUEST = "thin_retry"  # a retry of a customer whose quota share is below one request
    UNKNOWN_CUSTOMER = "unknown_customer"
    OVER_QUOTA = "over_quota"
    NO_CAPACITY_IN_TIME = "no_place_in_time"
    SHED = "shed"
    QUEUE_TIMEOUT = "queue_timeout"
    ATTEMPT_PRESUMED_LOST = "attempt_lost"
    NO_FURTHER_ATTEMPT = "no_further_attempt"
    DEADLINE = "deadline"
    REPEATED_REQUEST = "repeated_request"


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt at a server; a ``timeout_ms`` of 0 allows it to take as long as the client waits."""

    request_id: str
    server: int
    timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the request is rejected; a retry after ``retry_after_ms`` (0: at once) is harmless."""

    request_id: str
    retry_after_ms: float = 0.0
    reason: AnswerReason = field(default=AnswerReason.UNSPECIFIED, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed; it is unknown whether it had an effect."""

    request_id: str
    reason: AnswerReason = field(default=AnswerReason.UNSPECIFIED, compare=False)


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt; its ``Outcome`` must still be delivered."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver ``TimerFired(token)`` after ``delay_ms``; timers are never cancelled."""

    token: int
    delay_ms: float


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Open a watch on discovery, or close it if not ``active``."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Ask discovery for a snapshot once."""


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Send a health check to a server, which costs the server work."""

    server: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this gateway's idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class SetServerDetached:
    """While ``detached``, do not send a server attempts of which no byte has been written yet."""

    server: int
    detached: bool


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The state for the next process, as plain values that can be written as JSON."""

    state: dict[str, Any]


@dataclass(frozen=True, slots=True)
class NotifyPeerProcess:
    """Send a ``PeerProcessUsage`` to the peer process of this gateway."""

    usage: PeerProcessUsage


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send bytes to the gateway ``peer``, or to all gateways if ``peer`` is -1."""

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add to a counter shared by all gateways; it is deleted ``lifetime_ms`` after the first addition."""

    name: int
    amount: float
    lifetime_ms: float


Action = (
    StartAttempt
    | Reject
    | Fail
    | CancelAttempt
    | SetTimer
    | LogMessage
    | Subscribe
    | PollEndpoints
    | HealthCheck
    | CloseIdle
    | SetServerDetached
    | StateSnapshot
    | NotifyPeerProcess
    | SendPeerMessage
    | IncrementCounter
)
