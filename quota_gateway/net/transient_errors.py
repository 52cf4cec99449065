"""Transient errors of system calls: the same call may succeed a moment later."""

from __future__ import annotations

import errno

# Descriptors, memory or buffers are short for a moment, or a signal came.
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
# Of a bind: the address or the name is in use, or the folder is full or failing, for a while.
BIND_ERRORS = SHORTAGE_ERRORS | {errno.EADDRINUSE, errno.EDQUOT, errno.EIO, errno.ENOSPC}

READ_ERRORS = SHORTAGE_ERRORS | {errno.EIO}  # of a file that is there


def errno_name(error: OSError) -> str:
    """Return the name of an error's number, for metrics."""
    return errno.errorcode.get(error.errno or 0, "unknown")
