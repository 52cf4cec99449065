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
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from math import isfinite
from pathlib import Path
from typing import Any

from quota_gateway import model as api
from quota_gateway.net.client_listener import ClientListener, ResumedConnection
from quota_gateway.net.driver import Driver
from quota_gateway.net.upstream_pool import UpstreamPool

log = logging.getLogger(__name__)

VERSION = 1
PIECE = 60 * 1024  # bytes of a packet: the kernel's buffer for a Unix socket holds some
LONGEST_MESSAGE = 32 * 1024 * 1024
MOST_QUEUED = 8  # packets, each with a descriptor, that wait for the kernel before more are passed on
ANSWER_S = 1.5  # for the state, from hello on, and for the word that it serves after that
HELLO_S = 2.0  # for hello, from connecting on
BAN_S = 0.4  # for the other process to carry out a ban: an operator waits 1 s
TICK_S = 0.005  # between two looks at what may be passed on
MORE, LAST = b"+", b"."  # the first byte of a packet
Message = tuple[dict[str, Any], bytes, int | None]


def rendezvous_path(listen: tuple[str, int]) -> Path | None:
    """Where the processes of a gateway meet; nowhere without $TMPDIR."""
    folder = os.environ.get("TMPDIR")
    return Path(folder) / f"handover-{listen[0]}-{listen[1]}" if folder else None


