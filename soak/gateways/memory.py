"""Read how much memory a process has had."""

from __future__ import annotations

from pathlib import Path


def peak_memory_kib(process_id: int) -> int:
    """Return the most memory that a process has had, in KiB, without the pages of files that it has mapped.

    Returns:
        The figure; 0 if the process has ended.
    """
    try:
        lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    except OSError:
        return 0
    figures = dict(line.split(":", 1) for line in lines)
    if "VmHWM" not in figures:
        return 0  # the process has ended, and its parent does not know yet
    peak, files, shared = (int(figures[name].split()[0]) for name in ("VmHWM", "RssFile", "RssShmem"))
    return peak - files - shared
