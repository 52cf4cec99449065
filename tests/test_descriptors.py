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


def open_now() -> int:
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("turns", range(1, 8))
def test_connections_reopened_in_one_turn_never_hold_more_descriptors_than_their_share(turns):
    async def test():
        with socket.create_server(("127.0.0.1", 0), backlog=1024) as listener:
            servers, ends, most, share = Servers(SETTINGS, 40, MOST_HELD), [], 0, 40
            told(servers, listener)
            servers.start(1, Attempt(b"x", lambda reply: None))
            (first,) = servers.connections
            await until(lambda: first.transport is not None)  # what the loop opens once is open
            first.close(Status.CANCELLED)
            await until(lambda: servers.places == 0)
            before = open_now()
            for _ in range(4):
                for _ in range(share):
                    servers.start(1, Attempt(b"x", lambda reply: ends.append(reply.status)))
                for _ in range(turns):
                    await asyncio.sleep(0)
                    most = max(most, open_now() - before)
                for connection in list(servers.connections):
                    connection.close(Status.CANCELLED)
            for _ in range(share):
                servers.start(1, Attempt(b"x", lambda reply: ends.append(reply.status)))
            while any(connection.transport is None for connection in servers.connections):
                await asyncio.sleep(0)
                most = max(most, open_now() - before)
            assert most == servers.places == len(servers.connections) == share
            assert ends == [Status.CANCELLED] * 4 * share  # none could not connect for it
            servers.close()
            await until(lambda: servers.places == 0)
            assert open_now() == before

    run(test())


def test_connection_that_waits_for_a_place_can_be_given_up():
    async def test():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            servers, ends = Servers(SETTINGS, 1, MOST_HELD), []
            told(servers, listener)
            servers.start(1, Attempt(b"x", lambda reply: None))
            (first,) = servers.connections
            await until(lambda: first.transport is not None)
            first.close(Status.CANCELLED)
            waiting = Attempt(b"x", lambda reply: ends.append(reply.status))
            servers.start(1, waiting)
            servers.stop(waiting, Status.TIMEOUT)
            assert ends == [Status.CONNECT_FAILED]  # it never ran
            assert not servers.waiting and not servers.connections
            await until(lambda: servers.places == 0)
            servers.close()

    run(test())
