"""A client's request in progress, and its attempts, as the driver keeps them."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import NamedTuple, Protocol

from quota_gateway.model import RequestClass
from quota_gateway.net.upstream.attempt import Attempt


class BodyWriter(Protocol):
    """Writes a large value to a client as it comes."""

    def take(self, piece: bytes) -> None:
        """Write the next bytes."""

    def on_deadline(self) -> bool:
        """The client's time is over; whether the value fails now."""

    def end(self, whole: bool) -> None:
        """Everything has come, or no more will."""


def _always_waiting() -> bool:
    return True


class ExecutedAttempt(NamedTuple):
    """An attempt that may have run, when it started, and where its server keeps idempotency keys."""

    number: int
    started_ms: float
    zone: str
    cell: int


class ActiveRequest:
    """A client's request, from its arrival until it is answered and none of its attempts is in flight.

    Args:
        request_id: The name of the request, unique among those in progress.
        encode: Encodes the command for a server, with the milliseconds that are left of its timeout.
        on_answer: Called with the one final answer, unless a large value answers.
        on_body_started: Called with the length of a large value and the attempt that brings it.
        is_client_waiting: Whether the client is still there.
    """

    __slots__ = (
        "answered",
        "attempt_count",
        "attempts",
        "body_writer",
        "client_left",
        "deadline_ms",
        "encode",
        "executions",
        "is_client_waiting",
        "on_answer",
        "on_body_started",
        "request_class",
        "request_id",
    )

    def __init__(
        self,
        request_id: str,
        encode: Callable[[float], bytes],
        on_answer: Callable[[bytes], None],
        on_body_started: Callable[[int, Attempt], BodyWriter] | None = None,
        is_client_waiting: Callable[[], bool] = _always_waiting,
    ) -> None:
        self.request_id = request_id
        self.encode = encode
        self.on_answer = on_answer
        self.on_body_started = on_body_started
        self.is_client_waiting = is_client_waiting
        self.body_writer: BodyWriter | None = None  # once a large value has begun
        self.deadline_ms = 0.0
        self.attempt_count = 0  # attempts started so far, the number of the next one
        self.attempts: dict[int, Attempt] = {}  # in flight, by number
        self.executions: dict[int, ExecutedAttempt] = {}  # of the attempts that may have run, or may yet
        self.request_class: RequestClass | None = None
        self.answered = False
        self.client_left = False

    def first_possible_execution(self) -> ExecutedAttempt | None:
        """The first of its attempts that may have run, or may yet."""
        return min(self.executions.values(), default=None)


class ActiveAttempt:
    """What the driver knows of one attempt of a request: where it went, and when."""

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
        self.encoded_ms = execution.started_ms  # when its command was encoded, with the time left by then
        self.first_byte_latency_ms = inf  # until the first bytes of a large value
        self.attempt: Attempt | None = None

    @property
    def number(self) -> int:
        """Its number among the attempts of its request, from 0."""
        return self.execution.number

    @property
    def started_ms(self) -> float:
        """When it started."""
        return self.execution.started_ms
