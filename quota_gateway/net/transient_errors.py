"""Transient errors of system calls: the same call may succeed a moment later."""

from __future__ import annotations

import errno

# Descriptors, memory or buffers are temporarily short, or a signal has interrupted the call.
SHORTAGE_ERRORS = frozenset(
    (errno.EAGAIN, errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ETOOMANYREFS)
)
# One connection that waited to be accepted has failed; the next one may be fine (accept(2), Linux).
FAILED_CONNECTION_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    )
)
# Errors of bind: for a while the address or the name is in use, or the disk is full or failing.
BIND_ERRORS = SHORTAGE_ERRORS | {errno.EADDRINUSE, errno.EDQUOT, errno.EIO, errno.ENOSPC}

READ_ERRORS = SHORTAGE_ERRORS | {errno.EIO}  # errors of reading a file that exists


def errno_name(error: OSError) -> str:
    """Return the name of an error's number for the metrics."""
    return errno.errorcode.get(error.errno or 0, "unknown")
