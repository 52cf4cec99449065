"""Many connections without a request, and slowly arriving commands among them."""

import asyncio

import pytest

from quota_gateway.net import command_intake, idle_connections
from tests.support.fakes import FakeServer, array, call, node, resp

MAX_CONNECTIONS = 8


async def connect_many(gateway, said: bytes) -> list:
    """Open three times as many connections as there may be; each sends these bytes and no more."""
    peers = []
    for _ in range(3 * MAX_CONNECTIONS):
        peers.append(await gateway.peer())
        peers[-1].send(said)
        await asyncio.sleep(0)
    return peers


@pytest.mark.parametrize("said", [b"", resp("PING"), call(1)[:50], resp("NONSENSE")])
async def test_connections_without_requests_do_not_keep_others_out(said, monkeypatch):
    monkeypatch.setattr(idle_connections, "COMMAND_TIMEOUT_S", 50.0)  # nobody's time is up
    monkeypatch.setattr(idle_connections, "IDLE_GRACE_S", 50.0)
    async with node(FakeServer(), max_connections=MAX_CONNECTIONS) as gateway:
        peers = await connect_many(gateway, said)
        for number in range(10, 14):
            peer = await gateway.peer()
            assert await peer.ask(call(number)) == b"%016x" % number
        assert gateway.client_listener.descriptors_in_use <= MAX_CONNECTIONS
        del peers


async def test_slowly_arriving_command_is_not_evicted_among_many_connections(monkeypatch):
    monkeypatch.setattr(idle_connections, "COMMAND_TIMEOUT_S", 50.0)
    monkeypatch.setattr(idle_connections, "IDLE_GRACE_S", 50.0)
    async with node(FakeServer(), max_connections=MAX_CONNECTIONS) as gateway:
        slow, command = await gateway.peer(), call(7)
        peers = []
        for at in range(0, len(command), 4):
            slow.send(command[at : at + 4])
            peers.append(await gateway.peer())
            peers[-1].send(call(1)[:50])
            await asyncio.sleep(idle_connections.STOPPED_GRACE_S / 8.0)
        assert await slow.reply() == b"0000000000000007"
        assert len(peers) > 2 * MAX_CONNECTIONS


async def test_body_may_exceed_the_command_timeout_while_it_keeps_arriving(monkeypatch):
    monkeypatch.setattr(idle_connections, "COMMAND_TIMEOUT_S", 0.3)
    monkeypatch.setattr(command_intake, "BODY_GAP_TIMEOUT_S", 2.0)
    server = FakeServer(lambda words: array(words[4]))
    async with node(server) as gateway:
        peer, body = await gateway.peer(), b"x" * 3000
        command = call(1, "post", body=body)
        for at in range(0, len(command), 200):
            peer.send(command[at : at + 200])
            await asyncio.sleep(0.05)
        assert await peer.reply() == body
        stopped = await gateway.peer()
        stopped.send(command[:1000])
        assert await stopped.reply() == "-ERR timeout"
        assert await stopped.reply() is None
