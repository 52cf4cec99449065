"""Draw free loopback ports."""

from __future__ import annotations

import socket

_drawn_ports: set[int] = set()


def draw_free_port() -> int:
    """Return a port that no process listens on, and that this run has not drawn before."""
    while True:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = int(listener.getsockname()[1])
        if port not in _drawn_ports:
            _drawn_ports.add(port)
            return port
