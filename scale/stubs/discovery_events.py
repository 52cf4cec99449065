"""Applies churn and faults to a discovery stub."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine

import msgspec

from scale.config import Churn, Fault
from scale.stubs.churn import ChurnEvent
from scale.stubs.discovery_state import DiscoveryState
from scale.stubs.endpoint_catalog import ListedEndpoint

DRAIN_S = 1.0
"""Time that a restarting endpoint is listed as Terminating."""

WEIGHT_STEPS = 9
"""Number of different weights that a change can set."""


def with_new_weight(endpoint: ListedEndpoint, step: float) -> ListedEndpoint:
    """Return the endpoint with the weight of this step, from 1.01 to 1.09."""
    return msgspec.structs.replace(endpoint, weight=1.0 + 0.01 * (1 + int(step) % WEIGHT_STEPS))


def _just_started(endpoint: ListedEndpoint) -> ListedEndpoint:
    return msgspec.structs.replace(endpoint, lifecycle="Ready", started_at_ms=int(time.time() * 1000))


class DiscoveryEvents:
    """Applies churn and faults to the shared state, each in a separate task."""

    def __init__(self, state: DiscoveryState) -> None:
        self._state = state
        self._replacements = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def start_churn(self, events: list[ChurnEvent], churn: Churn) -> None:
        """Start a task that applies these events at their times."""
        self._start(self._play_churn(events, churn), "churn")

    def start_fault(self, fault: Fault) -> None:
        """Start a task that injects the fault at its time."""
        self._start(self.play_fault(fault), f"fault {fault.kind}")

    def _start(self, coroutine: Coroutine[None, None, None], name: str) -> None:
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _play_churn(self, events: list[ChurnEvent], churn: Churn) -> None:
        start_s = time.monotonic()
        for event in events:
            await asyncio.sleep(max(0.0, start_s + event.at_s - time.monotonic()))
            endpoints = self._state.catalog.endpoints.values()
            ready = [endpoint for endpoint in endpoints if endpoint.lifecycle == "Ready"]
            if not ready:
                continue
            endpoint = ready[int(event.draw * len(ready))]
            if event.kind == "change":
                self._state.publish([with_new_weight(endpoint, event.draw * WEIGHT_STEPS)])
            else:
                has_failed = event.kind == "failure"
                self._start(self._play_restart(endpoint, has_failed, churn.down_s), event.kind)

    async def _play_restart(self, endpoint: ListedEndpoint, has_failed: bool, down_s: float) -> None:
        """Drain and restart an endpoint, or replace a failed one by an endpoint with a new name."""
        if not has_failed:
            self._state.publish([msgspec.structs.replace(endpoint, lifecycle="Terminating")])
            await asyncio.sleep(DRAIN_S)
        self._state.publish([msgspec.structs.replace(endpoint, lifecycle="Gone")])
        await asyncio.sleep(down_s)
        name = endpoint.instance_id
        if has_failed:
            self._replacements += 1
            name = f"s-new-{self._replacements:06x}"
        self._state.publish([_just_started(msgspec.structs.replace(endpoint, instance_id=name))])

    async def play_fault(self, fault: Fault) -> None:
        """Wait for the fault's time, inject it, and return when it has ended."""
        await asyncio.sleep(fault.at_s)
        match fault.kind:
            case "drop_watches":
                self._state.drop_watches()
            case "lose_zone":
                await self._play_zone_loss(fault)
            case "silent":
                self._state.is_silent = True
                await asyncio.sleep(fault.for_s)
                self._state.end_silence()
            case "refuse":
                self._state.is_refusing = True
                self._state.drop_watches()
                await asyncio.sleep(fault.for_s)
                self._state.is_refusing = False

    async def _play_zone_loss(self, fault: Fault) -> None:
        endpoints = self._state.catalog.endpoints.values()
        lost = [endpoint for endpoint in endpoints if endpoint.zone == fault.zone]
        self._state.publish([msgspec.structs.replace(endpoint, lifecycle="Gone") for endpoint in lost])
        await asyncio.sleep(fault.for_s)
        self._state.publish([_just_started(endpoint) for endpoint in lost])
