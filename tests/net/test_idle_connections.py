"""Crowds of connections that ask nothing, and those that ask slowly among them."""

import asyncio

import pytest

from quota_gateway.net import command_intake, idle_connections
from tests.support.fakes import FakeServer, array, call, node, resp

PLACES = 8


async def crowd(gateway, said: bytes) -> list:
    """Three times as many connections as there are places, each of which has said this and no more."""
    peers = []
    for _ in range(3 * PLACES):
        peers.append(await gateway.peer())
        peers[-1].send(said)
        await asyncio.sleep(0)
    return peers


@pytest.mark.parametrize("said", [b"", resp("PING"), call(1)[:50], resp("NONSENSE")])
async def test_crowd_that_asks_nothing_keeps_nobody_out(said, monkeypatch):
    monkeypatch.setattr(idle_connections, "COMMAND_TIMEOUT_S", 50.0)  # nobody's time is up
    monkeypatch.setattr(idle_connections, "IDLE_GRACE_S", 50.0)
    async with node(FakeServer(), max_connections=PLACES) as gateway:
        peers = await crowd(gateway, said)
        for number in range(10, 14):
            peer = await gateway.peer()
            assert await peer.ask(call(number)) == b"%016x" % number
        assert gateway.client_listener.descriptors_in_use <= PLACES
        del peers


async def test_command_that_comes_slowly_is_let_be_among_a_crowd(monkeypatch):
    monkeypatch.setattr(idle_connections, "COMMAND_TIMEOUT_S", 50.0)
    monkeypatch.setattr(idle_connections, "IDLE_GRACE_S", 50.0)
    async with node(FakeServer(), max_connections=PLACES) as gateway:
        slow, command = await gateway.peer(), call(7)
        peers = []
        for at in range(0, len(command), 4):
            slow.send(command[at : at + 4])
            peers.append(await gateway.peer())
            peers[-1].send(call(1)[:50])
            await asyncio.sleep(idle_connections.STOPPED_GRACE_S / 8.0)
        assert await slow.reply() == b"0000000000000007"
        assert len(peers) > 2 * PLACES


async def test_body_may_take_longer_than_a_head_as_long_as_it_comes(monkeypatch):
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
        assert await stopped.reply() == "-ERR timeout" and await stopped.reply() is None
