"""Being taken over from: the listener for a new process, the state for it, then the clients' connections."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import time
from enum import Enum, auto
from pathlib import Path

from quota_gateway.errors import HandoverError
from quota_gateway.model import PeerProcessExited
from quota_gateway.net.clients.listener import ClientConnection, ClientListener
from quota_gateway.net.discovery.endpoint_registry import EndpointRegistry
from quota_gateway.net.driver import Driver
from quota_gateway.net.handover import rendezvous
from quota_gateway.net.handover.peer_messages import (
    DescriptorsInUse,
    HandoverOffer,
    Hello,
    MessageKind,
    PassedConnection,
)
from quota_gateway.net.handover.peer_processes import PeerProcesses
from quota_gateway.net.handover.peer_requests import PeerRequestHandler
from quota_gateway.net.handover.process_channel import ChannelMessage, ProcessChannel, ReceivedMessage
from quota_gateway.net.upstream.pool import UpstreamPool
from quota_gateway.telemetry import Metric

log = logging.getLogger(__name__)

MAX_QUEUED_PACKETS = 8  # each with a descriptor, that wait for the kernel before more connections follow
HELLO_TIMEOUT_S = 2.0  # from connecting on: who connects and says nothing holds a descriptor
SERVING_TIMEOUT_S = 1.5  # from the state on, for the word that the other serves: nobody accepts meanwhile
LISTEN_RETRY_S = 0.5  # where the path can not be had for a moment
PASS_INTERVAL_S = 0.005  # between two looks at which connections may be passed on


class SenderState(Enum):
    """How far this process has handed over to another one."""

    NOT_LISTENING = auto()  # without a path, or where it is refused, or as this process ends
    LISTENING = auto()  # for a process that takes over; this one serves
    STATE_SENT = auto()  # nobody accepts until the other says that it serves
    PASSING_CONNECTIONS = auto()  # the other serves and gets each connection on which nothing is owed


class HandoverSender:
    """The serving process's side of a handover; see ``docs/decisions/handover.md``."""

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
        self._next_pass: asyncio.TimerHandle | None = None
        self._listen_retry: asyncio.TimerHandle | None = None
        self._is_refusing = False
        self._reported: DescriptorsInUse | None = None

    def _enter(self, state: SenderState) -> None:
        self.state = state
        self.driver.telemetry.metrics.count(Metric.STATE_TRANSITIONS, f"sender_{state.name.lower()}")

    # ---- Listening

    def listen(self) -> None:
        """Wait for a process that takes over. Whatever is at the path is replaced, dead or alive."""
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
        """Take no further process. The path is left as it is: another process may have taken it."""
        if self._listen_retry:
            self._listen_retry.cancel()
        if self.listener:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def refuse(self) -> None:
        """Take no further process from now on, also where the one that takes over dies."""
        self._is_refusing = True
        self.stop_listening()

    def _on_connect(self) -> None:
        assert self.listener
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        channel = ProcessChannel(sock)
        timeout = self.loop.call_later(HELLO_TIMEOUT_S, channel.close, "no hello in time")
        channel.on_end = timeout.cancel

        def on_hello(message: ReceivedMessage) -> None:
            timeout.cancel()
            Hello.from_json(message.header)
            if self.peers.next:
                raise HandoverError("hello: another process is taking over")
            self._send_state(channel)

        channel.set_receiver(on_hello)

    # ---- The state

    def _send_state(self, channel: ProcessChannel) -> None:
        """Stop serving and hand the state over. No connection is passed on before the other one serves."""
        if self.clients.listening_socket is None:
            channel.close("this process has stopped listening")
            return
        try:
            listening_socket = os.dup(self.clients.listening_socket.fileno())
        except OSError as error:
            channel.close(f"the listening socket can not be handed over: {error!r}")
            return
        log.info("handover requested")
        self._enter(SenderState.STATE_SENT)
        self.peers.next = channel
        channel.on_end = self._on_next_ended
        channel.set_receiver(lambda message: self._on_message(channel, message))
        self.clients.suspend()
        state, registry = self.driver.export_state(), self.registry.export_state()
        offer = HandoverOffer(state, registry, self.driver.clock_offset_ms)
        channel.send(ChannelMessage(offer.to_json(), offer.encode_body(), listening_socket))
        self._reported = None
        self._report_descriptors(channel)
        self._serving_timeout = self.loop.call_later(
            SERVING_TIMEOUT_S, channel.close, "next process is silent"
        )

    def _on_next_ended(self) -> None:
        """The new process has died, or never served: this process goes on as before."""
        log.warning("handover aborted, serving resumed")
        for timer in (self._serving_timeout, self._next_pass):
            if timer:
                timer.cancel()
        self._serving_timeout = None
        self._next_pass = None
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

    # ---- The connections

    def _on_message(self, channel: ProcessChannel, message: ReceivedMessage) -> None:
        kind = MessageKind.of(message.header)
        if kind is MessageKind.SERVING and self.state is SenderState.STATE_SENT:
            self._on_serving(channel)
        else:
            self.requests.handle(channel, message)

    def _on_serving(self, channel: ProcessChannel) -> None:
        if self._serving_timeout:
            self._serving_timeout.cancel()
            self._serving_timeout = None
        self._enter(SenderState.PASSING_CONNECTIONS)
        self.clients.acceptor.share()
        self.stop_listening()  # the version after the next asks the one that serves now
        log.info("handover accepted connections=%d", len(self.clients.connections))
        self._pass_connections(channel)

    def _pass_connections(self, channel: ProcessChannel) -> None:
        """Pass on each connection on which nothing is owed, and look again in a moment."""
        if not channel.closed:
            self._next_pass = self.loop.call_later(PASS_INTERVAL_S, self._pass_connections, channel)
        self.upstream_pool.close_all_idle()
        for client in list(self.clients.connections):
            if channel.closed or channel.queued_packets >= MAX_QUEUED_PACKETS:
                break
            self._pass_connection(channel, client)
        self._report_descriptors(channel)

    def _pass_connection(self, channel: ProcessChannel, client: ClientConnection) -> None:
        try:
            released = client.release()
        except OSError as error:  # of descriptors, for a moment: it is looked at again
            log.warning("connection not passed on reason=%r", error)
            return
        if released is None:
            return
        descriptor, resumed = released
        connection = PassedConnection(
            resumed.has_sent_command,
            resumed.request_count,
            resumed.command_due_for_s,
            max(0.0, time.monotonic() - resumed.waiting_since_s),
            resumed.silent_s,
        )
        channel.send(ChannelMessage(connection.to_json(), resumed.partial_command, descriptor))

    def _report_descriptors(self, channel: ProcessChannel) -> None:
        """Tell what this process still has of the limits that both share, when it has changed."""
        in_use = DescriptorsInUse(self.clients.descriptors_in_use, self.upstream_pool.descriptors_in_use)
        if in_use != self._reported and not channel.closed:
            self._reported = in_use
            channel.send(ChannelMessage(in_use.to_json()))
