"""The Unix socket at which the next process of a gateway connects to the previous one."""

from __future__ import annotations

import errno
import logging
import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from quota_gateway.net.address import Address
from quota_gateway.net.transient_errors import BIND_ERRORS, SHORTAGE_ERRORS

log = logging.getLogger(__name__)

BACKLOG_PROCESSES = 4  # processes that connect at the same time; one is expected
OWNER_ONLY_MODE = 0o600  # a process that may connect can receive the clients' connections


def rendezvous_path(address: Address) -> Path | None:
    """Return the path of the rendezvous socket of the gateway at this address, None without $TMPDIR."""
    folder = os.environ.get("TMPDIR")
    return Path(folder) / f"handover-{address[0]}-{address[1]}" if folder else None


@contextmanager
def _short_name(path: Path) -> Iterator[str]:
    """Yield a name of the path that is short enough for a Unix socket; it is valid inside the block only."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def connect(path: Path) -> socket.socket | None:
    """Connect to the process that listens at the path.

    Returns:
        The connected socket, None if no process listens there or Unix sockets are refused.

    Raises:
        OSError: Descriptors, memory or the listener's backlog are exhausted; a later call may succeed.
    """
    try:
        with _short_name(path) as name:
            return _open_connection(name)
    except OSError as error:
        if error.errno in SHORTAGE_ERRORS:
            raise
        if error.errno != errno.ENOENT:  # a missing path is expected: this is the first process
            log.info("handover not requested path=%s reason=%r", path, error)
        return None


def _open_connection(name: str) -> socket.socket:
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.setblocking(False)
        sock.connect(name)
    except OSError:
        sock.close()
        raise
    return sock


def listen(path: Path) -> socket.socket | None:
    """Listen at the path. A socket that is there already is replaced, even if it is in use.

    Returns:
        The listening socket, None if Unix sockets are refused.

    Raises:
        OSError: Descriptors, memory or disk are short, or the name is in use; a later call may succeed.
    """
    try:
        with _short_name(path) as name:
            return _open_listener(name)
    except OSError as error:
        if error.errno in BIND_ERRORS:
            raise
        log.info("handover listener failed path=%s reason=%r", path, error)
        return None


def _open_listener(name: str) -> socket.socket:
    """Bind to a temporary name first, then rename it, so that the path always has a listener."""
    temporary_name = Path(f"{name}.{os.getpid()}")
    with suppress(FileNotFoundError):
        temporary_name.unlink()
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        listener.setblocking(False)
        listener.bind(str(temporary_name))
        temporary_name.chmod(OWNER_ONLY_MODE)
        listener.listen(BACKLOG_PROCESSES)
        temporary_name.rename(name)
    except OSError:
        listener.close()
        raise
    return listener
