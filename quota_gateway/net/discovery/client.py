"""Follows discovery's endpoint list at the address that was set last."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any

from quota_gateway import model as api
from quota_gateway.errors import DiscoveryError
from quota_gateway.net.address import Address
from quota_gateway.net.discovery.endpoint_registry import EndpointRegistry
from quota_gateway.net.discovery.endpoint_row import RegistryChange
from quota_gateway.net.discovery.watch import DiscoveryWatcher
from quota_gateway.telemetry import Metrics

log = logging.getLogger(__name__)

EndpointUpdateHandler = Callable[[api.EndpointUpdate, dict[int, Address]], None]


class DiscoveryClient:
    """Watches discovery at the address set last, and at the previous one until the new one sends an update.

    Attributes:
        registry: The endpoint registry, which reads the updates.
        active: The watcher that delivered the last update.
        candidate: The watcher of the address set last, until it delivers its first update.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        on_update: EndpointUpdateHandler,
        on_unavailable: Callable[[], None],
        seed: int,
        metrics: Metrics | None = None,
    ) -> None:
        """Create a client without a watch.

        Args:
            registry: The endpoint registry, which reads the updates.
            on_update: Called with each update, and with the addresses of its endpoints by number.
            on_unavailable: Called when a watch ends before its watcher has had any update.
            seed: The seed for the jitter of all waits.
            metrics: The metrics of the process.
        """
        self.registry = registry
        self.active: DiscoveryWatcher | None = None
        self.candidate: DiscoveryWatcher | None = None
        self._on_update = on_update
        self._on_unavailable = on_unavailable
        self._random = random.Random(seed)
        self._metrics = metrics or Metrics()

    def load_known(self, document: Any) -> None:
        """Read a complete snapshot from the configuration or the previous process, which may be outdated."""
        try:
            change = self.registry.read(document, is_cached=True)
        except DiscoveryError as error:
            log.error("malformed known endpoint list error=%s", error)
            return
        self._on_update(change.update, change.addresses)

    def watch(self, address: Address) -> None:
        """Watch discovery at this address from now on.

        The previous watch stays in use until this one has an update; see
        docs/decisions/discovery-address-change.md.
        """
        if self.candidate:
            self.candidate.end()
        self.candidate = DiscoveryWatcher(
            address, self.registry, self._on_change, self._on_unavailable, self._random, self._metrics
        )

    def end(self) -> None:
        """Stop watching."""
        for watcher in (self.active, self.candidate):
            if watcher:
                watcher.end()

    def _on_change(self, watcher: DiscoveryWatcher, change: RegistryChange) -> None:
        """Deliver an update; the first one of a new watcher ends the previous watcher."""
        if watcher is self.candidate:
            if self.active:
                self.active.end()
            self.active = watcher
            self.candidate = None
        self._on_update(change.update, change.addresses)
