"""Eviction and timeouts of connections that send no request or whose command arrives slowly."""

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest

from quota_gateway.net.clients import command_intake, idle_connections
from quota_gateway.net.clients.idle_connections import IdleConnections
from tests.support.fake_upstream import FakeUpstream
from tests.support.gateway_node import run_gateway
from tests.support.resp_encoding import encode_call, encode_command, encode_reply

MAX_CONNECTIONS = 8


async def connect_many(gateway, sent: bytes) -> list:
    """Open three times as many connections as allowed; each sends the given bytes and no more."""
    clients = []
    for _ in range(3 * MAX_CONNECTIONS):
        clients.append(await gateway.connect_client())
        clients[-1].send(sent)
        await asyncio.sleep(0)
    return clients


@pytest.mark.parametrize(
    "sent", [b"", encode_command("PING"), encode_call(1)[:50], encode_command("NONSENSE")]
)
async def test_connections_without_requests_do_not_block_new_ones(sent, monkeypatch):
    monkeypatch.setattr(idle_connections, "COMMAND_READ_TIMEOUT_S", 50.0)  # so long that no command times out
    monkeypatch.setattr(idle_connections, "IDLE_GRACE_S", 50.0)
    async with run_gateway(FakeUpstream(), max_connections=MAX_CONNECTIONS) as gateway:
        clients = await connect_many(gateway, sent)
        for number in range(10, 14):
            client = await gateway.connect_client()
            assert await client.request(encode_call(number)) == b"%016x" % number
        assert gateway.client_listener.descriptors_in_use <= MAX_CONNECTIONS
        del clients


async def test_slowly_arriving_command_is_not_evicted_among_many_connections(monkeypatch):
    monkeypatch.setattr(idle_connections, "COMMAND_READ_TIMEOUT_S", 50.0)
    monkeypatch.setattr(idle_connections, "IDLE_GRACE_S", 50.0)
    async with run_gateway(FakeUpstream(), max_connections=MAX_CONNECTIONS) as gateway:
        slow, command = await gateway.connect_client(), encode_call(7)
        clients = []
        for start in range(0, len(command), 4):
            slow.send(command[start : start + 4])
            clients.append(await gateway.connect_client())
            clients[-1].send(encode_call(1)[:50])
            await asyncio.sleep(idle_connections.PARTIAL_COMMAND_GRACE_S / 8.0)
        assert await slow.read_reply() == b"0000000000000007"
        assert len(clients) > 2 * MAX_CONNECTIONS


async def test_body_may_exceed_the_command_timeout_while_it_keeps_arriving(monkeypatch):
    monkeypatch.setattr(idle_connections, "COMMAND_READ_TIMEOUT_S", 0.3)
    monkeypatch.setattr(command_intake, "BODY_GAP_TIMEOUT_S", 2.0)
    server = FakeUpstream(lambda words: encode_reply(words[4]))
    async with run_gateway(server) as gateway:
        client, body = await gateway.connect_client(), b"x" * 3000
        command = encode_call(1, "post", body=body)
        for start in range(0, len(command), 200):
            client.send(command[start : start + 200])
            await asyncio.sleep(0.05)
        assert await client.read_reply() == body
        stopped = await gateway.connect_client()
        stopped.send(command[:1000])
        assert await stopped.read_reply() == "-ERR timeout"
        assert await stopped.read_reply() is None


@dataclass(eq=False)
class FakeConnection:
    """A tracked connection without a socket, which is also its own command intake."""

    name: str
    request_count: int = 0
    has_sent_command: bool = True
    last_received_s: float = 0.0
    is_closing: bool = False
    partial_command: bool = False
    has_unread_command: bool = False
    pending_replies: tuple[str, ...] = ()
    closed: list[str] = field(default_factory=list)

    @property
    def intake(self) -> "FakeConnection":
        """The connection itself, which stands for its intake."""
        return self

    def has_partial_command(self) -> bool:
        """Whether a part of a command has been received."""
        return self.partial_command

    def evict(self) -> bool:
        """Record that the connection was closed, unless a command is unread; return whether it was."""
        if self.has_unread_command:
            return False
        self.closed.append(self.name)
        return True


def track(tracked: IdleConnections, *connections: FakeConnection) -> list[str]:
    """Track connections; return the list to which each evicted connection adds its name."""
    closed: list[str] = []
    for connection in connections:
        connection.closed = closed
        tracked.add(connection, 0.0)
        if connection.has_sent_command:
            tracked.update(connection, within_command=False, took_command=True)
    return closed


async def test_eviction_closes_silent_connections_then_idle_ones_by_request_count(monkeypatch):
    monkeypatch.setattr(idle_connections, "IDLE_GRACE_S", -1.0)
    now_s = asyncio.get_running_loop().time()
    tracked = IdleConnections()
    closed = track(
        tracked,
        FakeConnection("usual", request_count=2),
        FakeConnection("once", request_count=1),
        FakeConnection("once with a command", request_count=1, has_unread_command=True),
        FakeConnection("busy", request_count=1, pending_replies=("reply",)),
        FakeConnection("fresh", has_sent_command=False, last_received_s=now_s),
        FakeConnection("stopped", has_sent_command=False, last_received_s=now_s - 1.0, partial_command=True),
        FakeConnection("arriving", has_sent_command=False, last_received_s=now_s - 0.5, partial_command=True),
        FakeConnection("silent", has_sent_command=False, last_received_s=now_s - 2.0),
        FakeConnection("closing", has_sent_command=False, last_received_s=now_s, is_closing=True),
    )
    tracked.evict()
    assert closed == ["silent", "stopped", "closing", "once", "usual"]


async def test_one_call_evicts_no_more_connections_than_the_limit(monkeypatch):
    monkeypatch.setattr(idle_connections, "IDLE_GRACE_S", -1.0)
    monkeypatch.setattr(idle_connections, "MAX_EVICTIONS_PER_CALL", 3)
    tracked = IdleConnections()
    closed = track(
        tracked,
        *(FakeConnection(f"usual {number}", request_count=2) for number in range(2)),
        *(FakeConnection(f"once {number}", request_count=1) for number in range(2)),
    )
    tracked.evict()
    assert closed == ["once 0", "once 1", "usual 0"]
    tracked.evict()
    assert closed == ["once 0", "once 1", "usual 0", "usual 1"]


async def test_connections_that_waited_in_another_process_time_out_after_their_total_wait(monkeypatch):
    clock_s, timed_out = [100.0], []
    monkeypatch.setattr(idle_connections, "COMMAND_READ_TIMEOUT_S", 1.0)
    monkeypatch.setattr(FakeConnection, "time_out", lambda self: timed_out.append(self.name), raising=False)
    tracked = IdleConnections()
    tracked._loop = SimpleNamespace(time=lambda: clock_s[0])
    for name, waited_s in (("long", 0.9), ("short", 0.1), ("new", 0.0)):
        tracked.add(FakeConnection(name, is_closing=True), waited_s)
    clock_s[0] += 0.5
    tracked.time_out_late_commands()
    assert timed_out == ["long"]
    clock_s[0] += 0.45
    tracked.time_out_late_commands()
    assert timed_out == ["long", "short"]
