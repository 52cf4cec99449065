"""Handles the messages that the previous and the next process may both send during an upgrade."""

from __future__ import annotations

from quota_gateway.model import PeerProcessUsage
from quota_gateway.net.admin.detachments import Detachments
from quota_gateway.net.driver import Driver
from quota_gateway.net.handover.message_json import MessageKind, from_header, to_header
from quota_gateway.net.handover.peer_messages import DetachmentReply, DetachmentRequest
from quota_gateway.net.handover.peer_processes import PeerProcesses
from quota_gateway.net.handover.process_channel import ChannelMessage, ProcessChannel, ReceivedMessage


class PeerRequestHandler:
    """Handles the messages that both sides of a handover accept."""

    def __init__(self, driver: Driver, detachments: Detachments, peers: PeerProcesses) -> None:
        self.driver = driver
        self.detachments = detachments
        self.peers = peers

    def handle(self, channel: ProcessChannel, message: ReceivedMessage) -> None:
        """Handle a message. Messages that only one side accepts, and those of unknown kinds, are ignored.

        Raises:
            HandoverError: The message is malformed.
        """
        match MessageKind.of(message.header):
            case MessageKind.USAGE:
                self.driver.post(from_header(PeerProcessUsage, message.header))
            case MessageKind.DETACHMENT_REQUEST:
                request = from_header(DetachmentRequest, message.header)
                known = self.detachments.carry_out(request.name, request.detached, request.known)
                channel.send(ChannelMessage(to_header(DetachmentReply(request.number, known))))
            case MessageKind.DETACHMENT_REPLY:
                self.peers.on_detachment_reply(from_header(DetachmentReply, message.header))
