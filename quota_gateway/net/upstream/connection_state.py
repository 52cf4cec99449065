"""The states of an upstream connection."""

from __future__ import annotations

from enum import Enum, auto


class ConnectionState(Enum):
    """The state of an upstream connection. Only ``UpstreamConnection`` changes it.

    ========== ======================================================= =========
    from       when                                                    to
    ========== ======================================================= =========
    CONNECTING the connection is established, and its attempt is sent  IN_FLIGHT
    IN_FLIGHT  the reply is complete, and the connection can be reused IDLE
    IDLE       another attempt is sent                                 IN_FLIGHT
    any        either side closes the connection                       CLOSED
    ========== ======================================================= =========
    """

    CONNECTING = auto()  # An attempt waits for a descriptor, or for the server to accept the connection.
    IN_FLIGHT = auto()  # The connection carries one attempt.
    IDLE = auto()  # The connection may be used for another attempt.
    CLOSED = auto()  # The descriptor may stay open for a few more iterations of the loop.
