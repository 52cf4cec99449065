"""Start the processes of one gateway under the fault shim."""

from __future__ import annotations

import sys
from pathlib import Path

from scale.fleet.gateways import gateway_command
from scale.supervisor import Supervisor
from soak.gateways.ports import draw_free_port
from soak.gateways.process import GatewayProcess

PLANTED_FAULT_VARIABLE = "SOAK_PLANTED"
SHIM_SEEDS_PER_GATEWAY = 1000


class GatewayLauncher:
    """Starts processes, all with the same configuration, shim and temporary folder.

    Args:
        supervisor: Starts and ends the run's child processes.
        gateway: The gateway's index.
        config_path: The path of its configuration file.
        shim_environment: The environment variables that load the fault shim.
        temporary_folder: The folder in which its processes find each other.
        planted_fault: The name of the planted fault in its processes; empty for none.
    """

    def __init__(
        self,
        supervisor: Supervisor,
        gateway: int,
        config_path: Path,
        shim_environment: dict[str, str],
        temporary_folder: Path,
        planted_fault: str,
    ) -> None:
        self._supervisor = supervisor
        self._gateway = gateway
        self._planted_fault = planted_fault
        self._environment = {
            "EDGE_CONFIG": str(config_path),
            "TMPDIR": str(temporary_folder),
            **shim_environment,
        }

    async def start(self, number: int) -> GatewayProcess:
        """Start a process; return before it is ready.

        Args:
            number: The number of processes that the gateway has started before.
        """
        admin_port = draw_free_port()
        name = f"gateway-{self._gateway}-{number}"
        environment = {
            **self._environment,
            "EDGE_MGMT": f"127.0.0.1:{admin_port}",
            "SOAK_SHIM_SEED": str(SHIM_SEEDS_PER_GATEWAY * self._gateway + number),
        }
        if self._planted_fault:
            environment[PLANTED_FAULT_VARIABLE] = self._planted_fault
        child = await self._supervisor.start_program(name, self._command(), environment)
        return GatewayProcess(child, admin_port, self._supervisor.log_folder / f"{name}.log")

    def _command(self) -> str:
        return f"exec {sys.executable} -m soak.planted" if self._planted_fault else gateway_command()
