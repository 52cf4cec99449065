"""The next process's side of a handover: it requests the state, then takes over connections."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from pathlib import Path
from typing import Any, NamedTuple

from quota_gateway.errors import HandoverError
from quota_gateway.model import PeerProcessExited
from quota_gateway.net.clients.listener import ClientListener, ResumedConnection
from quota_gateway.net.driver import Driver
from quota_gateway.net.handover import rendezvous
from quota_gateway.net.handover.message_json import MessageKind, from_header, read_offer, to_header
from quota_gateway.net.handover.peer_messages import (
    MEBIBYTE,
    HandedOverConnection,
    Hello,
    ResourcesInUse,
    Serving,
)
from quota_gateway.net.handover.peer_processes import PeerProcesses
from quota_gateway.net.handover.peer_requests import PeerRequestHandler
from quota_gateway.net.handover.process_channel import ChannelMessage, ProcessChannel, ReceivedMessage
from quota_gateway.net.handover.states import ReceiverState
from quota_gateway.net.upstream.pool import UpstreamPool
from quota_gateway.telemetry import Metric

log = logging.getLogger(__name__)

REQUEST_TIMEOUT_S = 1.0  # time limit for the retries of failed requests for the state
REQUEST_RETRY_S = 0.02  # delay between two requests for the state; a shortage may end at any moment
OFFER_TIMEOUT_S = 1.5  # longest wait for the state after Hello; the process then starts without it


class HandoverState(NamedTuple):
    """What the previous process has handed over, and the channel to that process.

    Attributes:
        channel: Channel to the previous process.
        listener: The listening socket for clients.
        state: The state of the policy engine, as JSON.
        registry: The state of the endpoint registry, as JSON.
        clock_offset_ms: Offset of the clock to which all times in both states refer; None from a version
            that does not send it.
    """

    channel: ProcessChannel
    listener: socket.socket
    state: dict[str, Any]
    registry: dict[str, Any]
    clock_offset_ms: float | None


async def request_handover(path: Path | None) -> HandoverState | None:
    """Ask the previous process for its state; see ``docs/decisions/handover.md``.

    The request is retried if either process is short of descriptors or memory for a moment, because a start
    without the state knows neither the customers' buckets nor the detachments.

    Returns:
        The state, or None if there is no previous process, it is silent or its message is malformed. This
        process then starts without a handover.
    """
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + REQUEST_TIMEOUT_S
    while path:
        try:
            return await _request_once(path)
        except (OSError, ChannelEndedError) as error:
            if loop.time() > give_up_at:
                log.warning("handover not requested path=%s reason=%r", path, error)
                return None
        await asyncio.sleep(REQUEST_RETRY_S)
    return None


class ChannelEndedError(Exception):
    """The previous process closed the channel without sending its state."""


async def _request_once(path: Path) -> HandoverState | None:
    """Ask the previous process for its state once.

    Returns:
        The state, or None if there is no previous process, it is silent or its message is malformed.

    Raises:
        OSError: The system is short of descriptors or memory.
        ChannelEndedError: The previous process closed the channel without sending its state.
    """
    sock = rendezvous.connect(path)
    if sock is None:
        return None
    channel = ProcessChannel(sock)
    try:
        async with asyncio.timeout(OFFER_TIMEOUT_S):
            channel.send(ChannelMessage(to_header(Hello())))
            message = await channel.first_message()
    except TimeoutError:
        channel.close("previous process is silent")
        return None
    if message is None:
        raise ChannelEndedError("previous process closed the channel without sending its state")
    try:
        return _state_from(channel, message)
    except (HandoverError, OSError) as error:
        channel.close(f"malformed message: {error!r}")
        return None
    finally:
        message.close()


def _state_from(channel: ProcessChannel, message: ReceivedMessage) -> HandoverState:
    """Read the previous process's offer and take its listening socket.

    Raises:
        HandoverError: The offer is malformed, or its descriptor is not a listening socket.
        OSError: The descriptor is not a socket.
    """
    offer = read_offer(message.header, message.body)
    listener = message.take_socket()
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.close()
        raise HandoverError("estate: descriptor is not a listening socket")
    return HandoverState(channel, listener, offer.state, offer.registry, offer.clock_offset_ms)


class HandoverReceiver:
    """The next process's side of a handover, from the moment that this process serves."""

    def __init__(
        self,
        driver: Driver,
        clients: ClientListener,
        upstream_pool: UpstreamPool,
        peers: PeerProcesses,
        requests: PeerRequestHandler,
    ) -> None:
        self.state = ReceiverState.NOT_TAKING_OVER
        self.driver = driver
        self.clients = clients
        self.upstream_pool = upstream_pool
        self.peers = peers
        self.requests = requests
        self._spare_bytes = 0  # bytes by which the buffer limit is lower until the previous process ends

    def take_over(self, handover_state: HandoverState, spare_bytes: int) -> None:
        """Take over from the previous process, and tell it that this process serves.

        Args:
            handover_state: What the previous process has handed over.
            spare_bytes: Bytes by which the buffer limit is lower until the previous process has ended.
        """
        channel = handover_state.channel
        self.peers.previous = channel
        self._enter(ReceiverState.SERVING)
        self._spare_bytes = spare_bytes
        self.clients.budget.max_buffered_bytes -= spare_bytes
        channel.on_end = self._on_previous_ended
        channel.set_receiver(lambda message: self._on_message(channel, message))
        if channel.closed:
            self._on_previous_ended()
            return
        channel.send(ChannelMessage(to_header(Serving())))
        log.info("handover received")

    def _enter(self, state: ReceiverState) -> None:
        self.state = state
        self.driver.telemetry.metrics.count(Metric.STATE_TRANSITIONS, state.value)

    def _on_previous_ended(self) -> None:
        if self.state is not ReceiverState.SERVING:
            return
        self._enter(ReceiverState.PREVIOUS_ENDED)
        self.peers.previous = None
        self.clients.budget.max_buffered_bytes += self._spare_bytes
        self.clients.budget.peer_buffered_bytes = 0
        self.clients.peer_connections = 0
        self.upstream_pool.limiter.peer_connections = 0
        self.peers.on_process_ended()
        log.info("previous process ended")
        if self.peers.next is None:
            self.driver.post(PeerProcessExited())

    def _on_message(self, channel: ProcessChannel, message: ReceivedMessage) -> None:
        match MessageKind.of(message.header):
            case MessageKind.CONNECTION if message.descriptor is not None:
                self._on_connection(message)
            case MessageKind.DESCRIPTORS_IN_USE:
                in_use = from_header(ResourcesInUse, message.header)
                self.clients.peer_connections = in_use.clients
                self.upstream_pool.limiter.peer_connections = in_use.upstream
                self.clients.budget.peer_buffered_bytes = in_use.buffered_mebibytes * MEBIBYTE
            case _:
                self.requests.handle(channel, message)

    def _on_connection(self, message: ReceivedMessage) -> None:
        connection = from_header(HandedOverConnection, message.header)
        resumed = ResumedConnection(
            connection.has_sent_command,
            connection.request_count,
            connection.command_due_for_s,
            message.body,
            connection.silent_s,
            time.monotonic() - connection.waited_s,
        )
        self.clients.serve(message.take_socket(), resumed)
