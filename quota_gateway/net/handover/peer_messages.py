"""The messages between two processes of one gateway, as typed values.

``message_json.py`` maps them to JSON. ``PeerProcessUsage`` of the model is a message too. They are named
tuples, as these are cheaper to define at each start than dataclasses; see ``docs/decisions/handover.md``.
"""

from __future__ import annotations

from typing import Any, NamedTuple


class Hello(NamedTuple):
    """The first message of a process that asks to take over."""


class HandoverOffer(NamedTuple):
    """The state of the previous process; its listening socket comes with the message.

    Attributes:
        state: The policy engine's.
        registry: The endpoint registry's.
        clock_offset_ms: Of the clock of all times in both; None from a version that doesn't say.
    """

    state: dict[str, Any]
    registry: dict[str, Any]
    clock_offset_ms: float | None = None


class Serving(NamedTuple):
    """The next process serves: connections may be handed over to it."""


class HandedOverConnection(NamedTuple):
    """A client's connection that is handed over; its descriptor and partial command come with the message.

    Attributes:
        has_sent_command: Whether the client has ever sent a command.
        request_count: Requests on this connection so far.
        command_due_for_s: For how long a command has been due.
        waited_s: For how long nothing has been read on it.
        silent_s: Since the last byte of its partial command came.
    """

    has_sent_command: bool
    request_count: int
    command_due_for_s: float
    waited_s: float = 0.0
    silent_s: float = 0.0


class DescriptorsInUse(NamedTuple):
    """How many descriptors the previous process still has of the limits that both processes share."""

    clients: int
    upstream: int


class DetachmentRequest(NamedTuple):
    """An operator's call, to be carried out by the peer process as well.

    Attributes:
        name: The server's, as discovery has it.
        detached: Whether it is to be detached, or attached again.
        known: Whether the sender knows the server; the receiver relies on it.
        number: Of the request, repeated in the reply.
    """

    name: str
    detached: bool
    known: bool
    number: int


class DetachmentReply(NamedTuple):
    """The peer process has carried out a detachment request.

    Attributes:
        number: Of the request.
        known: Whether the peer process knows the server.
    """

    number: int
    known: bool
