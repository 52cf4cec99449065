"""A client's request in progress and its attempts, as the socket layer tracks them."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from math import inf
from typing import NamedTuple, Protocol

from quota_gateway.model import RequestClass
from quota_gateway.net.buffer_budget import BufferLease
from quota_gateway.net.upstream.attempt import Attempt, EncodedCommand


class BodyWriter(Protocol):
    """Writes a large value to a client as it arrives."""

    def take(self, piece: bytes) -> None:
        """Write the next bytes of the value."""

    def on_deadline(self) -> bool:
        """Handle the end of the client's timeout; return whether the value fails now."""

    def on_grace_over(self) -> bool:
        """Handle the end of the grace period after the timeout; return whether the value fails now."""

    def end(self, is_complete: bool) -> None:
        """End the value, which is either complete or cut short."""


class ClientPresence(Enum):
    """Whether the client of a request still waits for its answer."""

    CONNECTED = "connected"
    LEFT = "left"
    UNSEEN = "unseen"  # it may have left, as its end would wait behind unread bytes


def _always_connected() -> ClientPresence:
    return ClientPresence.CONNECTED


class RequestState(Enum):
    """Whether and how a request is answered. Every state but AWAITING_ANSWER is final."""

    AWAITING_ANSWER = "awaiting_answer"
    ANSWERED = "answered"  # one short reply was given
    STREAMING = "streaming"  # a large value has begun, and may still fail before its end
    CLIENT_LEFT = "client_left"  # the client needs no answer any more


class ExecutedAttempt(NamedTuple):
    """An attempt that may have run.

    Servers of the same zone or cell may share idempotency keys, so those of the attempt's server are kept.
    """

    number: int
    started_ms: float
    zone: str
    cell: int


class ActiveRequest:
    """A client's request, from its arrival until it is answered and none of its attempts is in flight.

    Args:
        request_id: The id of the request, unique among those in progress.
        encode: Encodes the command for a server, with the remaining timeout in milliseconds.
        on_answer: Called with the one final answer, unless that is a large value.
        on_body_started: Called with the length of a large value in bytes and the attempt that delivers it.
        client_presence: Returns whether the client is still connected.
        lease: The memory of the request and its command, released when the request is removed.
    """

    __slots__ = (
        "attempt_count",
        "attempts",
        "body_writer",
        "client_presence",
        "deadline_ms",
        "encode",
        "executions",
        "lease",
        "on_answer",
        "on_body_started",
        "request_class",
        "request_id",
        "state",
    )

    def __init__(
        self,
        request_id: str,
        encode: Callable[[float], EncodedCommand],
        on_answer: Callable[[bytes], None],
        on_body_started: Callable[[int, Attempt], BodyWriter] | None = None,
        client_presence: Callable[[], ClientPresence] = _always_connected,
        lease: BufferLease | None = None,
    ) -> None:
        self.request_id = request_id
        self.encode = encode
        self.on_answer = on_answer
        self.on_body_started = on_body_started
        self.client_presence = client_presence
        self.lease = lease
        self.body_writer: BodyWriter | None = None  # the writer of a large value; None until the value begins
        self.deadline_ms = 0.0
        self.attempt_count = 0  # attempts created so far, and the number of the next one
        self.attempts: dict[int, Attempt] = {}  # attempts in flight by number
        self.executions: dict[int, ExecutedAttempt] = {}  # attempts that may have run or may still run
        self.request_class: RequestClass | None = None
        self.state = RequestState.AWAITING_ANSWER

    @property
    def is_answered(self) -> bool:
        """Whether the client needs no further answer."""
        return self.state is not RequestState.AWAITING_ANSWER

    def release_memory(self) -> None:
        """Return the memory of the request to the budget, as it is not in progress any more."""
        if self.lease:
            self.lease.release()

    def first_possible_execution(self) -> ExecutedAttempt | None:
        """Return the request's first attempt that may have run or may still run; None if there is none."""
        return min(self.executions.values(), default=None)


class ActiveAttempt:
    """One attempt of a request: its server, when it started and its deadline."""

    __slots__ = (
        "attempt",
        "deadline_ms",
        "encoded_ms",
        "execution",
        "first_byte_latency_ms",
        "request",
        "server",
    )

    def __init__(
        self, request: ActiveRequest, execution: ExecutedAttempt, server: int, deadline_ms: float
    ) -> None:
        self.request = request
        self.execution = execution
        self.server = server
        self.deadline_ms = deadline_ms
        self.encoded_ms = execution.started_ms  # time at which the timeout in the command was computed
        self.first_byte_latency_ms = inf  # time from the attempt's start to the header of a large value
        self.attempt: Attempt | None = None

    @property
    def number(self) -> int:
        """The number of the attempt among those of its request, from 0."""
        return self.execution.number

    @property
    def started_ms(self) -> float:
        """When the attempt started, by the gateway's clock."""
        return self.execution.started_ms
