"""The handover of client connections, one by one, from this process to the next."""

from __future__ import annotations

import asyncio
import logging
import time
from math import ceil

from quota_gateway.net.clients.listener import ClientConnection, ClientListener
from quota_gateway.net.handover.message_json import to_header
from quota_gateway.net.handover.peer_messages import MEBIBYTE, HandedOverConnection, ResourcesInUse
from quota_gateway.net.handover.process_channel import ChannelMessage, ProcessChannel
from quota_gateway.net.upstream.pool import UpstreamPool

log = logging.getLogger(__name__)

# A queued packet may hold a descriptor. No connection is handed over at the maximum of queued packets.
MAX_QUEUED_PACKETS = 8
HANDOVER_INTERVAL_S = 0.005  # time between two passes over the connections


class ConnectionHandover:
    """Hands each connection over to the next process as soon as no reply is pending on it.

    It also reports what this process still uses of the limits, which both processes share.
    """

    def __init__(self, channel: ProcessChannel, clients: ClientListener, upstream_pool: UpstreamPool) -> None:
        self.channel = channel
        self.clients = clients
        self.upstream_pool = upstream_pool
        self.loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._reported: ResourcesInUse | None = None

    def run(self) -> None:
        """Hand over all connections without a pending reply, now and every ``HANDOVER_INTERVAL_S``."""
        if not self.channel.closed:
            self._timer = self.loop.call_later(HANDOVER_INTERVAL_S, self.run)
        self.upstream_pool.close_all_idle()
        for client in list(self.clients.connections):
            if self.channel.closed or self.channel.queued_packets >= MAX_QUEUED_PACKETS:
                break
            self._hand_over(client)
        self.report_resources()

    def cancel(self) -> None:
        """Stop handing over connections."""
        if self._timer:
            self._timer.cancel()

    def _hand_over(self, client: ClientConnection) -> None:
        try:
            released = client.release()
        except OSError as error:  # the system is short of descriptors; the next ``run`` retries
            log.warning("connection not handed over reason=%r", error)
            return
        if released is None:
            return
        descriptor, resumed = released
        connection = HandedOverConnection(
            resumed.has_sent_command,
            resumed.request_count,
            resumed.command_due_for_s,
            max(0.0, time.monotonic() - resumed.waiting_since_s),
            resumed.silent_s,
        )
        self.channel.send(ChannelMessage(to_header(connection), resumed.partial_command, descriptor))

    def report_resources(self) -> None:
        """Send the numbers of descriptors and bytes in use to the next process if they have changed."""
        in_use = ResourcesInUse(
            self.clients.descriptors_in_use,
            self.upstream_pool.descriptors_in_use,
            ceil(self.clients.budget.buffered_bytes / MEBIBYTE),
        )
        if in_use != self._reported and not self.channel.closed:
            self._reported = in_use
            self.channel.send(ChannelMessage(to_header(in_use)))
