"""The handover from one process of a gateway to the next, for instance to a new version.

The previous process listens at the rendezvous path. The next process sends ``Hello`` there and receives the
state and the listening socket. After it has sent ``Serving``, it receives each client connection on which no
reply is pending. ``docs/decisions/handover.md`` has the reasons.
"""

from __future__ import annotations

from pathlib import Path

from quota_gateway.net.admin.detachments import Detachments
from quota_gateway.net.clients.listener import ClientListener
from quota_gateway.net.discovery.endpoint_registry import EndpointRegistry
from quota_gateway.net.driver import Driver
from quota_gateway.net.handover.peer_processes import PeerProcesses
from quota_gateway.net.handover.peer_requests import PeerRequestHandler
from quota_gateway.net.handover.receiver import HandoverReceiver, HandoverState, request_handover
from quota_gateway.net.handover.rendezvous import rendezvous_path
from quota_gateway.net.handover.sender import HandoverSender
from quota_gateway.net.upstream.pool import UpstreamPool

__all__ = [
    "Handover",
    "HandoverState",
    "rendezvous_path",
    "request_handover",
]


class Handover:
    """Both sides of a handover: a process may take over from one process and hand over to another."""

    def __init__(
        self,
        path: Path | None,
        driver: Driver,
        clients: ClientListener,
        upstream_pool: UpstreamPool,
        registry: EndpointRegistry,
        detachments: Detachments,
        peers: PeerProcesses,
    ) -> None:
        self.peers = peers
        requests = PeerRequestHandler(driver, detachments, peers)
        self.receiver = HandoverReceiver(driver, clients, upstream_pool, peers, requests)
        self.sender = HandoverSender(path, driver, clients, upstream_pool, registry, peers, requests)

    @property
    def path(self) -> Path | None:
        """The rendezvous path of this gateway's processes."""
        return self.sender.path

    def take_over(self, state: HandoverState, spare_bytes: int) -> None:
        """Take over from the previous process; until it ends, buffer limits are lower by ``spare_bytes``."""
        self.receiver.take_over(state, spare_bytes)

    def listen(self) -> None:
        """Listen for the next process."""
        self.sender.listen()

    def refuse(self) -> None:
        """Refuse all further processes that ask to take over."""
        self.sender.refuse()

    def is_sending(self) -> bool:
        """Return whether packets to a peer process are still queued."""
        return any(channel.queued_packets for channel in self.peers.channels())

    def close(self) -> None:
        """Close the listener and all channels because this process ends."""
        self.sender.stop_listening()
        for channel in self.peers.channels():
            channel.close_silently("this process ends")
