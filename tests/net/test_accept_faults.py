"""Connections in the accept queue while accepting fails, and at the end of the process."""

import errno
import socket

import pytest

from quota_gateway.net.handover.handover import request_handover
from tests.support.fake_upstream import FakeUpstream
from tests.support.gateway_node import run_gateway, wait_until
from tests.support.resp_encoding import encode_call

WAITING_CLIENTS = 5


class FaultyListener(socket.socket):
    """A listening socket whose first calls of ``accept`` raise the given errors."""

    def __init__(self, listener, *errors):
        super().__init__(fileno=listener.detach())
        self._errors = list(errors)

    def accept(self):
        """Raise the next error, or accept a connection if no error is left."""
        if self._errors:
            raise OSError(self._errors.pop(0), "injected fault")
        return super().accept()


async def connect_waiting_clients(gateway):
    """Connect clients that send a request while the gateway accepts no connection."""
    gateway.client_listener.acceptor.pause()
    clients = [await gateway.connect_client() for _ in range(WAITING_CLIENTS)]
    for number, client in enumerate(clients):
        client.send(encode_call(number))
        await client.writer.drain()
    return clients


@pytest.mark.parametrize(
    ("errors", "max_connections"),
    [
        pytest.param((errno.ECONNABORTED,), 100, id="a connection that was reset"),
        pytest.param((errno.ENFILE, errno.ENOBUFS, errno.ENOMEM), 100, id="no memory for a moment"),
        pytest.param((errno.ENOBUFS, errno.ENFILE) * 20, 100, id="no memory for longer"),
        pytest.param((), 2, id="less capacity than connections"),
    ],
)
async def test_connections_in_the_accept_queue_at_shutdown_are_answered(errors, max_connections):
    async with run_gateway(FakeUpstream(), max_connections=max_connections) as gateway:
        clients = await connect_waiting_clients(gateway)
        listener = gateway.client_listener
        listener.acceptor.socket = FaultyListener(listener.listening_socket, *errors)
        listener.stop_listening()
        for number, client in enumerate(clients):
            assert await client.read_reply() == b"%016x" % number
        await wait_until(lambda: listener.listening_socket is None)


async def test_accept_queue_is_kept_through_a_shutdown_while_another_process_takes_over(tmp_path):
    async with run_gateway(FakeUpstream()) as gateway:
        gateway.handover.sender.path = tmp_path / "rendezvous"
        gateway.handover.listen()
        handover_state = await request_handover(gateway.handover.path)
        waiting = await gateway.connect_client()
        waiting.send(encode_call(1))
        # SIGTERM makes a gateway stop listening. The other process does not serve yet.
        gateway.client_listener.stop_listening()
        assert gateway.client_listener.is_busy()
        handover_state.listener.close()
        handover_state.channel.close("the other process dies")
        assert await waiting.read_reply() == b"%016x" % 1
        await wait_until(lambda: gateway.client_listener.listening_socket is None)
        gateway.handover.close()
