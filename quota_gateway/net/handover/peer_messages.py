"""The messages between two processes of one gateway, as typed values.

``message_json.py`` maps them to JSON. ``PeerProcessUsage`` of the model is a message too. The messages are
named tuples, which are cheaper to define at each start than dataclasses; see ``docs/decisions/handover.md``.
"""

from __future__ import annotations

from typing import Any, NamedTuple


class Hello(NamedTuple):
    """The first message of a process that asks to take over."""


class HandoverOffer(NamedTuple):
    """The state of the previous process. Its listening socket for clients is sent with the message.

    Attributes:
        state: State of the policy engine, as JSON.
        registry: State of the endpoint registry, as JSON.
        clock_offset_ms: Offset of the clock to which all times in both states refer; None from a version
            that does not send it.
    """

    state: dict[str, Any]
    registry: dict[str, Any]
    clock_offset_ms: float | None = None


class Serving(NamedTuple):
    """Announces that the next process serves, so that connections may be handed over to it."""


class HandedOverConnection(NamedTuple):
    """A client connection that is handed over. Its descriptor and partial command are sent with the message.

    Attributes:
        has_sent_command: Whether the client has ever sent a complete command.
        request_count: Number of requests on this connection so far.
        command_due_for_s: Seconds for which a command has been due.
        waited_s: Seconds for which unread bytes may have waited; 0 if none wait.
        silent_s: Seconds since the last byte was received.
    """

    has_sent_command: bool
    request_count: int
    command_due_for_s: float
    waited_s: float = 0.0
    silent_s: float = 0.0


MEBIBYTE = 1 << 20


class ResourcesInUse(NamedTuple):
    """What the previous process still uses of the limits, which both processes share.

    Attributes:
        clients: Number of descriptors for client connections.
        upstream: Number of descriptors for upstream connections.
        buffered_mebibytes: Buffered bytes, rounded up to whole MiB so that few reports are needed.
    """

    clients: int
    upstream: int
    buffered_mebibytes: int = 0


class DetachmentRequest(NamedTuple):
    """An admin call that detaches or attaches a server, for the peer process to carry out as well.

    Attributes:
        name: Name of the server, as discovery has it.
        detached: True to detach the server, False to attach it again.
        known: Whether the sender knows the server. If so, the receiver accepts a name that it does not know.
        number: Number of the request, which the reply repeats.
    """

    name: str
    detached: bool
    known: bool
    number: int


class DetachmentReply(NamedTuple):
    """Confirms that the peer process has handled a detachment request.

    Attributes:
        number: Number of the request.
        known: Whether the peer process knows the server.
    """

    number: int
    known: bool
