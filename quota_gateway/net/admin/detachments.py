"""Detaches and attaches servers by their names for operators, in both processes of an upgrade."""

from __future__ import annotations

from quota_gateway.model import AttachServer, DetachServer
from quota_gateway.net.discovery.endpoint_registry import EndpointRegistry
from quota_gateway.net.driver import Driver
from quota_gateway.net.handover.peer_processes import PeerProcesses


class Detachments:
    """Detaches and attaches servers, in this process and in the peer process of an upgrade."""

    def __init__(self, registry: EndpointRegistry, driver: Driver, peers: PeerProcesses) -> None:
        self.registry = registry
        self.driver = driver
        self.peers = peers

    def carry_out(self, name: str, detached: bool, known_elsewhere: bool = False) -> bool:
        """Detach or attach a server in this process.

        Args:
            name: Name of the server, as discovery has it.
            detached: True to detach the server, False to attach it again.
            known_elsewhere: Whether the peer process knows the server; if so, this process gives it a number.

        Returns:
            Whether this process knew the server before.
        """
        known = self.registry.is_known(name)
        if known or known_elsewhere:
            number = self.registry.number_of(name)
            if detached:
                self.registry.detached.add(name)
                self.driver.post(DetachServer(number))
            else:
                self.registry.detached.discard(name)
                self.driver.post(AttachServer(number))
        return known

    async def set_detached(self, name: str, detached: bool) -> bool:
        """Detach or attach a server in this process, then in the peer process, if there is one.

        Returns:
            Whether either process knows the server.
        """
        known = self.carry_out(name, detached)
        known_elsewhere = await self.peers.set_detached(name, detached, known)
        if known_elsewhere and not known:
            self.carry_out(name, detached, known_elsewhere=True)
        return known or known_elsewhere

    def detach_again(self) -> None:
        """Detach the servers in the handed-over list again, as the engine could not restore its state."""
        for name in sorted(self.registry.detached):
            self.carry_out(name, detached=True)
