"""Runs a case: gives it a folder and a record, bounds its time and turns its result to an exit code."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.discovery import Discovery
from standins.gateway import CaseCannotRunError, Gateway, free_address
from standins.record import Record
from standins.servers import Behaviour, Server
from standins.settings import Addresses, Json, write_configuration

MAX_DURATION_S = 110.0
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class Case:
    """What a case works with; ``close`` ends all that it started."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.temporary = temporary
        self.discovery = Discovery([])
        self.servers: list[Server] = []
        self.gateways: list[Gateway] = []
        self.listen = free_address()
        self.record.write(f"trouble={'yes' if self.has_trouble else 'no'}")

    async def start_server(self, name: str, behave: Behaviour) -> Server:
        """Start one server; discovery does not list it yet."""
        server = Server(name, self.record, behave)
        await server.start()
        self.servers.append(server)
        return server

    def new_gateway(self, document: Json, memory_mb: int = 192, sockets: int = 1024) -> Gateway:
        """Return a gateway at the address of this case that is not started yet."""
        addresses = Addresses(self.listen, self.discovery.address, free_address())
        number = len(self.gateways) + 1
        path = self.temporary / f"config-{number}.json"
        write_configuration(path, addresses, self.discovery.document(), document, memory_mb, sockets)
        gateway = Gateway(self.temporary, path, addresses, f"gateway-{number}")
        self.gateways.append(gateway)
        return gateway

    async def start_gateway(self, document: Json, memory_mb: int = 192, sockets: int = 1024) -> Gateway:
        """Start a gateway and wait until it is ready."""
        gateway = self.new_gateway(document, memory_mb, sockets)
        await gateway.start()
        await gateway.wait_until_ready()
        self.record.write(f"gateway of process {len(self.gateways)} is ready")
        return gateway

    async def close(self) -> None:
        """End all processes, servers and watches of the case."""
        for gateway in self.gateways:
            await gateway.kill()
        for server in self.servers:
            server.stop()
        self.discovery.stop()
        self.record.close()


Play = Callable[[Case], Awaitable[list[str]]]


async def _play(folder: Path, play: Play) -> int:
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        case = Case(folder, Path(temporary))
        try:
            async with asyncio.timeout(MAX_DURATION_S):
                broken = await play(case)
        except (CaseCannotRunError, TimeoutError, OSError) as error:
            case.record.write(f"the case could not run: {error!r}")
            return CANNOT_RUN
        else:
            for text in broken:
                case.record.write(f"BROKEN {text}")
            case.record.write(f"result: {'broken' if broken else 'held'}")
            return BROKEN if broken else HELD
        finally:
            if os.environ.get("KEEP_LOGS"):
                for gateway in case.gateways:
                    print(gateway.log_path.read_text()[-6000:], file=sys.stderr)
            await case.close()


def run_case(file: str, play: Play) -> None:
    """Play the case of this file; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    sys.exit(asyncio.run(_play(Path(file).resolve().parent, play)))
