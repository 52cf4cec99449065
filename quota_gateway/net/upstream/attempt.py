"""One attempt at a command: the command, callbacks and outcome, independent of any socket."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from quota_gateway.model import AttemptStatus
from quota_gateway.net.segmented_bytes import Buffer

# A body consumer takes the bytes of a large value, piece by piece; the first piece may be empty.
BodyConsumer = Callable[[bytes], None]
# The bytes of a command, in pieces that may be shared with other attempts.
EncodedCommand = tuple[Buffer, ...]


class UpstreamReply(NamedTuple):
    """The outcome of an attempt.

    Attributes:
        status: How the attempt ended.
        value: The value of a good reply; empty if the value was streamed in pieces.
        usage_percent: The customer's usage over all gateways, as a percentage of its quota.
        final_units: The number of units that the request took.
        load: The load report, with a number for each of ``Settings.load_report_fields``.
    """

    status: AttemptStatus
    value: bytes | None = None
    usage_percent: float | None = None
    final_units: float | None = None
    load: tuple[float, ...] | None = None


class AttemptConnection(Protocol):
    """The part of a connection's interface that the holders of its attempt use."""

    @property
    def fully_sent(self) -> bool:
        """Whether the kernel has the last byte of the attempt."""

    @property
    def is_established(self) -> bool:
        """Whether the connection is established."""

    def pause(self, pause: bool) -> None:
        """Pause reading from the connection, or resume it."""

    def close(self, status: AttemptStatus) -> None:
        """Close the connection at once; its attempt ends with this status."""


def discard_piece(piece: bytes) -> None:
    """Discard a piece of a value that is not wanted."""


def _discard_body(length: int) -> BodyConsumer:  # noqa: ARG001 (the signature of ``Attempt.on_body_started``)
    return discard_piece


def _never_refused() -> AttemptStatus | None:
    return None


def _ignore_deadline() -> bool:
    return False


def _ignore_sent() -> None:
    """Do nothing when a command is fully sent."""


class Attempt:
    """One attempt to run a command on a server.

    Args:
        payload: The command.
        on_done: Called once, with the outcome.
        on_body_started: Called with the length of a large value when its header arrives; returns the
            consumer of its pieces. Such a value is not buffered, and the value of the outcome is then empty.
        encode_again: Encodes the command again once a new connection is established, as the remaining
            timeout has changed.
        refusal_to_send: Called before the first and before the last bytes are sent; returns None, or the
            status with which the attempt ends instead.
        on_sent: Called when the kernel has the last byte.
    """

    __slots__ = (
        "body_consumer",
        "connection",
        "encode_again",
        "on_body_started",
        "on_deadline",
        "on_done",
        "on_grace_over",
        "on_sent",
        "payload",
        "refusal_to_send",
        "was_paused",
    )

    def __init__(
        self,
        payload: EncodedCommand,
        on_done: Callable[[UpstreamReply], None],
        on_body_started: Callable[[int], BodyConsumer] = _discard_body,
        encode_again: Callable[[], EncodedCommand] | None = None,
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
        self.body_consumer: BodyConsumer | None = None  # the consumer of a large value that has begun
        self.was_paused = False  # whether the value may be late because of this gateway
        # Called at the deadline if a large value has begun; returns whether the attempt times out.
        self.on_deadline: Callable[[], bool] = _ignore_deadline
        # Called a grace period later if the attempt goes on; returns whether it times out then.
        self.on_grace_over: Callable[[], bool] = _ignore_deadline

    def pause(self, pause: bool) -> None:
        """Pause reading the value from the connection, or resume it."""
        self.was_paused = self.was_paused or pause
        if self.connection:
            self.connection.pause(pause)

    def finish(self, reply: UpstreamReply) -> None:
        """Report the outcome, on the first call only, and release the command and all callbacks.

        The attempt's timer refers to the attempt until the timer is due; see
        docs/decisions/upstream-attempts.md.
        """
        on_done = self.on_done
        self.on_done = None
        self.connection = None
        self.payload = ()
        self.encode_again = None
        self.on_body_started = _discard_body
        self.refusal_to_send = _never_refused
        self.on_sent = _ignore_sent
        self.on_deadline = _ignore_deadline
        self.on_grace_over = _ignore_deadline
        if on_done:
            on_done(reply)
