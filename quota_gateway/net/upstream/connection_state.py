"""The states of an upstream connection."""

from __future__ import annotations

from enum import Enum, auto


class ConnectionState(Enum):
    """What an upstream connection does. ``UpstreamConnection`` alone changes it.

    ========== ======================================================= =========
    from       when                                                    to
    ========== ======================================================= =========
    CONNECTING it is established, and its attempt is sent              IN_FLIGHT
    IN_FLIGHT  the reply is complete, and the connection can be reused IDLE
    IDLE       another attempt is sent                                 IN_FLIGHT
    any        either side closes it                                   CLOSED
    ========== ======================================================= =========
    """

    CONNECTING = auto()  # waits for a descriptor or for the server to accept; an attempt waits for it
    IN_FLIGHT = auto()  # carries one attempt
    IDLE = auto()  # may be used for another attempt
    CLOSED = auto()  # its descriptor may be open for a few more turns of the loop
