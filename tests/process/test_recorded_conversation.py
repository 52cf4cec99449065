"""Handover from a recorded process of commit 4abec57 to the current code.

The conversation of ``data/handover_4abec57.json`` has each message as the next process received it: the offer
with the state of a gateway that served requests, the descriptors in use, connections (the first with a
half-read command), an admin call, the reply to another one, and usage. The tests replay the previous process
on sockets of their own.
"""

import asyncio
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from quota_gateway.net.handover.handover import HandoverState, request_handover
from quota_gateway.net.handover.process_channel import ChannelMessage, ProcessChannel
from quota_gateway.net.handover.states import ReceiverState
from tests.support.fake_client import FakeClient
from tests.support.fake_upstream import FakeUpstream
from tests.support.gateway_node import GatewayNode, run_gateway, wait_until
from tests.support.resp_encoding import encode_call, encode_command

RECORD = json.loads((Path(__file__).parent / "data" / "handover_4abec57.json").read_text())
CONVERSATION = RECORD["conversation"]
OFFER, *AFTER_OFFER = CONVERSATION["messages"]
OFFER_BODY = json.loads(OFFER["body"])
HALF_READ_COMMAND = CONVERSATION["half_read_command"].encode()


class PreviousProcess:
    """Replays the messages of the recorded process to a process that takes over."""

    def __init__(self, path: Path) -> None:
        self.listening_socket = socket.create_server(("127.0.0.1", 0))
        self.port = self.listening_socket.getsockname()[1]
        self.rendezvous = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.rendezvous.setblocking(False)
        self.rendezvous.bind(str(path))
        self.rendezvous.listen(1)
        self.received: list[dict] = []
        self.clients: list[FakeClient] = []

    async def offer_state(self) -> None:
        """Accept a channel, wait for its hello, and send the recorded offer."""
        sock, _ = await asyncio.get_running_loop().sock_accept(self.rendezvous)
        self.channel = ProcessChannel(sock)
        self.channel.set_receiver(lambda message: self.received.append(message.header))
        await wait_until(lambda: self.received)
        self._send(OFFER, self.listening_socket.dup().detach())

    async def send_all(self) -> None:
        """Send the messages recorded after the offer; each connection in them gets a client of the test."""
        for message in AFTER_OFFER:
            descriptor = await self._connect_client() if message["descriptors"] else None
            self._send(message, descriptor)

    async def _connect_client(self) -> int:
        self.clients.append(await FakeClient().open(self.port))
        sock, _ = self.listening_socket.accept()
        sock.setblocking(False)
        return sock.detach()

    def _send(self, message: dict, descriptor: int | None) -> None:
        body = message["body"].encode("latin-1")
        self.channel.send(ChannelMessage(message["header"], body, descriptor))

    def close(self) -> None:
        """Close the channel and the sockets, as the recorded process did when it ended."""
        self.channel.close("end of the process")
        self.rendezvous.close()
        self.listening_socket.close()


@asynccontextmanager
async def taken_over(path: Path) -> AsyncIterator[tuple[GatewayNode, PreviousProcess, HandoverState]]:
    """Run a gateway that has taken over from the recorded process."""
    previous = PreviousProcess(path)
    # One server stays attached: the handover detaches s-1 and s-2.
    async with run_gateway(*(FakeUpstream() for _ in range(3))) as gateway:
        _, state = await asyncio.gather(previous.offer_state(), request_handover(path))
        assert state is not None
        gateway.handover.sender.registry.restore_state(state.registry)
        assert gateway.driver.restore_state(state.state)
        gateway.handover.take_over(state, 0)
        await previous.send_all()
        await wait_until(lambda: len(gateway.client_listener.connections) == len(previous.clients))
        yield gateway, previous, state
        state.listener.close()
        previous.close()
        await wait_until(lambda: gateway.handover.receiver.state is ReceiverState.PREVIOUS_ENDED)


def test_record_holds_each_kind_of_message_a_half_read_command_and_a_detachment():
    kinds = [message["header"]["kind"] for message in AFTER_OFFER]
    assert OFFER["header"] == {"kind": "estate", "version": 1}
    assert set(kinds) == {"holds", "connection", "ban", "banned", "out"}
    assert kinds.count("connection") == 3
    assert [number for number, _ in OFFER_BODY["state"]["barred"]] == [2]
    assert max(customer[3] for customer in OFFER_BODY["state"]["customers"]) > 0.0
    assert any(customer[2] for customer in OFFER_BODY["state"]["customers"])
    assert OFFER_BODY["state"]["latency"]["read"]
    half_read = next(m["body"] for m in AFTER_OFFER if m["header"]["kind"] == "connection").encode()
    assert 0 < len(half_read) < len(HALF_READ_COMMAND)
    assert HALF_READ_COMMAND.startswith(half_read)


async def test_connections_of_the_recorded_process_continue_with_the_half_read_command(tmp_path):
    async with taken_over(tmp_path / "rendezvous") as (gateway, previous, state):
        assert [message["kind"] for message in previous.received[:2]] == ["hello", "serving"]
        assert state.clock_offset_ms == OFFER_BODY["clock"]
        half, idle, busy = previous.clients
        half_read = AFTER_OFFER[1]["body"].encode()
        half.send(HALF_READ_COMMAND[len(half_read) :])
        assert await half.read_reply() == b"0000000000000001"
        assert await idle.request(encode_call(2)) == b"0000000000000002"
        assert await busy.request(encode_command("PING")) == b"PONG"
        assert gateway.client_listener.peer_connections == 3
        assert gateway.upstream_pool.limiter.peer_connections == AFTER_OFFER[0]["header"]["servers"]


async def test_latencies_and_detachments_of_the_recorded_process_are_restored(tmp_path):
    async with taken_over(tmp_path / "rendezvous") as (gateway, previous, _):
        registry = gateway.handover.sender.registry
        exported = json.loads(json.dumps(gateway.driver.export_state()))
        assert exported["latency"] == OFFER_BODY["state"]["latency"]
        # An admin call detached s-1 in the recorded process after it had sent its state.
        assert [number for number, _ in exported["barred"]] == [2, 1]
        assert registry.detached == {"s-1", "s-2"}
        await wait_until(lambda: any(message["kind"] == "banned" for message in previous.received))
        (reply,) = [message for message in previous.received if message["kind"] == "banned"]
        assert reply == {"kind": "banned", "number": 1, "known": True}
