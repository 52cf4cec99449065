"""Run a soak: start its processes, inject the faults of its plan, and collect the records."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import structlog

from scale.supervisor import Supervisor
from soak.deployment import Deployer, Deployment
from soak.exclusive_run import exclusive_run
from soak.faults import Fault, make_faults
from soak.faults.processes import restart
from soak.plan import PlannedFault, draw_plan
from soak.records import (
    BegunReply,
    CommandRecord,
    CompleteReply,
    EndpointChange,
    FaultRecord,
    RequestRecord,
    SoakRecords,
)
from soak.settings import SoakConfig

SETTLE_S = 3.0
"""Time for which clients continue after the last fault is over."""

RESTART_INTERVAL_S = 0.3
"""Time between the restarts of two gateways after the last fault is over."""


async def run_soak(config: SoakConfig, folder: Path) -> SoakRecords:
    """Run one seed, once no other run is under way on this machine; return its records.

    Args:
        config: The seed and the sizes of the run.
        folder: An existing folder for configurations and logs.

    Raises:
        ChildError: The process of a role has failed.
        LimitError: The run needs more processes than the configuration allows.
    """
    log = structlog.get_logger()
    async with exclusive_run(), Supervisor(config, folder, log, child_module="soak.child") as supervisor:
        deployment = await Deployer(config, supervisor, folder).start()
        faults = await _inject_all(draw_plan(config), deployment)
        if config.restarts_all:
            await _restart_all(deployment)
        await asyncio.sleep(SETTLE_S)
        return await _collect(deployment, faults)


async def _inject_all(plan: list[PlannedFault], deployment: Deployment) -> list[FaultRecord]:
    """Inject each fault at its planned time; return their records in the order in which they ended."""
    records: list[FaultRecord] = []
    faults = make_faults(deployment)
    start_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for planned in plan:
            group.create_task(_inject(planned, faults[planned.kind], start_s, records))
    return records


async def _restart_all(deployment: Deployment) -> None:
    """Restart each gateway under load, as a release does; the restarts overlap."""
    async with asyncio.TaskGroup() as group:
        for gateway in deployment.gateways:
            group.create_task(restart(gateway))
            await asyncio.sleep(RESTART_INTERVAL_S)


async def _inject(
    planned: PlannedFault, fault: Fault, run_start_s: float, records: list[FaultRecord]
) -> None:
    await asyncio.sleep(max(0.0, run_start_s + planned.start_s - time.monotonic()))
    start_s = time.monotonic()
    await fault.inject(planned)
    record = FaultRecord(
        kind=planned.kind,
        server=planned.server,
        gateway=planned.gateway,
        start_s=start_s,
        end_s=time.monotonic(),
    )
    records.append(record)


async def _collect(deployment: Deployment, faults: list[FaultRecord]) -> SoakRecords:
    """Stop the clients and gateways; return the records of all processes."""
    records = SoakRecords(faults=faults, cold_starts=deployment.cold_starts)
    for client in deployment.clients:
        await client.command("stop")
    for client in deployment.clients:
        records.requests += await client.call("records", list[RequestRecord])
    for role in set(deployment.server_roles.values()):
        records.commands += await role.call("records", list[CommandRecord])
        records.complete_replies += await role.call("complete_replies", list[CompleteReply])
        records.begun_replies += await role.call("begun_replies", list[BegunReply])
    records.endpoint_changes = await deployment.discovery.call("records", list[EndpointChange])
    for gateway in deployment.gateways:
        records.processes += await gateway.finish()
        records.detachments += gateway.detachments
        records.outages += gateway.outages
        records.shutdowns += gateway.shutdowns
        records.start_violations += gateway.start_violations
    return records
