"""The library that makes a gateway's system calls fail, and the shared page that controls it."""

from __future__ import annotations

import mmap
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).parent / "fault_shim.c"
CONTROL_LAYOUT = struct.Struct("4d")
"""Layout of ``struct control`` in fault_shim.c: the wall clock step, then a percentage per category."""


class CallCategory(IntEnum):
    """A category of system calls with one failure rate, in the order of the control page."""

    TCP = 0
    """Calls on a TCP socket."""

    UNIX = 1
    """Calls on a Unix socket, and those that duplicate a descriptor."""

    FILE = 2
    """Calls that open a configuration file, bind a Unix socket or rename a file."""


def build_shim(folder: Path) -> Path:
    """Compile the library into a folder; return its path.

    Raises:
        subprocess.CalledProcessError: The compiler has failed.
    """
    library = folder / "fault_shim.so"
    command = ["cc", "-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True)
    return library


class ShimControl:
    """The control page that the library in one gateway reads at each system call.

    Args:
        path: The file of the page; it is created.

    Attributes:
        path: The file of the page.
        wall_step_s: Seconds to add to the wall clock; ``apply`` makes a new value take effect.
    """

    def __init__(self, path: Path) -> None:
        path.write_bytes(bytes(CONTROL_LAYOUT.size))
        with path.open("r+b") as file:
            self._page = mmap.mmap(file.fileno(), CONTROL_LAYOUT.size)
        self.path = path
        self.wall_step_s = 0.0
        self._failing_percent = dict.fromkeys(CallCategory, 0.0)

    def environment(self, library: Path) -> dict[str, str]:
        """Return the environment variables that make a process load the library and find the page."""
        return {"LD_PRELOAD": str(library), "SOAK_SHIM_CONTROL": str(self.path)}

    def set_failing(self, category: CallCategory, percent: float) -> None:
        """Set the percentage of a category's calls that fail from now on."""
        self._failing_percent[category] = percent
        self.apply()

    def apply(self) -> None:
        """Write the current wall clock step and percentages to the control page."""
        percentages = (self._failing_percent[category] for category in CallCategory)
        self._page[:] = CONTROL_LAYOUT.pack(self.wall_step_s, *percentages)
