"""Case 7: many clients send requests with values of 4 MiB at once; does the gateway keep its memory limit?"""

from __future__ import annotations

import asyncio

from standins.case import Case, run_case
from standins.clients import Call, Client
from standins.discovery import make_row
from standins.gateway import Gateway
from standins.servers import answer_after
from standins.settings import settings

MEMORY_MB = 96  # half of the most that the pages give
CLIENTS = 8
VALUE_BYTES = 4 * 1024 * 1024  # the longest value, with the disruption
USUAL_VALUE_BYTES = 64 * 1024  # the longest value without it
PIECE_BYTES = 64 * 1024
PIECE_INTERVAL_S = 0.005
WORK_S = 0.3  # half of the time in which the class wants its answer
DURATION_S = 8.0


def counted_kb(gateway: Gateway) -> int:
    """Return the most memory that the process has had, without the pages of files that it has mapped."""
    return gateway.memory_kb("VmHWM") - gateway.memory_kb("RssFile") - gateway.memory_kb("RssShmem")


async def _send(case: Case, answers: dict[str, bytes | None], size: int) -> None:
    call = Call(class_name="seat-book", body=b"v" * size)
    client = await Client.connect(case.record, case.listen)
    answers[call.request_id] = None
    data = call.encode()
    case.record.write(f"client sends {call.request_id} with a value of {size} bytes")
    try:
        for start in range(0, len(data), PIECE_BYTES):
            client.writer.write(data[start : start + PIECE_BYTES])
            await client.writer.drain()
            await asyncio.sleep(PIECE_INTERVAL_S)
        answers[call.request_id] = await client.receive(call)
    except OSError as error:
        case.record.write(f"client is cut off while it sends {call.request_id}: {error!r}")


async def _limit_memory(case: Case, gateway: Gateway) -> str | None:
    """Kill the gateway as soon as it is over its limit, as the platform does; return what was seen."""
    while gateway.exit_code is None:
        used_kb = counted_kb(gateway)
        if used_kb > MEMORY_MB * 1024:
            text = f"the gateway had {used_kb} KiB of its own, the limit is {MEMORY_MB * 1024} KiB"
            case.record.write(f"platform kills the gateway: {text}")
            await gateway.kill()
            return text
        await asyncio.sleep(0.005)
    return None


async def play(case: Case) -> list[str]:
    """Send the requests at once, and return how the rule was broken."""
    await case.discovery.start()
    for number in range(9):
        server = await case.start_server(f"s-{number}", answer_after(WORK_S))
        row = make_row(server.name, server.address, f"room-{'abc'[number % 3]}")
        case.discovery.rows[server.name] = row
    gateway = await case.start_gateway(settings(), MEMORY_MB, sockets=384)
    case.record.write(f"at rest the gateway has {counted_kb(gateway)} KiB of its own")
    platform = asyncio.create_task(_limit_memory(case, gateway))
    answers: dict[str, bytes | None] = {}
    size = VALUE_BYTES if case.has_trouble else USUAL_VALUE_BYTES
    tasks = [asyncio.create_task(_send(case, answers, size)) for _ in range(CLIENTS)]
    await asyncio.wait(tasks, timeout=DURATION_S)
    await asyncio.wait([platform], timeout=1.0)
    if not platform.done():
        case.record.write(f"the most that the gateway had is {counted_kb(gateway)} KiB of its own")
        platform.cancel()
        return []
    unanswered = [name for name, answer in answers.items() if answer is None]
    return [
        f"the gateway was killed for memory: {platform.result()}",
        f"{len(unanswered)} of {CLIENTS} requests got no answer",
    ]


run_case(__file__, play)
