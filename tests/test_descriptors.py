"""Descriptors: each is closed once, and all that are open together stay within the limit."""

import asyncio
import gc
import os
import socket

import pytest
from fakes import MOST_HELD, SETTINGS, run, until

from brackenloft import ListKind, ServerEntry, ServerList, Status
from brackenloft.net.servers import Attempt, Servers


def told(servers: Servers, listener: socket.socket) -> None:
    """The servers' list: one, at the address of a listener that never accepts."""
    servers.update(ServerList(ListKind.FULL, (ServerEntry(1, "a"),)), {1: listener.getsockname()})


@pytest.mark.parametrize("news", [True, False])
def test_descriptor_of_a_connection_that_ends_as_it_comes_up_is_closed_once(news):
    async def test():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            servers, ends = Servers(SETTINGS, 10, MOST_HELD), []
            told(servers, listener)
            servers.start(1, Attempt(b"x", lambda reply: ends.append(reply.status)))
            made = list(servers.connections)
            await until(lambda: made[0].socket is not None)
            number = made[0].socket.fileno()
            if news:
                servers._renew(made[0].host)
            else:
                made[0].close(Status.CANCELLED)
            await until(lambda: ends and made[0].task.done())
            with open(os.devnull) as other:
                assert other.fileno() == number  # as its descriptor is closed, the next file has the number
                made.clear()
                servers.close()
                await asyncio.sleep(0)
                gc.collect()
                os.fstat(other.fileno())

    run(test())
