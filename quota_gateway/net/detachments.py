"""From a server's id, as operators name it, to the decisions, in both processes of an upgrade."""

from __future__ import annotations

from quota_gateway import model as api
from quota_gateway.net.driver import Driver
from quota_gateway.net.endpoint_registry import EndpointRegistry
from quota_gateway.net.peer_processes import PeerProcesses


class Detachments:
    """Carries out operators' calls on servers."""

    def __init__(self, registry: EndpointRegistry, driver: Driver, peers: PeerProcesses) -> None:
        self.registry, self.driver, self.peers = registry, driver, peers

    def carry_out(self, name: str, out: bool, certain: bool = False) -> bool:
        """Here, for a server that is known, or certain as another process knows it; whether it was known."""
        known = self.registry.is_known(name)
        if known or certain:
            number = self.registry.number_of(name)
            (self.registry.detached.add if out else self.registry.detached.discard)(name)
            self.driver.post(api.DetachServer(number) if out else api.AttachServer(number))
        return known

    async def set_detached(self, name: str, out: bool) -> bool:
        """Here, then in the other process, if there is one; whether either knows the server."""
        known = self.carry_out(name, out)
        known_there = await self.peers.set_detached(name, out, known)
        if known_there and not known:
            self.carry_out(name, out, certain=True)
        return known or known_there

    def repeat(self) -> None:
        """Tell the decisions of every ban that was handed over, where they could not take over the rest."""
        for name in sorted(self.registry.detached):
            self.carry_out(name, out=True)
