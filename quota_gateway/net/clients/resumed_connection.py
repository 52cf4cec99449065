"""Connections that one process stops serving and another one resumes."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class ResumedConnection:
    """The past of a connection: of a handed over one, or how long a new one has waited to be accepted.

    Attributes:
        has_sent_command: Whether a complete command has come.
        request_count: How many requests were taken.
        command_due_for_s: For how many seconds a command has been due.
        partial_command: The bytes that were read of a command that is not complete yet.
        silent_s: Seconds since its last byte came.
        waiting_since_s: A monotonic time in seconds: what is read first can't have come before.
    """

    has_sent_command: bool = False
    request_count: int = 0
    command_due_for_s: float = 0.0
    partial_command: bytes = b""
    silent_s: float = 0.0
    waiting_since_s: float = inf


NEW_CONNECTION = ResumedConnection()


class ReleasedConnection(NamedTuple):
    """A connection that this process serves no more; the descriptor is the receiver's to close."""

    descriptor: int
    resumed: ResumedConnection
