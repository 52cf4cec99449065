"""The hand-over to a new version: two processes of one gateway and the Unix socket between them.

The process that serves waits at a socket in $TMPDIR. One that starts says hello there, and is given the
state, the listening socket and, once it says that it serves, each client's connection on which nothing is
owed. Messages are a line of JSON, raw bytes and a descriptor, in pieces that the kernel keeps whole.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
from contextlib import suppress
from dataclasses import dataclass
from math import isfinite
from pathlib import Path
from typing import Any

from quota_gateway import model as api
from quota_gateway.net.client_listener import ClientListener, ResumedConnection
from quota_gateway.net.detachments import Detachments
from quota_gateway.net.driver import Driver
from quota_gateway.net.endpoint_registry import EndpointRegistry
from quota_gateway.net.peer_processes import PeerProcesses
from quota_gateway.net.process_channel import ProcessChannel
from quota_gateway.net.upstream_pool import UpstreamPool

log = logging.getLogger(__name__)

VERSION = 1
MOST_QUEUED = 8  # packets, each with a descriptor, that wait for the kernel before more are passed on
ANSWER_S = 1.5  # for the state, from hello on, and for the word that it serves after that
HELLO_S = 2.0  # for hello, from connecting on
TICK_S = 0.005  # between two looks at what may be passed on


def rendezvous_path(listen: tuple[str, int]) -> Path | None:
    """Where the processes of a gateway meet; nowhere without $TMPDIR."""
    folder = os.environ.get("TMPDIR")
    return Path(folder) / f"handover-{listen[0]}-{listen[1]}" if folder else None


def _short(path: Path) -> tuple[str, int]:
    """A name for the path that is short enough for a socket, good while the descriptor is open."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    return f"/proc/self/fd/{folder}/{path.name}", folder


@dataclass(frozen=True, slots=True)
class HandoverState:
    """What a process before has left, and the channel to it."""

    channel: ProcessChannel
    listener: socket.socket
    state: dict[str, Any]
    registry: dict[str, Any]


async def request_handover(path: Path | None) -> HandoverState | None:
    """Ask a process that serves for its estate; None if there is none, or it does not answer as it should.

    Guards against what a dead process left there, and one that is silent or malformed: a start goes on
    without it after a while.
    """
    if path is None:
        return None
    try:
        name, folder = _short(path)
    except OSError:
        return None
    sock = None
    try:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        sock.connect(name)
    except OSError as error:  # some places refuse such sockets altogether
        if not isinstance(error, FileNotFoundError):
            log.info("no process to take over from: %r", error)
        if sock:
            sock.close()
        return None
    finally:
        os.close(folder)
    channel = ProcessChannel(sock)
    try:
        async with asyncio.timeout(ANSWER_S):
            channel.send({"kind": "hello", "version": VERSION})
            message = await channel.first()
    except TimeoutError:
        channel.close("the process before is silent")
        return None
    return _estate(channel, *message) if message else None


def _estate(
    channel: ProcessChannel, head: dict[str, Any], raw: bytes, descriptor: int | None
) -> HandoverState | None:
    try:
        if head.get("kind") != "estate" or head.get("version") != VERSION or descriptor is None:
            raise ValueError("no estate of this version")
        left = json.loads(raw)
        estate = HandoverState(
            channel, socket.socket(fileno=descriptor), dict(left["state"]), dict(left["roster"])
        )
        if not estate.listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ValueError("that is no listener")
    except (ValueError, KeyError, TypeError, OSError) as error:
        if descriptor is not None:
            with suppress(OSError):
                os.close(descriptor)
        channel.close(f"malformed: {error!r}")
        return None
    return estate


