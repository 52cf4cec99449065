"""The library that makes a gateway's system calls fail, and the page by which it is told how."""

from __future__ import annotations

import mmap
import struct
import subprocess
from pathlib import Path

SOURCE = Path(__file__).parent / "fault_shim.c"
CONTROL_FORMAT = struct.Struct("4d")


def build_shim(folder: Path) -> Path:
    """Compile the library into a folder.

    Raises:
        subprocess.CalledProcessError: The compiler has failed.
    """
    library = folder / "fault_shim.so"
    command = ["cc", "-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True)
    return library


class ShimControl:
    """The page that the library of one gateway reads at each call.

    Attributes:
        path: The file that is mapped.
        wall_step_s: What is added to the wall clock.
        tcp_percent: Chance of a fault of a call on a TCP socket.
        unix_percent: The same on a Unix socket, and where a descriptor is duplicated.
        file_percent: The same where a file is opened, bound or renamed.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        path.write_bytes(bytes(CONTROL_FORMAT.size))
        with path.open("r+b") as file:
            self._page = mmap.mmap(file.fileno(), CONTROL_FORMAT.size)
        self.wall_step_s = 0.0
        self.tcp_percent = 0.0
        self.unix_percent = 0.0
        self.file_percent = 0.0

    def apply(self) -> None:
        """Let the library read what is set here from now on."""
        values = (self.wall_step_s, self.tcp_percent, self.unix_percent, self.file_percent)
        self._page[:] = CONTROL_FORMAT.pack(*values)
