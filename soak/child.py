"""A child process of a soak; it runs one role and takes commands as the child processes of a scale run do."""

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
