"""Requests behind a long answer that never ends: each of them still has to get its final answer."""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support.case import SETTINGS, Case, Gateway, run_case, service, tariff  # noqa: E402
from support.resp import encode_call, take_answer  # noqa: E402

CLIENTS = 3
SMALL_BEHIND = 3
LONG_BYTES = 4 * 1024 * 1024
LONG_RATE = 4e6
ENDLESS_BYTES = 1024 * 1024
FIRST_D_MS = 1500
ENDLESS_D_MS = 750
SMALL_D_MS = 1500
PATIENCE_S = 15.0
LIMITS = {"cores": 1.0, "memory_mb": 128, "sockets": 512}


class Client:
    """A client that sends two requests for long values and some others at once, on one connection."""

    def __init__(self, case: Case, number: int) -> None:
        self._case = case
        self._number = number
        self.ids = [f"a{number:015x}", f"e{number:015x}"]
        self.ids += [f"b{number:07x}{index:08x}" for index in range(SMALL_BEHIND)]
        self.answers: list[bytes] = []
        self.rest = bytearray()
        self._started_s = 0.0

    async def play(self, port: int) -> None:
        """Send all requests, and read until all are answered or the gateway ends the connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        calls = [self._call(self.ids[0], "trip-map", FIRST_D_MS)]
        calls += [self._call(self.ids[1], "trip-map", ENDLESS_D_MS)]
        calls += [self._call(name, "trip-search", SMALL_D_MS) for name in self.ids[2:]]
        self._started_s = time.monotonic()
        writer.write(b"".join(calls))
        self._case.note(f"client {self._number}: sends {' '.join(self.ids)} on one connection")
        try:
            async with asyncio.timeout(PATIENCE_S):
                await self._read(reader)
        except TimeoutError:
            self._case.note(f"client {self._number}: gets no more, and closes after {PATIENCE_S} s")
        writer.close()

    def _call(self, request_id: str, class_name: str, timeout_ms: int) -> bytes:
        fields = f"c={class_name},t=basis,d={timeout_ms},units=1,spread=1,first=0"
        return encode_call(request_id, f"{self._number + 1:016x}", fields)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        while len(self.answers) < len(self.ids):
            data = b""
            with suppress(ConnectionResetError):
                data = await reader.read(1 << 18)
            if not data:
                self._case.note(
                    f"client {self._number}: the gateway ends the connection "
                    f"{time.monotonic() - self._started_s:.2f} s after the requests, after "
                    f"{len(self.answers)} whole answers and {len(self.rest)} bytes of the next"
                )
                return
            self.rest += data
            while (answer := take_answer(self.rest)) is not None:
                name = self.ids[len(self.answers)]
                self.answers.append(answer)
                text = f"a value of {len(answer) - 1} bytes" if answer[:1] == b"$" else repr(answer)
                self._case.note(f"client {self._number}: {name} is answered with {text}")

    def lost(self, events: list[dict[str, Any]]) -> list[str]:
        """Return the requests that a server got, and that were never answered.

        The long value that never ends is not counted: it has failed, and the client can tell.
        """
        forwarded = {event["id"] for event in events if event["what"] == "arrived"}
        unanswered = self.ids[len(self.answers) :]
        return [name for name in unanswered if name in forwarded and name != self.ids[1]]


async def play(case: Case) -> bool:
    """Have some clients send at once, with one answer of each that never ends."""
    behaviour: dict[str, Any] = {
        "long_class": "trip-map",
        "long_bytes": LONG_BYTES,
        "long_rate": LONG_RATE,
    }
    if case.has_trouble:
        behaviour |= {"endless_prefix": "e", "endless_bytes": ENDLESS_BYTES}
    await case.start_servers(4, behaviour)
    settings = {
        **SETTINGS,
        "balancers": 1,
        "services": [service("trip-search", 400.0, "safe"), service("trip-map", 1000.0, "safe")],
        "tariffs": [tariff("basis")],
    }
    gateway = Gateway(case, 0, settings, LIMITS)
    await gateway.start()
    clients = [Client(case, number) for number in range(CLIENTS)]
    await asyncio.gather(*(client.play(gateway.port) for client in clients))
    case.note_servers()
    events = case.server_events()
    lost = [name for client in clients for name in client.lost(events)]
    for name in lost:
        was_served = any(event["what"] == "served" and event["id"] == name for event in events)
        case.note(f"LOST {name}: read and forwarded, {'served by a server, ' if was_served else ''}no answer")
    unanswered = sum(len(client.ids) - len(client.answers) for client in clients)
    sent = sum(len(client.ids) for client in clients)
    case.note(f"{len(lost)} requests lost, {unanswered} without a whole answer, of {sent}")
    print(f"{len(lost)} requests lost, {unanswered} without a whole answer, of {sent}")
    if not case.has_trouble and unanswered:
        raise RuntimeError("answers are missing though every server's answer has ended")
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
