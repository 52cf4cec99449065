"""Added latency and processor time of one real gateway, by its requests per second."""

from __future__ import annotations

from scale.measurements.added_latency import measure_added_latency, record_added_latency
from scale.testbed import Testbed


async def measure_by_request_rate(testbed: Testbed) -> None:
    """Measure one real gateway at each request rate."""
    config = testbed.config
    measurements = testbed.measurements
    servers = min(config.fleet.servers, len(testbed.server_ports))
    load_seconds = config.load.seconds * config.load.phases
    discovery, port = await testbed.start_discovery(servers)
    gateway = await testbed.start_gateway(port, servers)
    for rate in config.slopes.rates:
        testbed.report_step(f"{rate} requests/s through a real gateway")
        before = gateway.process.usage()
        latency = await measure_added_latency(testbed, f"{rate}/s", gateway.port, float(rate))
        after = gateway.process.usage()
        record_added_latency(testbed, latency, "requests/s", rate)
        cpu_ms_per_s = after.cpu_ms_since(before) / load_seconds
        measurements.add("gateway.cpu", "requests/s", "ms/s", rate, [cpu_ms_per_s])
        measurements.add("gateway.sockets", "requests/s", "sockets", rate, [after.sockets])
    await testbed.supervisor.end(discovery, gateway.process)
