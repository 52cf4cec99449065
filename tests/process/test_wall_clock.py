"""Wall clocks that differ between the previous and the next process of a gateway."""

import signal
from pathlib import Path

import pytest

from soak.shim import ShimControl, build_shim
from tests.support.gateway_host import gateway_host, wait_ready
from tests.support.gateway_process import PROCESS_SETTINGS, connect
from tests.support.resp_encoding import encode_call

BURST = 5
SLOW_SETTINGS = {
    **PROCESS_SETTINGS,
    "balancers": 1,
    "tariffs": [
        *PROCESS_SETTINGS["tariffs"],
        {**PROCESS_SETTINGS["tariffs"][0], "name": "slow", "refill": 0.01, "most_at_once": float(BURST)},
    ],
}


def shim_environment(folder: Path, library: Path, wall_step_s: float) -> dict[str, str]:
    """Return the variables that shift the wall clock of a process by ``wall_step_s``."""
    control = ShimControl(folder / f"control{wall_step_s}")
    control.wall_step_s = wall_step_s
    control.apply()
    return {"LD_PRELOAD": str(library), "SOAK_SHIM_CONTROL": str(control.path)}


def encode_own_call(number: int, plan: str) -> bytes:
    """Encode a request of a customer whose gateway set is this gateway alone."""
    return encode_call(number, plan=plan).replace(b"spread=2", b"spread=1")


async def count_served(client, first_number):
    """Send requests of one customer on the slow plan and return how many were served."""
    numbers = range(first_number, first_number + 4 * BURST)
    replies = [await client.request(encode_own_call(number, "slow")) for number in numbers]
    return sum(reply == b"%016x" % number for reply, number in zip(replies, numbers, strict=True))


@pytest.mark.parametrize("wall_step_s", [3600.0, -3600.0])
async def test_bucket_survives_a_handover_while_the_wall_clock_changes(tmp_path, capfd, wall_step_s):
    library = build_shim(tmp_path)
    async with gateway_host(tmp_path, settings=SLOW_SETTINGS) as host:
        old, admin_port = await host.start(environment=shim_environment(tmp_path, library, 0.0))
        await wait_ready(admin_port)
        client = await connect(host.port)
        assert await count_served(client, 100) >= BURST
        new, admin_port = await host.start(environment=shim_environment(tmp_path, library, wall_step_s))
        await wait_ready(admin_port)
        old.send_signal(signal.SIGTERM)
        assert await count_served(client, 200) == 0
        assert await client.request(encode_own_call(300, "free")) == b"%016x" % 300
        assert new.returncode is None
    assert "ERROR" not in capfd.readouterr().err
