"""One attempt at a command: its payload, its callbacks and its outcome. It knows no socket."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from quota_gateway.model import AttemptStatus

BodyConsumer = Callable[[bytes], None]  # takes the bytes of a large value, piece by piece


class UpstreamReply(NamedTuple):
    """The outcome of an attempt.

    Attributes:
        status: How it ended.
        value: The value of a good reply, empty for one that was streamed in pieces.
        usage_percent: The customer's metered use over all gateways, in percent of its rate.
        final_units: The units that the request took.
        load: A figure for each of ``Settings.load_report_fields``.
    """

    status: AttemptStatus
    value: bytes | None = None
    usage_percent: float | None = None
    final_units: float | None = None
    load: tuple[float, ...] | None = None


class AttemptConnection(Protocol):
    """The connection that carries an attempt, as far as those who hold the attempt need it."""

    @property
    def fully_sent(self) -> bool:
        """Whether the kernel has the attempt's last byte."""

    @property
    def is_established(self) -> bool:
        """Whether the connection is established."""

    def pause(self, pause: bool) -> None:
        """Read no more for now, or go on."""

    def close(self, status: AttemptStatus) -> None:
        """Close at once; the attempt ends with this status."""


def discard_piece(piece: bytes) -> None:
    """Consume a piece of a value that nobody wants."""


def _discard_body(length: int) -> BodyConsumer:  # noqa: ARG001 (stands in for ``Attempt.on_body_started``)
    return discard_piece


def _never_refused() -> AttemptStatus | None:
    return None


def _not_timed() -> bool:
    return False


def _ignore_sent() -> None:
    """Do nothing when a command is fully sent."""


class Attempt:
    """A command on its way to a server.

    Args:
        payload: The command's bytes.
        on_done: Called once, with the outcome.
        on_body_started: Called with the length of a large value as its first bytes come; returns the
            consumer of its pieces. Such a value is not buffered, the outcome's value is empty then.
        encode_again: Encodes the command again for a new connection, as the remaining timeout has changed.
        refusal_to_send: Asked before the first and the last bytes go: None, or how the attempt ends instead.
        on_sent: Called when the last byte has gone to the kernel.
    """

    __slots__ = (
        "body_consumer",
        "connection",
        "encode_again",
        "on_body_started",
        "on_deadline",
        "on_done",
        "on_sent",
        "payload",
        "refusal_to_send",
    )

    def __init__(
        self,
        payload: bytes,
        on_done: Callable[[UpstreamReply], None],
        on_body_started: Callable[[int], BodyConsumer] = _discard_body,
        encode_again: Callable[[], bytes] | None = None,
        refusal_to_send: Callable[[], AttemptStatus | None] = _never_refused,
        on_sent: Callable[[], None] = _ignore_sent,
    ) -> None:
        self.payload = payload
        self.on_done: Callable[[UpstreamReply], None] | None = on_done
        self.on_body_started = on_body_started
        self.encode_again = encode_again
        self.refusal_to_send = refusal_to_send
        self.on_sent = on_sent
        self.connection: AttemptConnection | None = None
        self.body_consumer: BodyConsumer | None = None  # once a large value has begun
        self.on_deadline: Callable[[], bool] = _not_timed  # whether a value that has begun fails then

    def pause(self, pause: bool) -> None:
        """Read no more of the value for now, or go on."""
        if self.connection:
            self.connection.pause(pause)

    def finish(self, reply: UpstreamReply) -> None:
        """Report the outcome, the first only, and drop the command and all callbacks.

        The timer of an attempt holds it until it is due; see docs/decisions/upstream-attempts.md.
        """
        on_done = self.on_done
        self.on_done = None
        self.connection = None
        self.payload = b""
        self.encode_again = None
        self.on_body_started = _discard_body
        self.refusal_to_send = _never_refused
        self.on_sent = _ignore_sent
        self.on_deadline = _not_timed
        if on_done:
            on_done(reply)
