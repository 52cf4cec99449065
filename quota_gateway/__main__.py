"""One real gateway: reads its environment and configuration, runs until it is told to stop."""

from __future__ import annotations

import asyncio
import errno
import gc
import json
import logging
import os
import signal
import sys
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import Any

import uvloop

from quota_gateway import model as api
from quota_gateway.net.address import Address
from quota_gateway.net.admin import MOST_CALLERS, AdminServer
from quota_gateway.net.client_listener import ClientListener
from quota_gateway.net.detachments import Detachments
from quota_gateway.net.discovery_client import DiscoveryClient
from quota_gateway.net.driver import Clock, Driver
from quota_gateway.net.endpoint_registry import EndpointRegistry
from quota_gateway.net.handover import MOST_QUEUED, Handover, HandoverState, rendezvous_path, request_handover
from quota_gateway.net.peer_processes import PeerProcesses
from quota_gateway.net.upstream_pool import UpstreamPool
from quota_gateway.policy.engine import PolicyEngine
from quota_gateway.settings_format import settings_from_document

log = logging.getLogger("quota_gateway")

STANDARD = 3  # descriptors: standard input, output and error, which is the log
FOR_LOOP = 10  # epoll and its ring, the wake-up, two pipes and a pair of sockets for signals, one in reserve
FOR_WATCHES = 4  # on discovery: at its old address and at its new one, and as many that are closing
FOR_LISTENERS = 2  # for clients, and for a process that takes over
FOR_PASSING = 2 + MOST_QUEUED + 1  # channels to the process before and the next; connections, the listener
FOR_FILES = 2  # open for a moment: the configuration at SIGHUP, a folder
MARGIN = 8
OTHER_DESCRIPTORS = FOR_LOOP + FOR_WATCHES + FOR_LISTENERS + FOR_PASSING + FOR_FILES + MARGIN
FOR_CALLERS = 2 * MOST_CALLERS + 1  # operators: one that makes room is closed a little later; the listener
SERVERS_SHARE = 0.25  # of the rest. Clients hold a third of all for requests, as many again have asked once
# and may not be closed for 2 s, and some say nothing; what is out at servers is a small part of that
MEGABYTE = 1 << 20
PROGRAM = 20 * MEGABYTE  # the program itself, 14 seen, and what a list of servers and its customers take
HELD_SHARE = 0.4  # of the rest of the memory, for what clients have sent; as much for servers' answers
LEAST_HELD = 2 * MEGABYTE
LOG_SPAN_S, LOG_LINES = 10.0, 50  # so many lines in so long
LISTEN_S = 5.0  # for an address that is in use to become free: a new version is due to be ready in 6 s
FIRST_LIST_S = 1.0  # how long the known list, which may be old, waits for discovery's before it must do
ACCEPT_S = 0.45  # after SIGTERM: new connections go on coming for 0.4 s
KILL_S = (3.0, 0.7)  # after SIGTERM comes SIGKILL: the longest deadline, this at most, and so much more
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
SPARE_S = 0.3  # of that time, in which all is answered but not yet killed
FLUSH_S = 0.2  # of that, for answers that are on their way to clients that still send or read slowly


class LogRateLimiter(logging.Filter):
    """Lets so many lines of the log through in a span, and says how many it left out.

    Guards against a peer that fills the log, which counts as memory where it is a file: a line for each
    thing that can't be read, at full speed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.until, self.passed, self.left_out = -inf, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line is written."""
        if record.created >= self.until:
            if self.left_out:
                record.msg, record.args = f"{record.getMessage()} ({self.left_out} lines left out before)", ()
            self.until, self.passed, self.left_out = record.created + LOG_SPAN_S, 0, 0
        self.passed += 1
        if self.passed > LOG_LINES:
            self.left_out += 1
        return self.passed <= LOG_LINES


def _open_descriptors() -> int:
    """How many descriptors the process was started with; the standard three where that can't be told."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # one of them to read this
    except OSError:
        return STANDARD


def shares(descriptors: int, inherited: int, managed: bool) -> tuple[int, int]:
    """Descriptors for clients and for servers: what the process does not need otherwise is split in two.

    Guards against idle clients that take those of the watch on discovery, of servers or of operators.
    """
    rest = descriptors - inherited - OTHER_DESCRIPTORS - (FOR_CALLERS if managed else 0)
    for_servers = int(max(2, rest) * SERVERS_SHARE)
    return max(2, rest) - for_servers, for_servers


def _address(field: str, text: Any) -> Address:
    """``HOST:PORT``; ValueError that names the field for anything else, also for a port that can't be."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and colon and port.isascii() and port.isdecimal() and 0 < int(port) < 1 << 16):
        raise ValueError(f"{field}: {text!r} is no address")
    return host, int(port)


@dataclass(frozen=True)
class Config:
    """What the gateway is told at its start."""

    path: Path
    listen: Address
    discovery: Address
    mgmt: Address | None  # where operators call, if they do
    seed: int
    descriptors: int
    inherited: int  # of them, at the start
    memory: int  # bytes
    known: Any
    settings: api.Settings

    @staticmethod
    def load(environment: dict[str, str]) -> Config:
        """From EDGE_CONFIG; EDGE_LISTEN and EDGE_DISCOVERY, where set, say the same or come first."""
        path = Path(environment["EDGE_CONFIG"])
        document = json.loads(path.read_text())
        mgmt = environment.get("EDGE_MGMT") or document.get("mgmt")
        return Config(
            path=path,
            listen=_address("listen", environment.get("EDGE_LISTEN") or document["listen"]),
            discovery=_address("discovery", environment.get("EDGE_DISCOVERY") or document["discovery"]),
            mgmt=_address("mgmt", mgmt) if mgmt else None,
            seed=int(document["seed"], 16),
            descriptors=int(document["limits"]["sockets"]),
            inherited=max(STANDARD, _open_descriptors()),
            memory=int(document["limits"]["memory_mb"]) * MEGABYTE,
            known=document["known"],
            settings=settings_from_document(document["settings"]),
        )


