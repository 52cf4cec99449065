"""The states of a client connection, the transitions between them, and the reasons for closing it."""

from __future__ import annotations

from enum import Enum, auto


class ConnectionState(Enum):
    """The state of a client connection, from accepting it to its end."""

    CONNECTING = auto()  # the connection is accepted, but not yet served by the event loop
    OPEN = auto()  # commands are taken
    FINISHING = auto()  # no more commands are taken; the connection closes once all replies are written
    # No more commands are taken after malformed or missing input.
    REJECTED = auto()
    # No more is written or read; the connection closes once the client has received its replies.
    LINGERING = auto()
    CLOSING = auto()  # the gateway has closed the connection; written replies may still be sent
    CLOSED = auto()  # the event loop has closed the socket


TRANSITIONS: dict[ConnectionState, tuple[ConnectionState, ...]] = {
    ConnectionState.CONNECTING: (ConnectionState.OPEN, ConnectionState.CLOSED),
    ConnectionState.OPEN: (
        ConnectionState.FINISHING,
        ConnectionState.REJECTED,
        ConnectionState.LINGERING,
        ConnectionState.CLOSING,
        ConnectionState.CLOSED,
    ),
    ConnectionState.FINISHING: (
        ConnectionState.LINGERING,
        ConnectionState.CLOSING,
        ConnectionState.CLOSED,
    ),
    ConnectionState.REJECTED: (
        ConnectionState.LINGERING,
        ConnectionState.CLOSING,
        ConnectionState.CLOSED,
    ),
    ConnectionState.LINGERING: (ConnectionState.CLOSING, ConnectionState.CLOSED),
    ConnectionState.CLOSING: (ConnectionState.CLOSED,),
    ConnectionState.CLOSED: (),
}
"""The states that may follow each state. A change to any other state is ignored: a rejected connection that
is also told to finish stays rejected."""


class CloseReason(Enum):
    """Why the gateway closed a client connection; the values are the labels of the metric."""

    CLIENT_LEFT = "client_left"
    EVICTED_FOR_CAPACITY = "made_room"
    HANDED_OVER = "passed_on"
    INPUT_REJECTED = "input_rejected"
    PROCESS_ENDS = "process_ends"
    SHUTDOWN = "shutdown"
    VALUE_TRUNCATED = "value_truncated"
    WRITE_STALLED = "write_stalled"
