"""Runs of the soak on one machine follow one another: side by side they could take each other's ports."""

from __future__ import annotations

import asyncio
import fcntl
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

LOCK_FILE = Path(tempfile.gettempdir()) / "quota-gateway-soak.lock"


@asynccontextmanager
async def exclusive_run() -> AsyncIterator[None]:
    """Wait until no other run is under way, and keep others waiting.

    Raises:
        OSError: The lock file can't be opened.
    """
    with LOCK_FILE.open("a") as lock_file:
        await asyncio.to_thread(fcntl.flock, lock_file, fcntl.LOCK_EX)
        yield