class Handover:
    """What this process does with the one before it and the one after it."""

    def __init__(
        self,
        path: Path | None,
        driver: Driver,
        clients: ClientListener,
        servers: UpstreamPool,
        registry: EndpointRegistry,
        detachments: Detachments,
        peers: PeerProcesses,
    ) -> None:
        self.path = path
        self.driver = driver
        self.clients = clients
        self.servers = servers
        self.registry = registry
        self.detachments = detachments
        self.peers = peers
        self.loop = asyncio.get_running_loop()
        self.listener: socket.socket | None = None
        self.passing: asyncio.TimerHandle | None = None
        self.patience: asyncio.TimerHandle | None = None  # for the word that it serves
        self.told: dict[str, int] = {}

    # ---- Taking over

    def took_over(self, estate: HandoverState, spare_bytes: int) -> None:
        """This process serves now, with the estate of the one before, which may have some bytes less held."""
        channel = self.peers.previous = estate.channel
        self.clients.max_buffered_bytes -= spare_bytes
        self.servers.max_buffered_bytes -= spare_bytes
        channel.on_end = lambda: self._alone(spare_bytes)
        channel.take(lambda *message: self._hear(channel, *message))
        if channel.closed:
            self._alone(spare_bytes)
            return
        channel.send({"kind": "serving"})
        log.info("took over from the process before")

    def _alone(self, spare_bytes: int) -> None:
        self.peers.previous = None
        self.clients.max_buffered_bytes += spare_bytes
        self.servers.max_buffered_bytes += spare_bytes
        self.clients.peer_connections = self.servers.peer_connections = 0
        self.peers.answer_all()
        log.info("the process before has ended")
        if self.peers.next is None:
            self.driver.post(api.PeerProcessExited())

    # ---- Messages of either side

    def _hear(
        self, channel: ProcessChannel, head: dict[str, Any], raw: bytes, descriptor: int | None
    ) -> None:
        kind = head["kind"]
        if kind == "connection" and channel is self.peers.previous and descriptor is not None:
            sock, owing_s = socket.socket(fileno=descriptor), float(head["owing_s"])
            owing_s = owing_s if isfinite(owing_s) else 0.0
            self.clients.serve(sock, ResumedConnection(bool(head["spoke"]), int(head["asked"]), owing_s, raw))
            return
        if descriptor is not None:
            os.close(descriptor)
        if kind == "serving" and channel is self.peers.next:
            self._pass_on()
        elif kind == "holds" and channel is self.peers.previous:
            self.clients.peer_connections = max(0, int(head["clients"]))
            self.servers.peer_connections = max(0, int(head["servers"]))
        elif kind == "out":
            self.driver.post(
                api.PeerProcessUsage(
                    str(head["plan"]), str(head["customer"]), int(head["out"]), float(head["change"])
                )
            )
        elif kind == "ban":
            known = self.detachments.carry_out(str(head["id"]), bool(head["out"]), bool(head["known"]))
            channel.send({"kind": "banned", "number": head["number"], "known": known})
        elif kind == "banned":
            self.peers.on_detachment_answer(head["number"], bool(head["known"]))

    # ---- Being taken over from

    def wait(self) -> None:
        """Wait for a process that takes over. Whatever is at the path is replaced, dead or alive."""
        if self.path is None:
            return
        try:
            name, folder = _short(self.path)
            try:
                fresh = f"{name}.{os.getpid()}"
                with suppress(FileNotFoundError):
                    os.unlink(fresh)
                listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
                listener.setblocking(False)
                listener.bind(fresh)
                os.chmod(fresh, 0o600)
                listener.listen(4)
                os.rename(fresh, name)
            finally:
                os.close(folder)
        except OSError as error:
            log.info("no new version can take over: %r", error)
            return
        self.listener = listener
        self.loop.add_reader(listener, self._met)

    def _wait_no_more(self) -> None:
        if self.listener:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def _met(self) -> None:
        assert self.listener
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        channel = ProcessChannel(sock)
        silent = self.loop.call_later(HELLO_S, channel.close, "it said no hello")
        channel.on_end = silent.cancel

        def hello(head: dict[str, Any], raw: bytes, descriptor: int | None) -> None:
            silent.cancel()
            if descriptor is not None:
                os.close(descriptor)
            if head.get("kind") != "hello" or head.get("version") != VERSION or self.peers.next:
                channel.close("no hello of this version")
            else:
                self._give(channel)

        channel.take(hello)

    def _give(self, channel: ProcessChannel) -> None:
        """Stop serving and hand the estate over. Nothing is passed on before the other one serves."""
        if self.clients.listening_socket is None:
            channel.close("this process has ended to listen")
            return
        log.info("a new version takes over")
        self.peers.next = channel
        channel.on_end = self._go_on
        channel.take(lambda *message: self._hear(channel, *message))
        self.clients.suspend()
        left = {"state": self.driver.export_state(), "roster": self.registry.export_state()}
        self.told = {}
        channel.send(
            {"kind": "estate", "version": VERSION},
            json.dumps(left).encode(),
            os.dup(self.clients.listening_socket.fileno()),
        )
        self._tell_holds()
        self.patience = self.loop.call_later(ANSWER_S, channel.close, "the new version is silent")

    def _go_on(self) -> None:
        """The new version has died, or never served: this process goes on as before."""
        log.warning("the new version is gone, and this process serves on")
        for timer in (self.patience, self.passing):
            if timer:
                timer.cancel()
        self.peers.next = self.patience = self.passing = None
        self.peers.answer_all()
        if self.peers.previous is None:
            self.driver.post(api.PeerProcessExited())
        self.clients.resume()
        if self.listener is None:
            self.wait()

    def _tell_holds(self) -> None:
        """Tell what this process still holds of the limits that both share, when it has changed."""
        holds = {"clients": self.clients.descriptors_in_use, "servers": self.servers.descriptors_in_use}
        if holds != self.told and self.peers.next:
            self.told = holds
            self.peers.next.send({"kind": "holds", **holds})

    def _pass_on(self) -> None:
        """The other process serves: pass on each connection as soon as nothing is owed on it here."""
        if self.patience:
            self.patience.cancel()
            self.patience = None
            self._wait_no_more()  # the next version asks the one that serves now
            log.info("the new version serves; %d connections are passed on", len(self.clients.connections))
        self.servers.close_all_idle()
        for client in list(self.clients.connections):
            if self.peers.next is None or len(self.peers.next.out) >= MOST_QUEUED:
                break
            released = client.release()
            if released:
                descriptor, before = released
                self.peers.next.send(
                    {
                        "kind": "connection",
                        "spoke": before.has_sent_command,
                        "asked": before.request_count,
                        "owing_s": before.command_due_for_s,
                    },
                    before.partial_command,
                    descriptor,
                )
        self._tell_holds()
        if self.peers.next:
            self.passing = self.loop.call_later(TICK_S, self._pass_on)

    def busy(self) -> bool:
        """Whether something is still on its way to the other process."""
        return any(channel.out for channel in self.peers.channels())

    def close(self) -> None:
        """The end of this process. The name is left as it is: another process may have taken it."""
        self._wait_no_more()
        for channel in self.peers.channels():
            channel.on_end = lambda: None
            channel.close("this process ends")
