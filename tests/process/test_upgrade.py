"""A new version beside the running one, as processes and on real sockets."""

import asyncio
import errno
import json
import os
import shutil
import signal
import socket
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from quota_gateway import (
    AttachServer,
    DetachServer,
    ExportState,
    NotifyPeerProcess,
    PeerProcessExited,
    PeerProcessUsage,
    RestoreState,
    StateSnapshot,
)
from quota_gateway.net import handover
from quota_gateway.net.handover import rendezvous_path, request_handover
from tests.net.test_detachments import http, post
from tests.process.test_process import ROOT, SETTINGS, command, connect, free_port
from tests.support.engine_harness import Rig, entry, rig_with
from tests.support.fakes import (
    FakeDiscovery,
    FakeServer,
    Peer,
    array,
    call,
    chunk,
    listing,
    node,
    resp,
    row,
    run,
    until,
)


class Platform:
    """What is around the processes of one gateway: configuration, $TMPDIR, discovery, servers."""

    def __init__(self, folder: Path, server: FakeServer) -> None:
        self.folder, self.server, self.port = folder, server, free_port()
        self.tmp = Path(tempfile.mkdtemp())
        self.processes: list[asyncio.subprocess.Process] = []
        self.names = ["s-1"]

    @property
    def meeting(self) -> Path:
        """The socket at which processes meet."""
        return self.tmp / f"handover-127.0.0.1-{self.port}"

    async def discover(self) -> None:
        self.discovery = await FakeDiscovery().start()

    async def tell(self, *names: str) -> None:
        """The whole list, on the next watch."""
        _, watch = await self.discovery.watch()
        watch.write(chunk(listing(2, *(row(name, self.server.port) for name in names), reset=True)))

    async def start(self, tell: bool = True) -> tuple[asyncio.subprocess.Process, int]:
        """A further process, and where operators call it."""
        mgmt, path = free_port(), self.folder / f"config{len(self.processes)}.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.port}",
                    "mgmt": f"127.0.0.1:{mgmt}",
                    "discovery": f"127.0.0.1:{self.discovery.port}",
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 384},
                    "known": {"generation": 1, "reset": True, "instances": []},
                    "settings": SETTINGS,
                }
            )
        )
        env = {**os.environ, "EDGE_CONFIG": str(path), "TMPDIR": str(self.tmp)}
        for name in ("EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_MGMT"):
            env.pop(name, None)
        process = await asyncio.create_subprocess_shell(command(), cwd=ROOT, env=env)
        self.processes.append(process)
        if tell:
            await self.tell(*self.names)
        return process, mgmt

    async def end(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        shutil.rmtree(self.tmp, ignore_errors=True)


@asynccontextmanager
async def platform(tmp_path, answer=lambda words: array(words[2])):
    made = Platform(tmp_path, await FakeServer(answer).start())
    await made.discover()
    try:
        yield made
    finally:
        await made.end()


def silent_on_7(words: list[bytes]) -> bytes | None:
    """Answers of a server that leaves some to be answered later."""
    return None if words[2].endswith(b"7") else array(words[2])


async def ready(mgmt: int) -> None:
    """Until the process says that it is ready."""
    while True:
        try:
            if (await http(mgmt, b"GET /_ready HTTP/1.1\r\n\r\n")).startswith(b"HTTP/1.1 200 "):
                return
        except OSError:
            pass
        await asyncio.sleep(0.02)


async def say(mgmt: int, rendezvous_path: str, name: str) -> int:
    return int((await http(mgmt, post(f"/_servers/{rendezvous_path}", name.encode()))).split()[1])


def test_connections_and_requests_go_on_through_two_upgrades(tmp_path):
    async def test():
        async with platform(tmp_path, silent_on_7) as p:
            old, mgmt = await p.start()
            await ready(mgmt)
            idle, busy, third = [await connect(p.port) for _ in range(3)]
            assert await third.ask(resp("PING")) == b"PONG"
            for number in (0x10, 0x20):
                assert await idle.ask(call(number)) == b"%016x" % number
                busy.send(call(number + 7, wait=60_000))
                got = len(p.server.commands)
                await p.server.until(lambda: p.server.commands[-1][2].endswith(b"7"))
                new, mgmt = await p.start()
                await ready(mgmt)
                old.send_signal(signal.SIGTERM)
                assert await idle.ask(call(number + 1)) == b"%016x" % (number + 1)  # at the very moment
                at = next(
                    n for n, words in enumerate(p.server.commands) if n >= got - 1 and words[2].endswith(b"7")
                )
                p.server.writers[p.server.by[at]].write(array(b"late"))
                assert await busy.reply() == b"late"
                assert await old.wait() == 0
                assert await third.ask(resp("PING")) == b"PONG"
                fresh = await connect(p.port)
                assert await fresh.ask(call(number + 2)) == b"%016x" % (number + 2)
                old = new

    run(test())


def test_half_a_command_and_what_was_pipelined_go_on_in_the_other_process(tmp_path):
    async def test():
        server = FakeServer(silent_on_7)
        async with node(server) as old, node(server) as new:
            old.handover.path = new.handover.path = tmp_path / "meet"
            old.handover.wait()
            half, busy = await old.peer(), await old.peer()
            command = call(1, "post", body=b"x" * 100_000)
            half.send(command[:70_000])
            await until(
                lambda: any(len(client.reader.buffer) > 60_000 for client in old.client_listener.connections)
            )
            busy.send(call(7), call(8))
            await until(lambda: len(old.driver.active_requests) == 2 or len(server.commands) == 2)
            estate = await request_handover(new.handover.path)
            new.client_listener.stop_listening()
            new.client_listener.leaving = False
            new.client_listener.adopt(estate.listener)
            new.handover.took_over(estate, 0)
            half.send(command[70_000:])
            assert await half.reply() == b"0000000000000001"
            assert old.client_listener.connections and new.client_listener.connections
            at = next(n for n, words in enumerate(server.commands) if words[2].endswith(b"7"))
            server.writers[server.by[at]].write(array(b"late"))
            assert [await busy.reply(), await busy.reply()] == [b"late", b"0000000000000008"]
            assert await busy.ask(call(9)) == b"0000000000000009"
            assert not old.client_listener.connections
            await until(lambda: not new.client_listener.peer_connections)
            assert await (await new.peer()).ask(resp("PING")) == b"PONG"
            old.handover.close()
            await until(lambda: new.peers.previous is None)
            new.handover.close()

    run(test())


def pretend(meeting: socket.socket, left: str) -> socket.socket:
    """Stand in for a process that answers a hello with nothing of use."""
    other, _ = meeting.accept()
    if left != "one that hangs up":
        other.recv(1000)
        answer = b".\xff" if left == "a malformed one" else b'.{"kind":"estate","version":1}\n{}'
        socket.send_fds(other, [answer], [meeting.fileno()])
    return other


@pytest.mark.parametrize(
    "left",
    [
        "nothing",
        "a file",
        "a dead socket",
        "a silent process",
        "a malformed one",
        "one that hangs up",
        "no state",
    ],
)
def test_whatever_was_left_at_the_meeting_place_a_process_starts_and_is_ready(tmp_path, left):
    async def test():
        async with platform(tmp_path) as p:
            meeting = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            if left == "a file":
                p.meeting.write_text("x")
            elif left != "nothing":
                meeting.bind(str(p.meeting))
            if left in ("a silent process", "a malformed one", "one that hangs up", "no state"):
                meeting.listen()
            process, mgmt = await p.start(tell=False)
            if left in ("a malformed one", "one that hangs up", "no state"):
                other = await asyncio.to_thread(pretend, meeting, left)
                other.close()
            await p.tell("s-1")
            await ready(mgmt)
            peer = await connect(p.port)
            assert await peer.ask(call(1)) == b"0000000000000001"
            again, mgmt = await p.start()  # the next upgrade works as well
            await ready(mgmt)
            process.send_signal(signal.SIGTERM)
            assert await peer.ask(call(2)) == b"0000000000000002"
            assert await process.wait() == 0
            meeting.close()

    run(test())


def test_the_old_one_serves_on_when_the_new_one_dies_and_a_third_takes_over(tmp_path):
    async def test():
        async with platform(tmp_path) as p:
            old, mgmt = await p.start()
            await ready(mgmt)
            new, later = await p.start()
            await ready(later)
            assert (await http(mgmt, b"GET /_ready HTTP/1.1\r\n\r\n")).startswith(b"HTTP/1.1 503 ")
            new.kill()
            await new.wait()
            await ready(mgmt)
            peer = await connect(p.port)
            assert await peer.ask(call(1)) == b"0000000000000001"
            third, later = await p.start()
            await ready(later)
            old.kill()
            await old.wait()
            other = await connect(p.port)
            assert await other.ask(call(2)) == b"0000000000000002"
            assert third.returncode is None

    run(test())


def test_silent_successor_holds_nothing_up(tmp_path):
    async def test():
        async with platform(tmp_path) as p:
            _, mgmt = await p.start()
            await ready(mgmt)
            peer = await connect(p.port)
            other = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            other.connect(str(p.meeting))
            other.send(b'.{"kind":"hello","version":1}\n')  # and it never says that it serves
            assert await peer.ask(call(1)) == b"0000000000000001"
            await ready(mgmt)
            other.close()

    run(test())


def test_a_ban_reaches_both_processes_whichever_takes_the_call_and_is_inherited(tmp_path):
    async def test():
        async with platform(tmp_path) as p:
            p.names = ["s-1", "s-2", "s-3"]
            old, first = await p.start()
            await ready(first)
            assert await say(first, "detach", "s-1") == 200
            p.names = ["s-2", "s-3"]  # the new one is never told of the first
            new, second = await p.start()
            await ready(second)
            peer = await connect(p.port)
            for mgmt, name in ((first, "s-2"), (second, "s-3")):
                assert await say(mgmt, "detach", name) == 200
                assert await say(mgmt, "detach", "s-9") == 404
            asking = asyncio.ensure_future(peer.ask(call(1, wait=60_000)))
            done, _ = await asyncio.wait([asking], timeout=0.5)
            assert not done and not p.server.commands
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0
            assert await say(second, "attach", "s-2") == 200
            asking.cancel()
            peer, number = await connect(p.port), 1
            while not p.server.commands:  # a cold server is open to few requests
                number += 1
                await peer.ask(call(number, wait=100))
            assert await say(second, "attach", "s-1") == 200

    run(test())


def heir(rig: Rig, **changes) -> tuple[Rig, list]:
    """A gateway that takes over from this one, and the estate as it comes through a socket."""
    (left,) = [action for action in rig.do(ExportState()) if isinstance(action, StateSnapshot)]
    made = rig_with(**changes)
    made.now = rig.now
    made.servers(entry(1), entry(2))
    made.do(RestoreState(json.loads(json.dumps(left.state))))
    return made, left.state


def test_buckets_and_caps_hold_over_both(rig):
    spent = [rig.ask("metered", patience=50.0) for _ in range(4)]
    held = [rig.ask("only-cap") for _ in range(1)]
    successor, _ = heir(rig)
    before = successor.gateway.customers["metered", "c"].excess
    assert before == rig.gateway.customers["metered", "c"].excess > 0.0
    refused = [successor.ask("metered", patience=50.0) for _ in range(2)]
    assert not any(name in successor.sent for name in refused)
    second = successor.ask("only-cap")
    assert second not in successor.sent  # its one place here is taken, in the other process
    news = [action.usage for action in rig.finish(held[0]) if isinstance(action, NotifyPeerProcess)]
    assert news == [PeerProcessUsage("only-cap", "c", 0)]
    successor.do(news[0])
    assert second in successor.sent
    assert spent[0] in rig.sent


def test_what_was_out_in_a_process_that_ended_is_out_no_more(rig):
    rig.ask("only-cap")
    successor, _ = heir(rig)
    name = successor.ask("only-cap")
    assert name not in successor.sent
    successor.do(PeerProcessExited())
    assert name in successor.sent
    assert not [a for a in successor.finish(name) if isinstance(a, NotifyPeerProcess)]


def test_bans_and_cold_servers_are_inherited(rig):
    rig.do(DetachServer(1))
    rig.do(DetachServer(2))
    rig.run(100.0)
    rig.do(AttachServer(2))
    rig.run(1000.0)
    successor, _ = heir(rig)
    assert not successor.gateway.endpoints.by_id[1].is_ready
    warmth = successor.gateway.slow_start.capacity_share(successor.gateway.endpoints.by_id[2])
    assert warmth == rig.gateway.slow_start.capacity_share(rig.gateway.endpoints.by_id[2]) < 1.0
    successor.servers(entry(1), entry(2))
    assert [server.id for server in successor.gateway.endpoints.ready] == [2]
    assert successor.gateway.slow_start.capacity_share(successor.gateway.endpoints.by_id[2]) == warmth
    successor.do(AttachServer(1))
    assert 1 in [server.id for server in successor.gateway.endpoints.ready]


@pytest.mark.parametrize(
    "harm",
    [
        lambda s: s.pop("customers"),
        lambda s: s.update(pool="x"),
        lambda s: s.update(pool=float("nan")),
        lambda s: s["customers"][0].pop(),
        lambda s: s["customers"][0].__setitem__(3, None),
        lambda s: s.update(servers=[[1, 2]]),
        lambda s: s.update(barred=[1]),
        lambda s: s.update(marks=[]),
        lambda s: s.update(customers=[[{}, 1]]),
        lambda s: s.update(latency={"safe": [[1]]}),
    ],
)
def test_malformed_estate_is_refused_whole(rig, harm):
    rig.ask("metered")
    _, state = heir(rig)
    successor = rig_with()
    successor.servers(entry(1), entry(2))
    state = json.loads(json.dumps(state))
    state["barred"] = [[1, 1000.0]]
    harm(state)
    with pytest.raises(ValueError):
        successor.do(RestoreState(state))
    assert not successor.gateway.customers and not successor.gateway.has_peer_process
    assert successor.gateway.endpoints.by_id[1].is_ready or "barred" not in state


def test_place_is_in_tmpdir_and_nowhere_without_it(monkeypatch, tmp_path):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    assert rendezvous_path(("127.0.0.1", 7)) == tmp_path / "handover-127.0.0.1-7"
    monkeypatch.delenv("TMPDIR")
    assert rendezvous_path(("127.0.0.1", 7)) is None


def test_path_that_is_too_long_for_a_socket_serves_all_the_same(tmp_path):
    async def test():
        async with platform(tmp_path) as p:
            p.tmp = p.tmp / ("x" * 120)
            p.tmp.mkdir()
            old, mgmt = await p.start()
            await ready(mgmt)
            peer = await Peer().open(p.port)
            _, mgmt = await p.start()
            await ready(mgmt)
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0
            assert await peer.ask(call(1)) == b"0000000000000001"

    run(test())


def test_where_unix_sockets_are_refused_a_start_goes_on_without(tmp_path, monkeypatch, caplog):
    real = socket.socket

    def refusing(family=socket.AF_INET, *rest, **more):
        if family == socket.AF_UNIX:
            raise OSError(errno.EAFNOSUPPORT, "refused")
        return real(family, *rest, **more)

    async def test():
        async with node() as gateway:
            open_before = len(os.listdir("/proc/self/fd"))
            with monkeypatch.context() as patch:
                patch.setattr(handover.socket, "socket", refusing)
                assert await request_handover(tmp_path / "handover") is None
                gateway.handover.path = tmp_path / "handover"
                gateway.handover.wait()
            assert gateway.handover.listener is None and not list(tmp_path.iterdir())
            assert len(os.listdir("/proc/self/fd")) == open_before

    run(test())
    assert not [record for record in caplog.records if record.levelname != "INFO"]
