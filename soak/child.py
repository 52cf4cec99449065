"""A child process of a soak, which runs one role and is commanded like the children of a scale run."""

from __future__ import annotations

from scale.child import run_child
from soak.clients.role import SoakClients
from soak.discovery import SoakDiscovery
from soak.proxy import FaultProxy
from soak.servers.role import SoakServers

if __name__ == "__main__":
    run_child(
        {
            "clients": SoakClients,
            "discovery": SoakDiscovery,
            "proxy": FaultProxy,
            "servers": SoakServers,
        }
    )
