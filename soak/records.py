"""The records that the roles of a soak keep for the oracle. All times are monotonic, in seconds.

The structs of requests, commands, endpoint changes and processes are encoded as JSON between a soak's
processes and in its files; ``rename`` maps their fields to the JSON keys.
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
    """The class of a request, by its idempotency."""

    READ = "read"
    """Idempotent."""

    KEYED = "keyed"
    """Idempotent within the window of its idempotency key."""

    ORDER = "order"
    """Non-idempotent."""

    DOWNLOAD = "download"
    """Idempotent, with long values."""

    MALFORMED = "junk"
    """Data of a misbehaving client that is not a request; the gateway owes an error or a close."""


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
    SLOW_READ = "slow_reader"
    DOWNLOAD_PIPELINE = "downloads"
    UPLOAD = "upload"
    STALLED_UPLOAD = "stalled_upload"
    SEND_MUCH_AND_DISCONNECT = "leave_behind"
    REPEATED_ID = "again"


class RequestEnd(StrEnum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    CLIENT_DISCONNECTED = "left"
    GATEWAY_DISCONNECTED = "closed"
    UNANSWERED = "silent"
    """No answer came in the time for which the client waits."""

    UNSENT = "unsent"
    """The connection ended before the request was written."""

    TRUNCATED = "truncated"
    """The reply ended in the middle, or went on for too long; its server may have truncated it."""

    BEHIND_TRUNCATED = "behind"
    """The reply to an earlier request on the connection was truncated."""


class EndpointLifecycle(StrEnum):
    """The lifecycle of a server on discovery's endpoint list."""

    READY = "Ready"
    TERMINATING = "Terminating"
    GONE = "Gone"


class OutageKind(StrEnum):
    """The fault by which a gateway's process was killed."""

    CRASH = "crash"
    NEW_VERSION_KILLED = "new dies"
    OLD_VERSION_KILLED = "old dies"


class RequestRecord(msgspec.Struct, rename={"idle_before_s": "rested_s"}):
    """A request as its client saw it.

    Attributes:
        request_id: The id of the request.
        class_name: The class of the request.
        behaviour: The behaviour of its connection.
        gateway: The index of the gateway that received it.
        connected_s: When its connection was opened.
        sent_s: When its last byte was written.
        timeout_s: The timeout that the client sent.
        is_first: Whether it is the first request on its connection.
        idle_before_s: How long no answer was owed on the connection before the request was made.
        due_s: When its answer is due, see `ClientSession.read_answers`.
        lag_s: How late the client's process may have noticed the end.
        end: How the request ended.
        ended_s: When the request ended.
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
        request_id: The id of the request.
        server: The name of the server.
        received_s: When its last byte was read.
        lag_s: How much earlier it may have arrived, because the process was held up or did not read.
        remaining_timeout_s: The remaining timeout that the gateway sent.
        was_executed: Whether the server began to execute it; an overloaded server does not.
    """

    request_id: str
    server: str
    received_s: float
    lag_s: float
    remaining_timeout_s: float
    was_executed: bool

    @property
    def earliest_received_s(self) -> float:
        """The earliest time at which the attempt may have arrived."""
        return self.received_s - self.lag_s


class CompleteReply(msgspec.Struct, frozen=True):
    """A long value that a server has written whole: its request, the server, and when the kernel had it."""

    request_id: str
    server: str
    at_s: float


class BegunReply(msgspec.Struct, frozen=True):
    """A long value whose header a server has written ahead of the rest: its request, the server, and when."""

    request_id: str
    server: str
    at_s: float


class EndpointChange(msgspec.Struct, frozen=True):
    """A change of the endpoint list: the server, its new lifecycle, and when discovery published it."""

    server: str
    lifecycle: EndpointLifecycle
    at_s: float


class TimeSpan(msgspec.Struct, frozen=True, kw_only=True):
    """A span of time."""

    start_s: float
    end_s: float

    def overlaps(self, start_s: float, end_s: float, slack_s: float) -> bool:
        """Return whether the span overlaps another one, or lies within a slack of it."""
        return self.start_s - slack_s <= end_s and start_s <= self.end_s + slack_s


class GatewayTimeSpan(TimeSpan, frozen=True, kw_only=True):
    """A span of time at one gateway, given by the gateway's index."""

    gateway: int


class FaultRecord(GatewayTimeSpan, frozen=True, kw_only=True):
    """A fault as it was injected, with the server and the gateway that the plan drew for it."""

    kind: FaultKind
    server: str


class GatewayOutage(GatewayTimeSpan, frozen=True, kw_only=True):
    """The time in which a gateway's process was ended by SIGKILL; its requests may be lost."""

    kind: OutageKind


class GatewayShutdown(GatewayTimeSpan, frozen=True, kw_only=True):
    """The shutdown of a gateway's process, from SIGTERM to its end."""


class Detachment(GatewayTimeSpan, frozen=True, kw_only=True):
    """The time for which a server was detached at a gateway by an admin call."""

    server: str


class ServerColdStart(msgspec.Struct, frozen=True):
    """A restart of a server, which warms up from then on."""

    server: str
    start_s: float


class ProcessEnd(msgspec.Struct, frozen=True, omit_defaults=True):
    """How a process of a gateway ended.

    Attributes:
        name: The name of the process in the logs.
        gateway: The index of its gateway.
        exit_code: The exit code, negative for a signal.
        was_killed: Whether the soak killed the process.
        is_overdue: Whether it was killed because it had not ended within its shutdown timeout.
        log: The log of the process.
        violations: The number of invariant violations that the process counted itself.
        peak_memory_kib: The most memory of its own that the process had by the last signal sent to it.
    """

    name: str
    gateway: int
    exit_code: int
    was_killed: bool
    is_overdue: bool
    log: str
    violations: int
    peak_memory_kib: int = 0


class SoakRecords(msgspec.Struct):
    """All records of one run."""

    requests: list[RequestRecord] = []
    commands: list[CommandRecord] = []
    complete_replies: list[CompleteReply] = []
    begun_replies: list[BegunReply] = []
    endpoint_changes: list[EndpointChange] = []
    detachments: list[Detachment] = []
    faults: list[FaultRecord] = []
    outages: list[GatewayOutage] = []
    shutdowns: list[GatewayShutdown] = []
    cold_starts: list[ServerColdStart] = []
    processes: list[ProcessEnd] = []
    start_violations: list[Violation] = []
