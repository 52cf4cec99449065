"""The record of a case: what was sent, answered and run, with the milliseconds since its start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes one line an event to ``record.txt`` in the folder of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def now_ms(self) -> float:
        """Return the milliseconds since the start of the case."""
        return (time.monotonic() - self._start_s) * 1000.0

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_ms():9.1f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
