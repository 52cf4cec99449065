"""The previous process's side of a handover.

The previous process listens at the rendezvous path, sends its state to the next process after its ``Hello``,
then hands over the client connections.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from pathlib import Path

from quota_gateway.errors import HandoverError
from quota_gateway.model import PeerProcessExited
from quota_gateway.net.clients.listener import ClientListener
from quota_gateway.net.discovery.endpoint_registry import EndpointRegistry
from quota_gateway.net.driver import Driver
from quota_gateway.net.handover import rendezvous
from quota_gateway.net.handover.connection_handover import ConnectionHandover
from quota_gateway.net.handover.message_json import MessageKind, encode_offer_body, from_header, to_header
from quota_gateway.net.handover.peer_messages import HandoverOffer, Hello
from quota_gateway.net.handover.peer_processes import PeerProcesses
from quota_gateway.net.handover.peer_requests import PeerRequestHandler
from quota_gateway.net.handover.process_channel import ChannelMessage, ProcessChannel, ReceivedMessage
from quota_gateway.net.handover.states import SenderState
from quota_gateway.net.upstream.pool import UpstreamPool
from quota_gateway.telemetry import Metric

log = logging.getLogger(__name__)

HELLO_TIMEOUT_S = 2.0  # wait for Hello after a process has connected; a silent process holds a descriptor
# Wait for Serving after the state is sent. Neither process accepts clients until then.
SERVING_TIMEOUT_S = 1.5
LISTEN_RETRY_S = 0.5  # time between two calls of ``listen`` while the path is not available


class HandoverSender:
    """The previous process's side of a handover; see ``docs/decisions/handover.md``."""

    def __init__(
        self,
        path: Path | None,
        driver: Driver,
        clients: ClientListener,
        upstream_pool: UpstreamPool,
        registry: EndpointRegistry,
        peers: PeerProcesses,
        requests: PeerRequestHandler,
    ) -> None:
        self.path = path
        self.state = SenderState.NOT_LISTENING
        self.listener: socket.socket | None = None
        self.driver = driver
        self.clients = clients
        self.upstream_pool = upstream_pool
        self.registry = registry
        self.peers = peers
        self.requests = requests
        self.loop = asyncio.get_running_loop()
        self._serving_timeout: asyncio.TimerHandle | None = None
        self._listen_retry: asyncio.TimerHandle | None = None
        self._is_refusing = False
        # The handover of connections; None unless a next process takes over.
        self._connection_handover: ConnectionHandover | None = None

    def _enter(self, state: SenderState) -> None:
        self.state = state
        self.driver.telemetry.metrics.count(Metric.STATE_TRANSITIONS, state.value)

    # ---- Listening

    def listen(self) -> None:
        """Listen for the next process. A socket that is at the path already is replaced, even if in use."""
        if self._is_refusing:
            return
        try:
            listener = rendezvous.listen(self.path) if self.path else None
        except OSError as error:
            log.warning("handover listener failed path=%s reason=%r", self.path, error)
            self._listen_retry = self.loop.call_later(LISTEN_RETRY_S, self.listen)
            return
        if listener is None:
            return
        self.listener = listener
        self._enter(SenderState.LISTENING)
        self.loop.add_reader(listener, self._on_connect)

    def stop_listening(self) -> None:
        """Stop listening. The path is not removed, as another process may listen there already."""
        if self._listen_retry:
            self._listen_retry.cancel()
        if self.listener:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def refuse(self) -> None:
        """Accept no further process from now on, even if the next process ends before it serves."""
        self._is_refusing = True
        self.stop_listening()

    def _on_connect(self) -> None:
        assert self.listener
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        channel = ProcessChannel(sock)
        timeout = self.loop.call_later(HELLO_TIMEOUT_S, channel.close, "no hello received in time")
        channel.on_end = timeout.cancel

        def on_hello(message: ReceivedMessage) -> None:
            timeout.cancel()
            from_header(Hello, message.header)
            if self.peers.next:
                raise HandoverError("hello: another process is taking over already")
            self._send_state(channel)

        channel.set_receiver(on_hello)

    # ---- The state

    def _send_state(self, channel: ProcessChannel) -> None:
        """Stop accepting and reading, and send the state.

        Connections are handed over once the next process serves.
        """
        if self.clients.listening_socket is None:
            channel.close("this process has stopped listening for clients")
            return
        try:
            listening_socket = os.dup(self.clients.listening_socket.fileno())
        except OSError as error:
            channel.close(f"duplicating the listening socket failed: {error!r}")
            return
        log.info("handover requested")
        self._enter(SenderState.STATE_SENT)
        self.peers.next = channel
        connection_handover = ConnectionHandover(channel, self.clients, self.upstream_pool)
        self._connection_handover = connection_handover
        channel.on_end = self._on_next_ended
        channel.set_receiver(lambda message: self._on_message(channel, message))
        self.clients.suspend()
        state, registry = self.driver.export_state(), self.registry.export_state()
        offer = HandoverOffer(state, registry, self.driver.clock_offset_ms)
        channel.send(ChannelMessage(to_header(offer), encode_offer_body(offer), listening_socket))
        connection_handover.report_resources()
        self._serving_timeout = self.loop.call_later(
            SERVING_TIMEOUT_S, channel.close, "next process is silent"
        )

    def _on_next_ended(self) -> None:
        """Resume serving: the channel to the next process has ended, whether that process served or not."""
        log.warning("handover aborted, serving resumed")
        if self._serving_timeout:
            self._serving_timeout.cancel()
            self._serving_timeout = None
        if self._connection_handover:
            self._connection_handover.cancel()
            self._connection_handover = None
        self.peers.next = None
        self.peers.on_process_ended()
        if self.peers.previous is None:
            self.driver.post(PeerProcessExited())
        self.clients.resume()
        if self.listener:
            self._enter(SenderState.LISTENING)
        else:
            self._enter(SenderState.NOT_LISTENING)
            self.listen()

    # ---- Messages

    def _on_message(self, channel: ProcessChannel, message: ReceivedMessage) -> None:
        kind = MessageKind.of(message.header)
        if kind is MessageKind.SERVING and self.state is SenderState.STATE_SENT:
            self._on_serving()
        else:
            self.requests.handle(channel, message)

    def _on_serving(self) -> None:
        if self._serving_timeout:
            self._serving_timeout.cancel()
            self._serving_timeout = None
        self._enter(SenderState.HANDING_OVER_CONNECTIONS)
        self.clients.acceptor.share()
        self.stop_listening()  # the next process listens at the path from now on
        log.info("handover accepted connections=%d", len(self.clients.connections))
        assert self._connection_handover
        self._connection_handover.run()
