"""The arrival times of commands that waited to be read, and the timeouts that servers get for them."""

import asyncio
import time

import pytest

from quota_gateway.net import acceptor
from quota_gateway.net.clients import arrival
from quota_gateway.net.clients.arrival import StallDetector, arrival_s, seconds_since_data
from quota_gateway.net.clients.command_intake import MAX_PIPELINED_COMMANDS
from tests.support.fake_upstream import FakeUpstream
from tests.support.gateway_node import run_gateway, wait_until
from tests.support.resp_encoding import encode_call, encode_reply

TIMEOUT_MS = 4000
WAIT_S = 1.5
TICK_S = 0.1


class SettableTime:
    """Replaces the module ``time``, with a monotonic clock that is ahead by ``offset_s``."""

    def __init__(self):
        self.offset_s = 0.0

    def monotonic(self):
        """Return the shifted monotonic time in seconds."""
        return time.monotonic() + self.offset_s


@pytest.fixture
def clock(monkeypatch):
    """Replace the clock that measures waits; the deadlines of requests use another clock."""
    settable = SettableTime()
    for module in (acceptor, arrival):
        monkeypatch.setattr(module, "time", settable)
    return settable


def forwarded_timeout_ms(command):
    """Return the timeout in milliseconds that a forwarded command contains."""
    fields = dict(part.split(b"=") for part in command[3].split(b","))
    return int(fields[b"d"])


@pytest.mark.parametrize(
    ("waited_s", "kernel_age_s", "age_s"),
    [
        pytest.param(0.01, 5.0, 0.0, id="negligible"),
        pytest.param(1.0, 0.25, 0.25, id="the kernel reports the age"),
        pytest.param(1.0, 3.0, 1.0, id="not before the earliest time"),
        pytest.param(1.0, None, 1.0, id="the kernel reports no age"),
    ],
)
def test_arrival_time_is_limited_to_the_possible_wait(monkeypatch, waited_s, kernel_age_s, age_s):
    monkeypatch.setattr(arrival, "seconds_since_data", lambda _: kernel_age_s)
    now_s = time.monotonic()
    assert arrival_s(None, now_s - waited_s) == pytest.approx(now_s - age_s, abs=0.02)


async def test_kernel_reports_when_data_arrived():
    async with run_gateway(FakeUpstream(lambda _: None)) as gateway:
        client = await gateway.connect_client()
        client.send(encode_call(1))
        await wait_until(lambda: gateway.driver.active_requests)
        (connection,) = gateway.client_listener.connections
        first_s = seconds_since_data(connection.socket)
        assert first_s < TICK_S * 100
        # Longer than a busy machine may take between the arrival of the data and the last check.
        await wait_until(lambda: seconds_since_data(connection.socket) > first_s + 3 * TICK_S)
        sent_s = time.monotonic()
        client.send(encode_call(2))
        await wait_until(lambda: len(gateway.driver.active_requests) == 2)
        age_s = seconds_since_data(connection.socket)
        assert age_s <= time.monotonic() - sent_s + TICK_S


async def test_stall_is_detected_while_it_lasts_and_until_the_loop_has_polled_for_input(clock):
    stall_detector = StallDetector(TICK_S)
    start_s = clock.monotonic()
    assert stall_detector.earliest_arrival_s() >= start_s
    clock.offset_s = WAIT_S
    # Input may be handled before the timer that calls ``tick``.
    assert start_s - 0.01 <= stall_detector.earliest_arrival_s() <= start_s + 0.01
    stall_detector.tick()
    # Input that is read after the tick may have arrived when the stall began.
    assert stall_detector.earliest_arrival_s() <= start_s + 0.01
    await wait_until(lambda: stall_detector.earliest_arrival_s() > start_s + WAIT_S)


