"""Many connections without a request, and slowly arriving commands among them."""

import asyncio

import pytest

from quota_gateway.net import command_intake, idle_connections
from tests.support.fake_upstream import FakeUpstream
from tests.support.gateway_node import run_gateway
from tests.support.resp_encoding import encode_call, encode_command, encode_reply

MAX_CONNECTIONS = 8


async def connect_many(gateway, said: bytes) -> list:
    """Open three times as many connections as there may be; each sends these bytes and no more."""
    peers = []
    for _ in range(3 * MAX_CONNECTIONS):
        peers.append(await gateway.connect_client())
        peers[-1].send(said)
        await asyncio.sleep(0)
    return peers


@pytest.mark.parametrize(
    "said", [b"", encode_command("PING"), encode_call(1)[:50], encode_command("NONSENSE")]
)
async def test_connections_without_requests_do_not_keep_others_out(said, monkeypatch):
    monkeypatch.setattr(idle_connections, "COMMAND_TIMEOUT_S", 50.0)  # nobody's time is up
    monkeypatch.setattr(idle_connections, "IDLE_GRACE_S", 50.0)
    async with run_gateway(FakeUpstream(), max_connections=MAX_CONNECTIONS) as gateway:
        peers = await connect_many(gateway, said)
        for number in range(10, 14):
            peer = await gateway.connect_client()
            assert await peer.request(encode_call(number)) == b"%016x" % number
        assert gateway.client_listener.descriptors_in_use <= MAX_CONNECTIONS
        del peers


async def test_slowly_arriving_command_is_not_evicted_among_many_connections(monkeypatch):
    monkeypatch.setattr(idle_connections, "COMMAND_TIMEOUT_S", 50.0)
    monkeypatch.setattr(idle_connections, "IDLE_GRACE_S", 50.0)
    async with run_gateway(FakeUpstream(), max_connections=MAX_CONNECTIONS) as gateway:
        slow, command = await gateway.connect_client(), encode_call(7)
        peers = []
        for at in range(0, len(command), 4):
            slow.send(command[at : at + 4])
            peers.append(await gateway.connect_client())
            peers[-1].send(encode_call(1)[:50])
            await asyncio.sleep(idle_connections.STOPPED_GRACE_S / 8.0)
        assert await slow.read_reply() == b"0000000000000007"
        assert len(peers) > 2 * MAX_CONNECTIONS


async def test_body_may_exceed_the_command_timeout_while_it_keeps_arriving(monkeypatch):
    monkeypatch.setattr(idle_connections, "COMMAND_TIMEOUT_S", 0.3)
    monkeypatch.setattr(command_intake, "BODY_GAP_TIMEOUT_S", 2.0)
    server = FakeUpstream(lambda words: encode_reply(words[4]))
    async with run_gateway(server) as gateway:
        peer, body = await gateway.connect_client(), b"x" * 3000
        command = encode_call(1, "post", body=body)
        for at in range(0, len(command), 200):
            peer.send(command[at : at + 200])
            await asyncio.sleep(0.05)
        assert await peer.read_reply() == body
        stopped = await gateway.connect_client()
        stopped.send(command[:1000])
        assert await stopped.read_reply() == "-ERR timeout"
        assert await stopped.read_reply() is None
