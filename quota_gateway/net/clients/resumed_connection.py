"""Connections that one process stops serving and another process resumes."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class ResumedConnection:
    """The state of a connection that this process starts to serve, handed over or newly accepted.

    Attributes:
        has_sent_command: Whether a complete command has been received.
        request_count: How many requests were taken.
        command_due_for_s: How many seconds a command has been due.
        partial_command: The bytes that were read of a command that is not complete yet.
        silent_s: Seconds since the last byte was received.
        waiting_since_s: The earliest possible arrival time of the bytes that are read first, in seconds of
            the monotonic clock; infinite if none wait yet.
    """

    has_sent_command: bool = False
    request_count: int = 0
    command_due_for_s: float = 0.0
    partial_command: bytes = b""
    silent_s: float = 0.0
    waiting_since_s: float = inf


NEW_CONNECTION = ResumedConnection()


class ReleasedConnection(NamedTuple):
    """A connection that this process no longer serves; the receiver has to close the descriptor."""

    descriptor: int
    resumed: ResumedConnection