async def test_command_that_waited_for_pending_ones_is_forwarded_with_its_remaining_timeout(clock):
    upstream = FakeUpstream(lambda _: None)
    async with run_gateway(upstream) as gateway:
        client = await gateway.connect_client()
        client.send(
            *(encode_call(number, timeout_ms=TIMEOUT_MS) for number in range(MAX_PIPELINED_COMMANDS + 1))
        )
        await wait_until(lambda: len(gateway.driver.active_requests) == MAX_PIPELINED_COMMANDS)
        (connection,) = gateway.client_listener.connections
        await wait_until(connection.intake.has_partial_command)
        clock.offset_s = WAIT_S
        for active in list(gateway.driver.active_requests.values()):
            if not active.is_answered:
                gateway.driver.client_disconnected(active.request_id)
        upstream.respond = lambda words: encode_reply(words[2])
        for reply in list(connection.pending_replies):
            reply.set_reply(b"-ERR failed\r\n")
        last = b"%016x" % MAX_PIPELINED_COMMANDS
        await upstream.wait_until(lambda: any(words[2] == last for words in upstream.commands))
        (command,) = [words for words in upstream.commands if words[2] == last]
        assert forwarded_timeout_ms(command) <= TIMEOUT_MS - 1000.0 * WAIT_S


async def test_command_on_a_connection_that_waited_to_be_accepted_has_its_remaining_timeout(
    clock, monkeypatch
):
    monkeypatch.setattr(arrival, "seconds_since_data", lambda _: WAIT_S)
    upstream = FakeUpstream()
    async with run_gateway(upstream) as gateway:
        gateway.client_listener.acceptor.pause()
        client = await gateway.connect_client()
        client.send(encode_call(1, timeout_ms=TIMEOUT_MS))
        await client.writer.drain()
        clock.offset_s = 2.0 * WAIT_S
        gateway.client_listener.acceptor.resume()
        assert await client.read_reply() == b"%016x" % 1
        assert forwarded_timeout_ms(upstream.commands[0]) <= TIMEOUT_MS - 1000.0 * WAIT_S
        clock.offset_s = 2.0 * WAIT_S + 1.0  # commands that arrive later have not waited
        await wait_until(
            lambda: gateway.client_listener.stall_detector.earliest_arrival_s() >= clock.monotonic() - 0.05
        )
        assert await client.request(encode_call(2, timeout_ms=TIMEOUT_MS)) == b"%016x" % 2
        assert forwarded_timeout_ms(upstream.commands[1]) > TIMEOUT_MS - 1000.0 * WAIT_S


async def test_no_attempt_starts_for_a_command_whose_timeout_is_over_when_it_is_read(clock, monkeypatch):
    monkeypatch.setattr(arrival, "seconds_since_data", lambda _: WAIT_S)
    upstream = FakeUpstream()
    async with run_gateway(upstream) as gateway:
        gateway.client_listener.acceptor.pause()
        client = await gateway.connect_client()
        client.send(encode_call(1, timeout_ms=1000))
        await client.writer.drain()
        clock.offset_s = 2.0 * WAIT_S
        gateway.client_listener.acceptor.resume()
        assert await asyncio.wait_for(client.read_reply(), 5.0) == "-BUSY"
        assert not upstream.commands


async def test_connection_that_arrives_long_after_a_pause_has_not_waited(clock, monkeypatch):
    monkeypatch.setattr(arrival, "seconds_since_data", lambda _: None)  # the kernel reports no age
    upstream = FakeUpstream()
    async with run_gateway(upstream) as gateway:
        gateway.client_listener.acceptor.pause()
        gateway.client_listener.acceptor.resume()
        await wait_until(lambda: gateway.client_listener.acceptor._waiting_since_s is None)
        clock.offset_s = WAIT_S
        await wait_until(
            lambda: gateway.client_listener.stall_detector.earliest_arrival_s() >= clock.monotonic() - 0.05
        )
        client = await gateway.connect_client()
        assert await client.request(encode_call(1, timeout_ms=TIMEOUT_MS)) == b"%016x" % 1
        assert forwarded_timeout_ms(upstream.commands[0]) > TIMEOUT_MS - 1000.0 * WAIT_S
