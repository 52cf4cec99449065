"""The states that an upstream connection goes through."""

from quota_gateway import AttemptStatus
from quota_gateway.net.upstream.connection_state import ConnectionState
from tests.net.upstream.test_upstream_pool import AttemptRecorder
from tests.support.fake_upstream import FakeUpstream
from tests.support.gateway_node import run_gateway, wait_until
from tests.support.resp_encoding import encode_reply


async def test_connection_connects_carries_an_attempt_is_idle_and_closes():
    server = FakeUpstream(lambda _: None)
    async with run_gateway(server) as gateway:
        recorder = AttemptRecorder()
        gateway.upstream_pool.start(1, recorder.attempt())
        (connection,) = gateway.upstream_pool.connections
        assert connection.state is ConnectionState.CONNECTING
        await server.wait_until(lambda: server.commands)
        assert connection.state is ConnectionState.IN_FLIGHT
        server.writers[0].write(encode_reply(b"v"))
        assert await recorder.status() is AttemptStatus.OK
        assert connection.state is ConnectionState.IDLE
        gateway.upstream_pool.close_all_idle()
        assert connection.state is ConnectionState.CLOSED
        await wait_until(lambda: gateway.upstream_pool.descriptors_in_use == 0)


async def test_connection_closed_while_it_connects_stays_closed():
    server = FakeUpstream(lambda _: None)
    async with run_gateway(server) as gateway:
        recorder = AttemptRecorder()
        attempt = recorder.attempt()
        gateway.upstream_pool.start(1, attempt)
        (connection,) = gateway.upstream_pool.connections
        gateway.upstream_pool.stop(attempt, AttemptStatus.CANCELLED)
        assert await recorder.status() is AttemptStatus.CONNECT_FAILED
        await wait_until(connection.task.done)
        assert connection.state is ConnectionState.CLOSED
        assert not server.commands
