"""What the roles of a soak record for the oracle. All times are of the monotonic clock, in seconds.

The structs of requests, commands, endpoint changes and processes pass between a soak's processes and into its
files as JSON; ``rename`` maps their fields to the keys there.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from soak.fault_kinds import FaultKind
from soak.violation import Violation

VALUE_REPLY = "value"
BUSY_REPLY = "BUSY"
WRONG_VALUE_PREFIX = "wrong"


class RequestClass(StrEnum):
    """Whether a request may be repeated."""

    READ = "read"
    """Idempotent."""

    KEYED = "keyed"
    """Idempotent within the window of its key."""

    ORDER = "order"
    """Non-idempotent."""

    MALFORMED = "junk"
    """No request: data of a misbehaving client, to which an error or a close is owed."""


class ClientBehaviour(StrEnum):
    """How a client uses one connection."""

    STEADY = "steady"
    PIPELINE = "pipeline"
    DISCONNECT = "leave"
    DISCONNECT_IN_PIPELINE = "leave_pipeline"
    SLOW_SEND = "slow_writer"
    IDLE = "rest"
    MALFORMED = "junk"
    PARTIAL_COMMAND = "half"
    DISCONNECT_AT_ONCE = "leave_early"


class RequestEnd(StrEnum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    CLIENT_DISCONNECTED = "left"
    GATEWAY_DISCONNECTED = "closed"
    UNANSWERED = "silent"
    """No answer came in the time that the client waits."""

    UNSENT = "unsent"
    """The connection ended before the request was written."""

    TRUNCATED = "truncated"
    """The gateway closed within a value, which may have broken off at its server."""


class EndpointLifecycle(StrEnum):
    """The state of a server on discovery's list."""

    READY = "Ready"
    TERMINATING = "Terminating"
    GONE = "Gone"


class OutageKind(StrEnum):
    """How a process of a gateway was killed."""

    CRASH = "crash"
    NEW_VERSION_KILLED = "new dies"
    OLD_VERSION_KILLED = "old dies"


class RequestRecord(msgspec.Struct, rename={"idle_before_s": "rested_s"}):
    """A request as its client saw it.

    Attributes:
        request_id: Its id.
        class_name: Its class.
        behaviour: How its connection behaves.
        gateway: The index of the gateway that it went to.
        connected_s: When its connection was opened.
        sent_s: When its last byte was written.
        timeout_s: How long the client waits.
        is_first: Whether it is the first on its connection.
        idle_before_s: For how long no answer was owed on the connection before it.
        due_s: When its answer is lost: a grace after its timeout, or after the answers before it.
        lag_s: How late the client's process may have noticed the end.
        end: How it ended.
        ended_s: When it ended.
        reply: The first word of an error, ``VALUE_REPLY``, or ``WRONG_VALUE_PREFIX`` and the wrong value.
    """

    request_id: str
    class_name: RequestClass
    behaviour: ClientBehaviour
    gateway: int
    connected_s: float
    sent_s: float
    timeout_s: float
    is_first: bool
    idle_before_s: float
    due_s: float = 0.0
    lag_s: float = 0.0
    end: RequestEnd = RequestEnd.UNSENT
    ended_s: float = 0.0
    reply: str = ""


class CommandRecord(
    msgspec.Struct, frozen=True, rename={"remaining_timeout_s": "told_s", "was_executed": "has_run"}
):
    """An attempt as its server received it.

    Attributes:
        request_id: The request.
        server: The server.
        received_s: When its last byte was read.
        lag_s: How much earlier it may have come, as the process was held up or did not read.
        remaining_timeout_s: How long the gateway said that it waits.
        was_executed: Whether the server began it; an overloaded server does not.
    """

    request_id: str
    server: str
    received_s: float
    lag_s: float
    remaining_timeout_s: float
    was_executed: bool

    @property
    def earliest_received_s(self) -> float:
        """When it may have come at the earliest."""
        return self.received_s - self.lag_s


class EndpointChange(msgspec.Struct, frozen=True):
    """A change of the endpoint list: the server, its new lifecycle, and when discovery published it."""

    server: str
    lifecycle: EndpointLifecycle
    at_s: float


class TimeSpan(msgspec.Struct, frozen=True, kw_only=True):
    """Something that lasted from one time to another."""

    start_s: float
    end_s: float

    def overlaps(self, start_s: float, end_s: float, slack_s: float) -> bool:
        """Return whether it shares a moment with another span, or lies within a slack of it."""
        return self.start_s - slack_s <= end_s and start_s <= self.end_s + slack_s


class GatewayTimeSpan(TimeSpan, frozen=True, kw_only=True):
    """Something that lasted at one gateway, given by its index."""

    gateway: int


class FaultRecord(GatewayTimeSpan, frozen=True, kw_only=True):
    """A fault as it was injected, with the server and the gateway that the plan drew for it."""

    kind: FaultKind
    server: str


class GatewayOutage(GatewayTimeSpan, frozen=True, kw_only=True):
    """A process of a gateway was killed outright: its requests may be lost."""

    kind: OutageKind


class GatewayShutdown(GatewayTimeSpan, frozen=True, kw_only=True):
    """A process of a gateway ended, from SIGTERM to its end."""


class Detachment(GatewayTimeSpan, frozen=True, kw_only=True):
    """A server was detached at a gateway by an operator's call."""

    server: str


class ServerColdStart(msgspec.Struct, frozen=True):
    """A server was started anew, and warms up from then on."""

    server: str
    start_s: float


class ProcessEnd(msgspec.Struct, frozen=True):
    """How a process of a gateway ended.

    Attributes:
        name: Its name in the logs.
        gateway: The index of the gateway that it was a process of.
        exit_code: Its exit code, negative for a signal.
        was_killed: Whether the soak killed it.
        is_overdue: Whether it was killed as it had not ended by the time that SIGKILL comes.
        log: Its log.
        violations: How many violations it counted itself.
    """

    name: str
    gateway: int
    exit_code: int
    was_killed: bool
    is_overdue: bool
    log: str
    violations: int


class SoakRecords(msgspec.Struct):
    """All that was recorded of one play."""

    requests: list[RequestRecord] = []
    commands: list[CommandRecord] = []
    endpoint_changes: list[EndpointChange] = []
    detachments: list[Detachment] = []
    faults: list[FaultRecord] = []
    outages: list[GatewayOutage] = []
    shutdowns: list[GatewayShutdown] = []
    cold_starts: list[ServerColdStart] = []
    processes: list[ProcessEnd] = []
    start_violations: list[Violation] = []
