"""What the roles of a soak record, for the oracle. All times are of the monotonic clock, in seconds."""

from __future__ import annotations

import msgspec


class RequestRecord(msgspec.Struct):
    """A request as its client saw it.

    Attributes:
        request_id: Its id.
        class_name: Its class.
        behaviour: How its connection behaves.
        gateway: The gateway that it went to.
        connected_s: When its connection was opened.
        sent_s: When its last byte was written.
        timeout_s: How long the client waits.
        is_first: Whether it is the first on its connection.
        rested_s: For how long nothing was owed on the connection before it.
        due_s: When its answer is lost: half a second after its time, or after the answers before it.
        lag_s: How late the client's process may have noticed the end.
        end: ``answered``, ``left`` (by the client), ``closed`` (by the gateway), ``silent`` (no answer in
            time), ``unsent`` (its connection ended before it was written), ``truncated`` (the gateway closed
            within a value, which may have broken off at its server).
        ended_s: When that was.
        reply: The first word of an error, ``value`` for a value that is right, ``wrong`` for one that is not.
    """

    request_id: str
    class_name: str
    behaviour: str
    gateway: int
    connected_s: float
    sent_s: float
    timeout_s: float
    is_first: bool
    rested_s: float
    due_s: float = 0.0
    lag_s: float = 0.0
    end: str = "unsent"
    ended_s: float = 0.0
    reply: str = ""


class CommandRecord(msgspec.Struct, frozen=True):
    """A command as a server got it.

    Attributes:
        request_id: The request.
        server: The server.
        received_s: When its last byte was read.
        lag_s: How much earlier it may have come, as the process was held up or did not read.
        told_s: How long the gateway said that it waits.
        has_run: Whether the server began it; it has not where it was overloaded.
    """

    request_id: str
    server: str
    received_s: float
    lag_s: float
    told_s: float
    has_run: bool


class EndpointChange(msgspec.Struct, frozen=True):
    """A change of the endpoint list: the server, its new lifecycle, and when discovery had it."""

    server: str
    lifecycle: str
    at_s: float


class Interval(msgspec.Struct, frozen=True):
    """Something that lasted: what, to whom, from when to when."""

    kind: str
    target: str
    start_s: float
    end_s: float

    def covers(self, at_s: float, margin_s: float = 0.0) -> bool:
        """Whether a time lies in it, or within a margin around it."""
        return self.start_s - margin_s <= at_s <= self.end_s + margin_s


class ProcessEnd(msgspec.Struct, frozen=True):
    """How a process of a gateway ended.

    Attributes:
        name: Its name in the logs.
        gateway: The gateway that it was a process of.
        exit_code: Its exit code, negative for a signal.
        was_killed: Whether the soak killed it.
        is_overdue: Whether it was killed as it had not ended by the time that SIGKILL comes.
        log: Its log.
        violations: Violations that its metrics or the end of its log tell of.
    """

    name: str
    gateway: int
    exit_code: int
    was_killed: bool
    is_overdue: bool
    log: str
    violations: int


class Violation(msgspec.Struct, frozen=True):
    """A rule that was broken, as the oracle sees it."""

    check: str
    subject: str
    detail: str


class SoakRecords(msgspec.Struct):
    """All that was recorded of one play."""

    requests: list[RequestRecord] = []
    commands: list[CommandRecord] = []
    changes: list[EndpointChange] = []
    detachments: list[Interval] = []
    troubles: list[Interval] = []
    processes: list[ProcessEnd] = []
    starts: list[Violation] = []