def _short(path: Path) -> tuple[str, int]:
    """A name for the path that is short enough for a socket, good while the descriptor is open."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    return f"/proc/self/fd/{folder}/{path.name}", folder


class ProcessChannel:
    """One connection between two processes: whole messages in order, each with a descriptor at most."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.loop = sock, asyncio.get_running_loop()
        sock.setblocking(False)
        self.out: deque[tuple[bytes, int | None]] = deque()
        self.parts: list[bytes] = []
        self.descriptor: int | None = None
        self.waiting: deque[Message] = deque()
        self.taker: Callable[[dict[str, Any], bytes, int | None], None] | None = None
        self.on_end: Callable[[], None] = lambda: None
        self.arrived, self.closed, self.broken = asyncio.Event(), False, False
        self.loop.add_reader(sock, self._read)

    def send(self, head: dict[str, Any], raw: bytes = b"", descriptor: int | None = None) -> None:
        """Queue a message. A descriptor is this channel's from now on, and closed once it is sent."""
        if self.closed or self.broken:
            if descriptor is not None:
                os.close(descriptor)
            return
        data = json.dumps(head).encode() + b"\n" + raw
        pieces = [data[at : at + PIECE] for at in range(0, len(data), PIECE)]
        for number, piece in enumerate(pieces, 1):
            self.out.append(((LAST if number == len(pieces) else MORE) + piece, descriptor))
            descriptor = None
        self._write()

    def _write(self) -> None:
        while self.out and not self.closed:
            piece, descriptor = self.out[0]
            try:
                if descriptor is None:
                    self.sock.send(piece)
                else:
                    socket.send_fds(self.sock, [piece], [descriptor])
            except BlockingIOError:
                self.loop.add_writer(self.sock, self._write)
                return
            except OSError:  # it has ended: what it sent before that is still to be read, up to its end
                self.broken = True
                self._drop_out()
                return
            self.out.popleft()
            if descriptor is not None:
                os.close(descriptor)
        if not self.closed:
            self.loop.remove_writer(self.sock)

    def _drop_out(self) -> None:
        self.loop.remove_writer(self.sock)
        for _, descriptor in self.out:
            if descriptor is not None:
                os.close(descriptor)
        self.out.clear()

    def _read(self) -> None:
        try:
            data, descriptors, flags, _ = socket.recv_fds(self.sock, PIECE + 1, 2)
        except (BlockingIOError, ConnectionResetError):
            return  # a reset tells that it ended with something unread; what it sent comes all the same
        except OSError as error:
            self.close(f"can't be read: {error!r}")
            return
        for descriptor in descriptors:
            if self.descriptor is None:
                self.descriptor = descriptor
            else:
                os.close(descriptor)
        if not data:
            self.close("the other process ended it")
            return
        self.parts.append(data[1:])
        if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC) or data[:1] not in (MORE, LAST):
            self.close("malformed")
        elif data[:1] == LAST:
            self._message()
        elif len(self.parts) * PIECE > LONGEST_MESSAGE:
            self.close("a message without end")

    def _message(self) -> None:
        line, _, raw = b"".join(self.parts).partition(b"\n")
        descriptor, self.descriptor, self.parts = self.descriptor, None, []
        try:
            head = json.loads(line)
        except ValueError:
            head = None
        if not isinstance(head, dict):
            if descriptor is not None:
                os.close(descriptor)
            self.close("malformed")
            return
        self.waiting.append((head, raw, descriptor))
        self.arrived.set()
        self._deliver()

    def take(self, taker: Callable[[dict[str, Any], bytes, int | None], None]) -> None:
        """Bring messages here from now on, those that have come already first."""
        self.taker = taker
        self._deliver()

    def _deliver(self) -> None:
        while self.taker and self.waiting:
            head, raw, descriptor = self.waiting.popleft()
            try:
                self.taker(head, raw, descriptor)
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                self.close(f"malformed: {error!r}")

    async def first(self) -> Message | None:
        """The first message, or None when the channel ended."""
        await self.arrived.wait()
        return self.waiting.popleft() if self.waiting else None

    def close(self, why: str) -> None:
        """End it: the other process is dead, malformed, or not needed."""
        if self.closed:
            return
        self.closed = True
        log.info("the channel to the other process is closed: %s", why)
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        for descriptor in [self.descriptor, *(message[2] for message in self.waiting)]:
            if descriptor is not None:
                os.close(descriptor)
        self.descriptor = None
        self.waiting.clear()
        self._drop_out()
        self.sock.close()
        self.arrived.set()
        self.on_end()


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
        self, path: Path | None, driver: Driver, clients: ClientListener, servers: UpstreamPool
    ) -> None:
        self.path, self.driver, self.clients, self.servers = path, driver, clients, servers
        self.loop = asyncio.get_running_loop()
        self.leave_roster: Callable[[], dict[str, Any]] = dict
        self.on_ban: Callable[[str, bool, bool], bool] = lambda name, out, known: False
        self.listener: socket.socket | None = None
        self.before: ProcessChannel | None = None  # the process that served before
        self.after: ProcessChannel | None = None  # the one that takes over
        self.passing: asyncio.TimerHandle | None = None
        self.patience: asyncio.TimerHandle | None = None  # for the word that it serves
        self.told: dict[str, int] = {}
        self.asked: dict[int, asyncio.Future[bool]] = {}
        self.questions = 0
        driver.tell_other = self._tell_other

    # ---- Taking over

    def took_over(self, estate: HandoverState, spare_bytes: int) -> None:
        """This process serves now, with the estate of the one before, which may have some bytes less held."""
        channel = self.before = estate.channel
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
        self.before = None
        self.clients.max_buffered_bytes += spare_bytes
        self.servers.max_buffered_bytes += spare_bytes
        self.clients.peer_connections = self.servers.peer_connections = 0
        self._answer_all()
        log.info("the process before has ended")
        if self.after is None:
            self.driver.post(api.PeerProcessExited())

    # ---- Messages of either side

    def _hear(
        self, channel: ProcessChannel, head: dict[str, Any], raw: bytes, descriptor: int | None
    ) -> None:
        kind = head["kind"]
        if kind == "connection" and channel is self.before and descriptor is not None:
            sock, owing_s = socket.socket(fileno=descriptor), float(head["owing_s"])
            owing_s = owing_s if isfinite(owing_s) else 0.0
            self.clients.take(sock, ResumedConnection(bool(head["spoke"]), int(head["asked"]), owing_s, raw))
            return
        if descriptor is not None:
            os.close(descriptor)
        if kind == "serving" and channel is self.after:
            self._pass_on()
        elif kind == "holds" and channel is self.before:
            self.clients.peer_connections = max(0, int(head["clients"]))
            self.servers.peer_connections = max(0, int(head["servers"]))
        elif kind == "out":
            self.driver.post(
                api.PeerProcessUsage(
                    str(head["plan"]), str(head["customer"]), int(head["out"]), float(head["change"])
                )
            )
        elif kind == "ban":
            known = self.on_ban(str(head["id"]), bool(head["out"]), bool(head["known"]))
            channel.send({"kind": "banned", "number": head["number"], "known": known})
        elif kind == "banned":
            asked = self.asked.pop(head["number"], None)
            if asked and not asked.done():
                asked.set_result(bool(head["known"]))

    def _channels(self) -> list[ProcessChannel]:
        return [channel for channel in (self.before, self.after) if channel]

    def _tell_other(self, news: api.PeerProcessUsage) -> None:
        for channel in self._channels():
            channel.send(
                {
                    "kind": "out",
                    "plan": news.plan,
                    "customer": news.customer,
                    "out": news.out,
                    "change": news.change,
                }
            )

    async def ban(self, name: str, out: bool, known: bool) -> bool:
        """Have the other process, if there is one, carry out a ban; whether it knows the server."""
        answers = []
        for channel in self._channels():
            self.questions += 1
            answer = self.asked[self.questions] = self.loop.create_future()
            answers.append(answer)
            channel.send({"kind": "ban", "id": name, "out": out, "known": known, "number": self.questions})
        if answers:
            done, _ = await asyncio.wait(answers, timeout=BAN_S)
            return any(answer.result() for answer in done)
        return False

    def _answer_all(self) -> None:
        """A process that has ended answers nothing."""
        for asked in self.asked.values():
            if not asked.done():
                asked.set_result(False)
        self.asked.clear()

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
            if head.get("kind") != "hello" or head.get("version") != VERSION or self.after:
                channel.close("no hello of this version")
            else:
                self._give(channel)

        channel.take(hello)

    def _give(self, channel: ProcessChannel) -> None:
        """Stop serving and hand the estate over. Nothing is passed on before the other one serves."""
        if self.clients.listener is None:
            channel.close("this process has ended to listen")
            return
        log.info("a new version takes over")
        self.after = channel
        channel.on_end = self._go_on
        channel.take(lambda *message: self._hear(channel, *message))
        self.clients.suspend()
        left = {"state": self.driver.export_state(), "roster": self.leave_roster()}
        self.told = {}
        channel.send(
            {"kind": "estate", "version": VERSION},
            json.dumps(left).encode(),
            os.dup(self.clients.listener.fileno()),
        )
        self._tell_holds()
        self.patience = self.loop.call_later(ANSWER_S, channel.close, "the new version is silent")

    def _go_on(self) -> None:
        """The new version has died, or never served: this process goes on as before."""
        log.warning("the new version is gone, and this process serves on")
        for timer in (self.patience, self.passing):
            if timer:
                timer.cancel()
        self.after = self.patience = self.passing = None
        self._answer_all()
        if self.before is None:
            self.driver.post(api.PeerProcessExited())
        self.clients.resume()
        if self.listener is None:
            self.wait()

    def _tell_holds(self) -> None:
        """Tell what this process still holds of the limits that both share, when it has changed."""
        holds = {"clients": self.clients.descriptors_in_use, "servers": self.servers.descriptors_in_use}
        if holds != self.told and self.after:
            self.told = holds
            self.after.send({"kind": "holds", **holds})

    def _pass_on(self) -> None:
        """The other process serves: pass on each connection as soon as nothing is owed on it here."""
        if self.patience:
            self.patience.cancel()
            self.patience = None
            self._wait_no_more()  # the next version asks the one that serves now
            log.info("the new version serves; %d connections are passed on", len(self.clients.connections))
        self.servers.close_all_idle()
        for client in list(self.clients.connections):
            if self.after is None or len(self.after.out) >= MOST_QUEUED:
                break
            released = client.release()
            if released:
                descriptor, before = released
                self.after.send(
                    {
                        "kind": "connection",
                        "spoke": before.spoke,
                        "asked": before.asked,
                        "owing_s": before.owing_s,
                    },
                    before.read,
                    descriptor,
                )
        self._tell_holds()
        if self.after:
            self.passing = self.loop.call_later(TICK_S, self._pass_on)

    def busy(self) -> bool:
        """Whether something is still on its way to the other process."""
        return any(channel.out for channel in self._channels())

    def close(self) -> None:
        """The end of this process. The name is left as it is: another process may have taken it."""
        self._wait_no_more()
        for channel in self._channels():
            channel.on_end = lambda: None
            channel.close("this process ends")
