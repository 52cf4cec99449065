"""What either process of an upgrade may ask of the other or tell it, whichever of them is the new one."""

from __future__ import annotations

from quota_gateway.net.admin.detachments import Detachments
from quota_gateway.net.driver import Driver
from quota_gateway.net.handover.peer_messages import (
    DetachmentReply,
    DetachmentRequest,
    MessageKind,
    UsageNotification,
)
from quota_gateway.net.handover.peer_processes import PeerProcesses
from quota_gateway.net.handover.process_channel import ChannelMessage, ProcessChannel, ReceivedMessage


class PeerRequestHandler:
    """Carries out the messages that both sides of a handover take."""

    def __init__(self, driver: Driver, detachments: Detachments, peers: PeerProcesses) -> None:
        self.driver = driver
        self.detachments = detachments
        self.peers = peers

    def handle(self, channel: ProcessChannel, message: ReceivedMessage) -> None:
        """Carry out a message; one of a kind that only one side takes, or that is unknown, has no effect.

        Raises:
            HandoverError: The message is malformed.
        """
        kind = MessageKind.of(message.header)
        if kind is MessageKind.USAGE:
            self.driver.post(UsageNotification.from_json(message.header).usage)
        elif kind is MessageKind.DETACHMENT_REQUEST:
            request = DetachmentRequest.from_json(message.header)
            known = self.detachments.carry_out(request.name, request.detached, request.known)
            channel.send(ChannelMessage(DetachmentReply(request.number, known).to_json()))
        elif kind is MessageKind.DETACHMENT_REPLY:
            self.peers.on_detachment_reply(DetachmentReply.from_json(message.header))
