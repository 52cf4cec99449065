"""A customer that presses against its plan's ceiling while both gateways are upgraded."""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support.case import SETTINGS, Case, Gateway, GatewayProcess, run_case, service, tariff  # noqa: E402
from support.resp import encode_call, take_answer  # noqa: E402

GATEWAYS = 2
UNITS = 2
RATE = 40.0
DEPTH = 40.0
SLACK = 4.0
PATIENCE_S = 0.05  # PROTOCOL: each time limit is 50 ms longer; the store refills by as much more
REQUESTS_PER_S = 30.0  # at each gateway: three times the ceiling
IDLE_S = 2.5  # the store starts full, and so has each gateway's share by then
PRESS_S = 3.0  # before the upgrade, and after it
UPGRADES = 1
DEADLINE_S = 1.5
KILL_AFTER_S = DEADLINE_S + 0.7
LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 512}
CUSTOMER = "0000000000000007"


class Clients:
    """Clients of one customer at one gateway: each connection has one request at a time."""

    def __init__(self, case: Case, gateway: Gateway, index: int) -> None:
        self._case = case
        self._gateway = gateway
        self._index = index
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count()
        self.unanswered = 0
        self.answers = {"served": 0, "refused": 0, "failed": 0}

    async def press(self) -> None:
        """Send requests at a steady rate until cancelled."""
        while True:
            task = asyncio.create_task(self._ask())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1.0 / REQUESTS_PER_S)

    async def finish(self) -> None:
        """Wait for the answers to all requests."""
        await asyncio.gather(*self._tasks)
        for _, writer in self._idle:
            writer.close()

    async def _ask(self) -> None:
        request_id = f"{self._index + 1:x}{next(self._numbers):015x}"
        fields = f"c=seat-book,t=plus,d=1500,k=a{request_id[-12:]},units={UNITS},spread={GATEWAYS},first=0"
        call = encode_call(request_id, CUSTOMER, fields, b"seat")
        # A connection that the gateway has closed between requests is replaced by a new one, once.
        for _ in range(2):
            with suppress(OSError, asyncio.IncompleteReadError):
                await self._ask_once(request_id, call)
                return
        self.unanswered += 1

    async def _ask_once(self, request_id: str, call: bytes) -> None:
        if self._idle:
            reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._gateway.port)
        writer.write(call)
        self._case.note(f"client of {self._gateway.name}: sends {request_id} of {UNITS} units")
        buffer = bytearray()
        async with asyncio.timeout(DEADLINE_S + 1.0):
            while (answer := take_answer(buffer)) is None:
                data = await reader.read(4096)
                if not data:
                    raise ConnectionResetError
                buffer += data
        self._idle.append((reader, writer))
        kind = "served" if answer[:1] == b"$" else "refused" if answer.startswith(b"-BUSY") else "failed"
        self.answers[kind] += 1
        self._case.note(f"client of {self._gateway.name}: {request_id} is {kind}")


async def upgrade(case: Case, gateway: Gateway, old: GatewayProcess) -> GatewayProcess:
    """Start a new version beside the old one, and end the old one as the operators do."""
    case.note(f"{gateway.name}: a new version is started")
    new = await gateway.start()
    case.note(f"{gateway.name}: the new version is ready, SIGTERM goes to the old one")
    old.process.send_signal(signal.SIGTERM)
    for _ in range(int(KILL_AFTER_S * 100)):
        if old.process.poll() is not None:
            break
        await asyncio.sleep(0.01)
    else:
        old.process.kill()
        case.note(f"{gateway.name}: SIGKILL went to the old version")
    return new


def judge(case: Case, events: list[dict[str, Any]]) -> bool:
    """Follow the store of the ceiling: each request takes its units when its first attempt is whole."""
    first_attempts: dict[str, dict[str, Any]] = {}
    for event in sorted((item for item in events if item["what"] == "arrived"), key=lambda e: e["last_byte"]):
        first_attempts.setdefault(event["id"], event)
    level, at_s, lowest = DEPTH, 0.0, DEPTH
    for event in first_attempts.values():
        refilled = level + RATE * (event["last_byte"] - at_s) if at_s else level
        level, at_s = min(DEPTH, refilled) - event["units"], event["last_byte"]
        lowest = min(lowest, level)
        case.note(f"store: {level:7.2f} after {event['units']:.0f} units of {event['id']}", at_s)
    bound = -(SLACK + RATE * PATIENCE_S)
    units = sum(event["units"] for event in first_attempts.values())
    case.note(
        f"{units:.0f} units sent on; the store was at {lowest:.2f} at the lowest, {bound:.2f} is allowed"
    )
    print(f"lowest {lowest:.2f}, allowed {bound:.2f}")
    return lowest >= bound


async def play(case: Case) -> bool:
    """Press against the ceiling at two gateways, and upgrade both at the same time."""
    await case.start_servers(6, {"work_s": 0.06})
    settings = {
        **SETTINGS,
        "balancers": GATEWAYS,
        "services": [service("trip-search", 400.0, "safe"), service("seat-book", 600.0, "keyed")],
        "tariffs": [
            tariff("basis"),
            tariff("plus", parallel=8, cap_rate=RATE, cap_depth=DEPTH, hard_slack=SLACK),
        ],
    }
    gateways = [Gateway(case, index, settings, LIMITS) for index in range(GATEWAYS)]
    processes = list(await asyncio.gather(*(gateway.start() for gateway in gateways)))
    await asyncio.sleep(IDLE_S)
    clients = [Clients(case, gateway, index) for index, gateway in enumerate(gateways)]
    pressing = [asyncio.create_task(item.press()) for item in clients]
    await asyncio.sleep(PRESS_S)
    for _ in range(UPGRADES):
        if case.has_trouble:
            upgrades = [upgrade(case, *pair) for pair in zip(gateways, processes, strict=True)]
            processes = list(await asyncio.gather(*upgrades))
        await asyncio.sleep(PRESS_S)
    for task in pressing:
        task.cancel()
    for item in clients:
        await item.finish()
        case.note(f"clients of a gateway: {item.answers}, {item.unanswered} without an answer")
    case.note_servers()
    return judge(case, case.server_events())


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
