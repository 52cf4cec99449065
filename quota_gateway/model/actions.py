"""Actions: everything that the policy engine decides, to be carried out in order.

Whoever drives an engine owes it one ``Outcome`` for each ``StartAttempt`` and one ``TimerFired`` for each
``SetTimer``; the engine owes each ``Request`` exactly one final answer.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from quota_gateway.model.events import PeerProcessUsage


class AnswerReason(Enum):
    """Why the engine gave a final answer that serves nothing; for metrics and logs alone.

    The values are labels in `_metrics`, which dashboards name, so they never change. The table in
    docs/decisions/README.md names the function that gives each reason.
    """

    UNSPECIFIED = "unspecified"
    UNKNOWN_CLASS_OR_PLAN = "unknown_class_or_plan"
    RETRY_BELOW_ONE_REQUEST = "thin_retry"  # a marked retry, where the quota share is below one request
    UNKNOWN_CUSTOMER = "unknown_customer"
    OVER_QUOTA = "over_quota"
    NO_CAPACITY_IN_TIME = "no_place_in_time"
    SHED = "shed"
    QUEUE_TIMEOUT = "queue_timeout"
    ATTEMPT_PRESUMED_LOST = "attempt_lost"
    NO_FURTHER_ATTEMPT = "no_further_attempt"
    DEADLINE = "deadline"


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt at a server; with a ``timeout_ms`` of 0 it may take as long as the client waits."""

    request_id: str
    server: int
    timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: a retry is harmless, after ``retry_after_ms`` or, if that is 0, at any time."""

    request_id: str
    retry_after_ms: float = 0.0
    reason: AnswerReason = field(default=AnswerReason.UNSPECIFIED, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed, and nothing is promised about its effect."""

    request_id: str
    reason: AnswerReason = field(default=AnswerReason.UNSPECIFIED, compare=False)


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt; its outcome is still owed."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver ``TimerFired(token)`` after ``delay_ms``; timers are not taken back."""

    token: int
    delay_ms: float


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the log."""

    text: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Open a watch on discovery, or close it."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Ask discovery for a snapshot once."""


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Ask a server for its health, which costs it work."""

    server: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this gateway's idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class SetServerDetached:
    """While ``detached``, send a server no attempt of which no byte has been written yet."""

    server: int
    detached: bool


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The state for a process that takes over; plain values that go into JSON."""

    state: dict[str, Any]


@dataclass(frozen=True, slots=True)
class NotifyPeerProcess:
    """Bring the other process of this gateway a ``PeerProcessUsage``."""

    usage: PeerProcessUsage


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send bytes to one gateway, or to all with -1."""

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
