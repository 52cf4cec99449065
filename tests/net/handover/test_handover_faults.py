"""Handovers when descriptors run out, during a shutdown, and with a partial command."""

import asyncio
import errno
import os
import socket

from quota_gateway.net.clients import command_intake, idle_connections
from quota_gateway.net.clients import connection as client_connection
from quota_gateway.net.graceful_shutdown import shut_down_gracefully
from quota_gateway.net.handover import rendezvous
from quota_gateway.net.handover import sender as handover_sender
from quota_gateway.net.handover.handover import request_handover
from quota_gateway.net.handover.states import SenderState
from tests.support.gateway_node import SETTINGS, run_gateway, wait_until
from tests.support.resp_encoding import encode_call, encode_command


class FailingDup:
    """Stands in for the module ``os``; its ``dup`` fails a given number of times."""

    def __init__(self, failures):
        self.failures = failures

    def __getattr__(self, name):
        return getattr(os, name)

    def dup(self, descriptor):
        """Duplicate a descriptor, or fail as if no descriptors were left."""
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, "injected fault")
        return os.dup(descriptor)


async def test_process_that_can_not_duplicate_its_listening_socket_serves_on(tmp_path, monkeypatch):
    async with run_gateway() as old:
        old.handover.sender.path = tmp_path / "rendezvous"
        old.handover.listen()
        monkeypatch.setattr(handover_sender, "os", FailingDup(1_000_000))
        assert await request_handover(old.handover.path) is None
        assert not old.client_listener.is_suspended
        assert old.handover.sender.state is SenderState.LISTENING
        assert await (await old.connect_client()).request(encode_command("PING")) == b"PONG"
        # The first request fails, its retry succeeds.
        monkeypatch.setattr(handover_sender, "os", FailingDup(1))
        handover_state = await request_handover(old.handover.path)
        assert handover_state is not None
        handover_state.listener.close()
        handover_state.channel.close("the test is over")
        await wait_until(lambda: old.handover.sender.state is SenderState.LISTENING)


async def test_connection_is_handed_over_once_descriptors_are_available(tmp_path, monkeypatch):
    async with run_gateway() as old, run_gateway() as new:
        old.handover.sender.path = new.handover.sender.path = tmp_path / "rendezvous"
        old.handover.listen()
        clients = [await old.connect_client() for _ in range(3)]
        for client in clients:
            assert await client.request(encode_command("PING")) == b"PONG"
        handover_state = await request_handover(new.handover.path)
        monkeypatch.setattr(client_connection, "os", FailingDup(2))
        new.handover.take_over(handover_state, 0)
        await wait_until(lambda: len(new.client_listener.connections) == 3)
        assert not old.client_listener.connections
        for client in clients:
            assert await client.request(encode_command("PING")) == b"PONG"
        old.handover.close()
        await wait_until(lambda: new.peers.previous is None)
        handover_state.listener.close()


async def test_process_that_has_stopped_listening_is_not_asked_again(tmp_path):
    async with run_gateway() as old:
        old.handover.sender.path = tmp_path / "rendezvous"
        old.handover.listen()
        shutdown = asyncio.create_task(
            shut_down_gracefully(SETTINGS, old.driver, old.client_listener, old.handover)
        )
        client = await old.connect_client()  # the client's partial command delays the shutdown
        client.send(b"*1\r\n")
        await wait_until(lambda: old.client_listener.listening_socket is None)
        assert old.handover.sender.listener is None
        assert rendezvous.connect(old.handover.path) is None  # a refused connection is not retried
        assert await request_handover(old.handover.path) is None
        client.close()
        await shutdown


async def test_partial_body_times_out_in_its_time_after_a_handover(monkeypatch):
    monkeypatch.setattr(idle_connections, "COMMAND_READ_TIMEOUT_S", 0.3)
    # The body counts as still arriving throughout the test.
    monkeypatch.setattr(command_intake, "BODY_GAP_TIMEOUT_S", 3600.0)
    async with run_gateway() as gateway:
        client = await gateway.connect_client()
        client.send(encode_call(1, "post", body=b"x" * 1000)[:-500])
        listener = gateway.client_listener
        # The command is overdue, but its body is still arriving.
        await wait_until(lambda: listener.idle_connections.awaiting_body)
        (connection,) = listener.connections
        connection.intake.last_received_s -= 1000.0  # simulates 1000 s without a received byte
        descriptor, resumed = connection.release()
        assert resumed.command_due_for_s >= 0.3
        assert resumed.silent_s >= 1000.0
        monkeypatch.setattr(command_intake, "BODY_GAP_TIMEOUT_S", 900.0)
        await wait_until(lambda: not listener.connections)
        listener.serve(socket.socket(fileno=descriptor), resumed)
        assert await client.read_reply() == "-ERR timeout"
