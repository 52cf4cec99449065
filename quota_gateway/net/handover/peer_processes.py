"""The peer processes of this gateway during an upgrade, with the requests and notifications to them."""

from __future__ import annotations

import asyncio

from quota_gateway.model import PeerProcessUsage
from quota_gateway.net.handover.message_json import to_header
from quota_gateway.net.handover.peer_messages import DetachmentReply, DetachmentRequest
from quota_gateway.net.handover.process_channel import ChannelMessage, ProcessChannel

DETACHMENT_TIMEOUT_S = 0.4  # wait for the peer process's reply; an operator waits 1 s for the whole call


class PeerProcesses:
    """The channels to the previous and to the next process, as far as there are any."""

    def __init__(self) -> None:
        self.previous: ProcessChannel | None = None
        self.next: ProcessChannel | None = None
        self._pending: dict[int, asyncio.Future[DetachmentReply]] = {}
        self._last_request_number = 0

    def channels(self) -> list[ProcessChannel]:
        """Return the channels to all peer processes."""
        return [channel for channel in (self.previous, self.next) if channel]

    def notify_usage(self, usage: PeerProcessUsage) -> None:
        """Notify all peer processes of a customer's usage in this process."""
        for channel in self.channels():
            channel.send(ChannelMessage(to_header(usage)))

    async def set_detached(self, name: str, detached: bool, known: bool) -> bool:
        """Ask the peer process, if there is one, to detach or attach a server.

        Args:
            name: Name of the server, as discovery has it.
            detached: True to detach the server, False to attach it again.
            known: Whether this process knows the server.

        Returns:
            Whether the peer process knows the server; False if there is none or it has not replied in time.
        """
        pending = [self._request_detachment(channel, name, detached, known) for channel in self.channels()]
        if not pending:
            return False
        done, _ = await asyncio.wait(pending, timeout=DETACHMENT_TIMEOUT_S)
        return any(reply.result().known for reply in done)

    def _request_detachment(
        self, channel: ProcessChannel, name: str, detached: bool, known: bool
    ) -> asyncio.Future[DetachmentReply]:
        self._last_request_number += 1
        request = DetachmentRequest(name, detached, known, self._last_request_number)
        reply: asyncio.Future[DetachmentReply] = asyncio.get_running_loop().create_future()
        self._pending[request.number] = reply
        channel.send(ChannelMessage(to_header(request)))
        return reply

    def on_detachment_reply(self, reply: DetachmentReply) -> None:
        """Complete the pending request that this reply answers."""
        pending = self._pending.pop(reply.number, None)
        if pending and not pending.done():
            pending.set_result(reply)

    def on_process_ended(self) -> None:
        """Complete all pending requests, as a process that has ended does not reply."""
        for number, pending in self._pending.items():
            if not pending.done():
                pending.set_result(DetachmentReply(number, known=False))
        self._pending.clear()
