"""Creates, connects, starts and closes the parts of a gateway process.

The order of the steps matters: docs/decisions/start-and-shutdown.md.
"""

from __future__ import annotations

import asyncio
import logging
import signal
from pathlib import Path

from quota_gateway import model
from quota_gateway.config import Config, read_discovery_address
from quota_gateway.errors import ConfigError
from quota_gateway.net.address import Address
from quota_gateway.net.admin.detachments import Detachments
from quota_gateway.net.admin.server import AdminServer
from quota_gateway.net.buffer_budget import BufferBudget
from quota_gateway.net.clients.listener import ClientListener
from quota_gateway.net.discovery.client import DiscoveryClient
from quota_gateway.net.discovery.endpoint_registry import EndpointRegistry
from quota_gateway.net.discovery.start_times import StartTimes
from quota_gateway.net.driver import Clock, Driver
from quota_gateway.net.graceful_shutdown import shut_down_gracefully
from quota_gateway.net.handover.handover import Handover, HandoverState, rendezvous_path, request_handover
from quota_gateway.net.handover.peer_processes import PeerProcesses
from quota_gateway.net.handover.receiver import OFFER_TIMEOUT_S
from quota_gateway.net.transient_errors import BIND_ERRORS
from quota_gateway.net.upstream.pool import UpstreamPool
from quota_gateway.policy.engine import PolicyEngine
from quota_gateway.resources import divide_resources
from quota_gateway.telemetry import Metric, Telemetry

log = logging.getLogger("quota_gateway")

HANDLED_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})

LISTEN_TIMEOUT_S = 5.0  # wait for an address in use; a new version has to be ready within 6 s
LISTEN_RETRY_S = 0.05
# Wait for a readable configuration. The new discovery address has to be known 4 s after SIGHUP, when its
# updates count as notified.
RELOAD_TIMEOUT_S = 3.0
RELOAD_RETRY_S = 0.1
# Wait for discovery before the gateway serves with the known endpoint list, which may be out of date.
FIRST_UPDATE_TIMEOUT_S = 1.0


