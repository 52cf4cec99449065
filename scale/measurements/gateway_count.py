"""Connections to each server, by the number of real gateways that send load to the same servers."""

from __future__ import annotations

import asyncio

from scale.testbed import Testbed

GATEWAY_SEED_FACTOR = 1000
"""Difference between the load seeds of two consecutive gateways."""


async def measure_by_gateway_count(testbed: Testbed) -> None:
    """Measure the servers' connections at each number of real gateways."""
    config = testbed.config
    measurements = testbed.measurements
    servers = min(config.fleet.servers, len(testbed.server_ports))
    generators = [testbed.load]
    for number in config.slopes.reals:
        testbed.report_step(f"{number} real gateways and {servers} servers")
        discovery, port = await testbed.start_discovery(servers)
        gateways = [await testbed.start_gateway(port, servers, index) for index in range(number)]
        while len(generators) < number:
            generators.append(await testbed.start_load())
        await testbed.servers.command("reset_statistics")
        await asyncio.gather(
            *(
                testbed.run_load(
                    "reals", [gateway.port], GATEWAY_SEED_FACTOR * index, config.load.rate, generator
                )
                for index, (gateway, generator) in enumerate(zip(gateways, generators, strict=False))
            )
        )
        statistics = await testbed.server_statistics()
        mean = statistics.connections / servers
        worst = statistics.most_per_server
        measurements.add("server.connections", "real gateways", "connections", number, [mean])
        measurements.add("server.connections_worst", "real gateways", "connections", number, [worst])
        await testbed.supervisor.end(discovery, *(gateway.process for gateway in gateways))
