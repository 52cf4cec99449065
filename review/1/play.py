"""A planned restart while clients read long answers: each answer still has to come whole."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support.case import SETTINGS, Case, Gateway, GatewayProcess, run_case, service, tariff  # noqa: E402
from support.resp import encode_call, take_answer  # noqa: E402

CLIENTS = 4
LONG_BYTES = 2 * 1024 * 1024
SERVER_RATE = 40e6
CLIENT_RATE = 1.25e6
PIECE_BYTES = 32 * 1024
TERM_AFTER_S = 0.3
SECOND_AFTER_S = 1.0  # 0.7 s after SIGTERM
DEADLINE_S = 1.5
KILL_AFTER_S = DEADLINE_S + 0.7
PATIENCE_S = 6.0
LIMITS = {"cores": 1.0, "memory_mb": 128, "sockets": 512}


class Client:
    """A client that reads a long answer slowly, and meanwhile sends another request on its connection."""

    def __init__(self, case: Case, number: int) -> None:
        self._case = case
        self._number = number
        self._first_id = f"{number + 1:08x}00000001"
        self._second_id = f"{number + 1:08x}00000002"
        self.first_answer: bytes | None = None
        self.answers = 0

    async def play(self, port: int) -> None:
        """Send both requests, the second one later, and read at a steady pace."""
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, ("127.0.0.1", port))
            await self._send(sock, self._first_id, "trip-map")
            second = loop.create_task(self._send_later(sock))
            with suppress(TimeoutError):
                async with asyncio.timeout(PATIENCE_S):
                    await self._read(sock)
            await second

    async def _send(self, sock: socket.socket, request_id: str, class_name: str) -> None:
        fields = f"c={class_name},t=basis,d=1500,units=1,spread=1,first=0"
        call = encode_call(request_id, f"{self._number + 1:016x}", fields)
        await asyncio.get_running_loop().sock_sendall(sock, call)
        self._case.note(f"client {self._number}: sends {request_id} ({class_name})")

    async def _send_later(self, sock: socket.socket) -> None:
        await asyncio.sleep(SECOND_AFTER_S)
        try:
            await self._send(sock, self._second_id, "trip-search")
        except OSError as error:
            self._case.note(f"client {self._number}: can not send {self._second_id}: {error!r}")

    async def _read(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        buffer = bytearray()
        started_s = time.monotonic()
        received = 0
        while self.answers < 2:
            end = ""
            try:
                data = await loop.sock_recv(sock, PIECE_BYTES)
                end = "" if data else "the gateway has closed the connection"
            except OSError as error:
                end = f"{error!r}"
            if end:
                self._case.note(
                    f"client {self._number}: {end}, after {self.answers} answers and {len(buffer)} bytes more"
                )
                return
            buffer += data
            received += len(data)
            while (answer := take_answer(buffer)) is not None:
                self._on_answer(answer)
            await asyncio.sleep(max(0.0, started_s + received / CLIENT_RATE - time.monotonic()))

    def _on_answer(self, answer: bytes) -> None:
        if self.first_answer is None:
            self.first_answer = answer
        self.answers += 1
        text = f"a value of {len(answer) - 1} bytes" if answer[:1] == b"$" else repr(answer)
        self._case.note(f"client {self._number}: answer {self.answers} is whole: {text}")

    def has_lost(self, events: list[dict[str, Any]]) -> bool:
        """Return whether the first request was served whole by a server, and its answer did not come whole.

        The second request is not judged: it may cross the end of the connection unread.
        """
        was_served = any(item["what"] == "served" and item["id"] == self._first_id for item in events)
        has_lost = was_served and self.first_answer is None
        if has_lost:
            self._case.note(f"LOST {self._first_id}: served by a server, its answer was cut off")
        return has_lost


async def end_gateway(case: Case, gateway: GatewayProcess) -> None:
    """Send SIGTERM, and SIGKILL when the longest deadline and 0.7 s have gone by."""
    case.note("SIGTERM goes to the gateway")
    gateway.process.send_signal(signal.SIGTERM)
    for _ in range(int(KILL_AFTER_S * 100)):
        if gateway.process.poll() is not None:
            case.note("the gateway has ended")
            return
        await asyncio.sleep(0.01)
    case.note("SIGKILL goes to the gateway")
    gateway.process.kill()


async def play(case: Case) -> bool:
    """Have clients read long answers slowly, and end the gateway by a planned restart meanwhile."""
    await case.start_servers(
        3, {"long_class": "trip-map", "long_bytes": LONG_BYTES, "long_rate": SERVER_RATE}
    )
    settings = {
        **SETTINGS,
        "balancers": 1,
        "services": [service("trip-search", 400.0, "safe"), service("trip-map", 1000.0, "safe")],
        "tariffs": [tariff("basis")],
    }
    gateway = Gateway(case, 0, settings, LIMITS)
    process = await gateway.start()
    clients = [Client(case, number) for number in range(CLIENTS)]
    tasks = [asyncio.create_task(client.play(gateway.port)) for client in clients]
    await asyncio.sleep(TERM_AFTER_S)
    if case.has_trouble:
        await end_gateway(case, process)
    await asyncio.gather(*tasks)
    case.note_servers()
    events = case.server_events()
    lost = [client for client in clients if client.has_lost(events)]
    case.note(f"{len(lost)} of {CLIENTS} long answers were cut off")
    print(f"{len(lost)} of {CLIENTS} long answers were cut off")
    if not case.has_trouble and any(client.answers < 2 for client in clients):
        raise RuntimeError("answers are missing though the gateway was not told to end")
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