class GatewayServer:
    """The only gateway of its process. Creates all parts on the running event loop, and closes them."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self._stop_requested = asyncio.Event()
        self.telemetry = Telemetry()
        self._make_upstream_side()
        self._make_client_side()

    def _make_upstream_side(self) -> None:
        """Create the policy engine, the driver, the upstream pool and the discovery client."""
        settings = self.config.settings
        self.limits = divide_resources(
            self.config.max_descriptors,
            self.config.inherited_descriptors,
            self.config.memory_bytes,
            self.config.admin is not None,
        )
        self.engine = PolicyEngine(settings, self.config.seed)
        self.budget = BufferBudget(self.limits.max_buffered_bytes)
        self.upstream = UpstreamPool(
            settings,
            self.limits.max_upstream_connections,
            self.budget,
            self.telemetry,
        )
        self.peers = PeerProcesses()
        self.clock = Clock()
        self.driver = Driver(self.engine, self.upstream, self.clock, self.peers.notify_usage)
        self.registry = EndpointRegistry(self.engine.subset, StartTimes(self.clock))
        self.discovery = DiscoveryClient(
            self.registry,
            self._on_endpoint_update,
            self._on_discovery_unavailable,
            self.config.seed,
            self.telemetry.metrics,
        )
        self._reloader = ConfigurationReloader(self.config.path, self.discovery)

    def _make_client_side(self) -> None:
        """Create the parts that clients, operators and peer processes connect to."""
        self.clients = ClientListener(
            self.driver,
            self.config.settings,
            self.limits.max_client_connections,
            self.budget,
        )
        self.detachments = Detachments(self.registry, self.driver, self.peers)
        self.handover = Handover(
            rendezvous_path(self.config.listen),
            self.driver,
            self.clients,
            self.upstream,
            self.registry,
            self.detachments,
            self.peers,
        )
        self.admin = AdminServer(self._is_ready, self.detachments.set_detached, self.telemetry.metrics)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then answer the accepted requests and return."""
        self._install_signal_handlers()
        try:
            await self._start()
            await self._stop_requested.wait()
            await shut_down_gracefully(self.config.settings, self.driver, self.clients, self.handover)
            log.info(
                "shutdown complete answers=%d violations=%d",
                self.telemetry.metrics.total(Metric.ANSWERS),
                self.telemetry.metrics.total(Metric.INVARIANT_VIOLATIONS),
            )
        finally:
            self._close()

    def _install_signal_handlers(self) -> None:
        """Install the signal handlers, then unblock the signals that ``main`` has blocked."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reloader.request)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)

    async def _start(self) -> None:
        state = await request_handover(self.handover.path)
        if state and state.clock_offset_ms is not None:
            self.clock.adopt(state.clock_offset_ms)
        self.discovery.load_known(self._initial_endpoints(state))
        self.discovery.watch(self.config.discovery)
        if self.config.admin:
            self.admin.listen(self.config.admin)
        self._reloader.start()
        if not (state and self._take_over(state)):
            await self._start_without_previous()
        self.handover.listen()
        self.telemetry.metrics.count(Metric.STATE_TRANSITIONS, "listening")
        log.info("listening host=%s port=%d", *self.config.listen)

    def _initial_endpoints(self, state: HandoverState | None) -> object:
        """Return the endpoint list of the previous process, else the one in the configuration file."""
        if state:
            try:
                return self.registry.restore_state(state.registry)
            except ValueError as error:
                state.channel.close(str(error))
        return self.config.known_endpoints

    def _take_over(self, state: HandoverState) -> bool:
        """Take over from the previous process.

        Returns:
            False if the channel is closed or the state can't be restored.
        """
        if state.channel.closed or not self.driver.restore_state(state.state):
            state.channel.close("state of the previous process can not be restored")
            state.listener.close()
            return False
        self.clients.adopt(state.listener, waited_s=OFFER_TIMEOUT_S)
        self.clients.is_ready = True
        self.handover.take_over(state, self.limits.handover_spare_bytes)
        return True

    async def _start_without_previous(self) -> None:
        """Listen without a handover.

        The gateway is ready with discovery's first update, at the latest after ``FIRST_UPDATE_TIMEOUT_S``.
        """
        self.detachments.detach_again()
        await listen(self.clients, self.config.listen)
        asyncio.get_running_loop().call_later(FIRST_UPDATE_TIMEOUT_S, self._set_ready)

    def _set_ready(self) -> None:
        self.clients.is_ready = True

    def _is_ready(self) -> bool:
        is_serving = self.clients.is_ready and not self.clients.is_suspended
        return is_serving and not self._stop_requested.is_set()

    def _on_endpoint_update(self, update: model.EndpointUpdate, addresses: dict[int, Address]) -> None:
        self.upstream.update(update, addresses)
        self.driver.post(update)
        if update.kind is not model.UpdateKind.CACHED:
            self.clients.is_ready = True

    def _on_discovery_unavailable(self) -> None:
        """Serve with the known endpoint list at once, if there is one."""
        self.clients.is_ready = self.clients.is_ready or bool(self.registry.rows)

    def _close(self) -> None:
        """Close all parts, also after a failed start.

        Signals are blocked first: the interpreter restores their default actions as it ends, and a signal
        that comes late would then kill the process.
        """
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
        self._reloader.cancel()
        self.handover.close()
        self.admin.close()
        self.discovery.end()
        self.upstream.close()


class ConfigurationReloader:
    """Reloads discovery's address from the configuration file on request."""

    def __init__(self, path: Path, discovery: DiscoveryClient) -> None:
        self._path = path
        self._discovery = discovery
        self._requested = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def request(self) -> None:
        """Request a reload; one that is in progress is followed by another."""
        self._requested.set()

    def start(self) -> None:
        """Start to handle requests, including one that was made before."""
        self._task = asyncio.create_task(self._run(), name="reload-configuration")
        self._task.add_done_callback(_log_failure)

    def cancel(self) -> None:
        """Stop handling requests."""
        if self._task:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await self._requested.wait()
            self._requested.clear()
            await self.reload()

    async def reload(self) -> None:
        """Reload the address; retry for a while if the file is half-written or can't be read."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + RELOAD_TIMEOUT_S
        while not reload_discovery_address(self._path, self._discovery):
            if self._requested.is_set() or loop.time() > give_up_at:
                return
            await asyncio.sleep(RELOAD_RETRY_S)


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception():
        log.error("task failed task=%s", task.get_name(), exc_info=task.exception())


def reload_discovery_address(path: Path, discovery: DiscoveryClient) -> bool:
    """Watch discovery at the address in the configuration file, which takes precedence over the environment.

    Returns:
        Whether the address could be read. If the file is missing, half-written or malformed, the error is
        logged and the watch stays at its address.
    """
    try:
        address = read_discovery_address(path)
    except ConfigError as error:
        log.error('configuration reload failed error="%s"', error)
        return False
    log.info("discovery address changed host=%s port=%d", *address)
    discovery.watch(address)
    return True


async def listen(clients: ClientListener, address: Address) -> None:
    """Listen for clients; retry while the address is in use or the system is short of resources.

    Raises:
        OSError: Listening is not possible, or not within ``LISTEN_TIMEOUT_S``.
    """
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + LISTEN_TIMEOUT_S
    while True:
        try:
            clients.listen(*address)
            return
        except OSError as error:
            if error.errno not in BIND_ERRORS or loop.time() > give_up_at:
                raise
        await asyncio.sleep(LISTEN_RETRY_S)