def _reload(path: Path, discovery: DiscoveryClient) -> None:
    """SIGHUP: watch discovery where the configuration's file names it now, which outranks the environment.

    Guards against a file that is missing, half-written or malformed: it is logged, and what is stays.
    """
    try:
        address = _address("discovery", json.loads(path.read_text())["discovery"])
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        log.error("the configuration was not read again: %r", error)
        return
    log.info("discovery is at %s:%d now", *address)
    discovery.watch(address)


async def serve(config: Config) -> None:
    """Serve until SIGTERM, then see to what was taken and return."""
    loop = asyncio.get_running_loop()
    stop, again = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, again.set)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    for_clients, for_servers = shares(config.descriptors, config.inherited, config.mgmt is not None)
    held = max(LEAST_HELD, int((config.memory - PROGRAM) * HELD_SHARE))
    servers = UpstreamPool(config.settings, for_servers, held)
    gateway = PolicyEngine(config.settings, config.seed)
    peers = PeerProcesses()
    driver = Driver(gateway, servers, Clock(), peers.notify_usage)
    clients = ClientListener(driver, config.settings, for_clients, held)

    def news(listing: api.EndpointUpdate, addresses: dict[int, Address]) -> None:
        servers.update(listing, addresses)
        driver.post(listing)
        if listing.kind is not api.UpdateKind.CACHED:
            clients.is_ready = True

    def unavailable() -> None:
        clients.is_ready = clients.is_ready or bool(registry.rows)

    # with a list that is known, one who is turned away serves by it at once
    registry = EndpointRegistry(gateway.subset)
    discovery = DiscoveryClient(registry, news, unavailable, config.seed)
    detachments = Detachments(registry, driver, peers)
    handover = Handover(
        rendezvous_path(config.listen), driver, clients, servers, registry, detachments, peers
    )
    estate = await request_handover(handover.path)
    discovery.load_known(_known(config, registry, estate))
    discovery.watch(config.discovery)

    async def reload() -> None:
        while True:
            await again.wait()
            again.clear()
            _reload(config.path, discovery)

    management = AdminServer(
        lambda: clients.is_ready and not clients.is_suspended and not stop.is_set(), detachments.set_detached
    )
    if config.mgmt:
        await management.listen(config.mgmt)
    reloading = loop.create_task(reload())
    if estate and not estate.channel.closed and driver.restore_state(estate.state):
        clients.adopt(estate.listener)
        clients.is_ready = True
        handover.took_over(estate, max(0, min(int(PROGRAM * HELD_SHARE), held - LEAST_HELD)))
    else:
        if estate:
            estate.channel.close("its estate can't be taken over")
            estate.listener.close()
        detachments.repeat()
        await _listen(clients, config.listen)
        loop.call_later(FIRST_LIST_S, lambda: setattr(clients, "is_ready", True))
    handover.wait()
    log.info("listening")
    await stop.wait()
    await _leave(config.settings, driver, clients, handover)
    reloading.cancel()
    handover.close()
    management.close()
    discovery.end()
    servers.close()


def _known(config: Config, registry: EndpointRegistry, estate: HandoverState | None) -> Any:
    """The list to start with: what the process before has left, else what the configuration says."""
    if estate:
        try:
            return registry.restore_state(estate.registry)
        except ValueError as error:
            estate.channel.close(str(error))
    return config.known


async def _listen(clients: ClientListener, address: Address) -> None:
    """Listen at the clients' address; one that is still in use is waited for."""
    loop = asyncio.get_running_loop()
    until = loop.time() + LISTEN_S
    while True:
        try:
            clients.listen(*address)
            return
        except OSError as error:
            if error.errno != errno.EADDRINUSE or loop.time() > until:
                raise
        await asyncio.sleep(0.05)


async def _leave(settings: api.Settings, driver: Driver, clients: ClientListener, handover: Handover) -> None:
    """Go on accepting for the stated span, answer all that was taken, close; all before SIGKILL.

    Where another process has taken over, connections are passed on to it in place of being closed.
    """
    loop = asyncio.get_running_loop()
    longest_s = max(item.deadline_ms for item in settings.classes) / 1000.0
    span_s = min(KILL_S[0], longest_s) + KILL_S[1] - SPARE_S
    end = loop.time() + span_s
    log.info("stopping")
    driver.post(api.ShutdownStarted(span_s * 1000.0))
    await asyncio.sleep(ACCEPT_S)
    clients.stop_listening()
    while (clients.connections or handover.busy()) and loop.time() < end:
        await asyncio.sleep(0.01)
    clients.finish()
    while clients.connections and loop.time() < end + FLUSH_S:
        await asyncio.sleep(0.01)
    clients.abort()


def main() -> int:
    """Run the gateway; 0 after SIGTERM.

    Signals wait until there are handlers. Guards against one that comes while the gateway starts, whose
    default would end it.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s"
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimiter())
    config = Config.load(dict(os.environ))
    gc.freeze()
    uvloop.run(serve(config))
    return 0


if __name__ == "__main__":
    sys.exit(main())
