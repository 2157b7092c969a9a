"""Tells permanent failures of system calls from transient ones.

A call may fail transiently with any error of its manual page, and with others. So each error that is not known to be
permanent counts as transient, and the caller that retries bounds the time of its retries.
"""

from __future__ import annotations

import errno

PERMANENT_ERRNOS = frozenset(
    {
        errno.EACCES,
        errno.EPERM,
        errno.EROFS,
        errno.ENOENT,
        errno.ENOTDIR,
        errno.EISDIR,
        errno.ELOOP,
        errno.ENAMETOOLONG,
        errno.EAFNOSUPPORT,
        errno.EPROTONOSUPPORT,
        errno.EOPNOTSUPP,
        errno.ENOSYS,
    }
)
"""A permission, a file, a name or a feature of the system is missing: the call fails until somebody changes that."""


def is_transient(error: OSError) -> bool:
    """Whether the same call may succeed later without any change by an operator.

    >>> is_transient(OSError(errno.EADDRNOTAVAIL, "")), is_transient(OSError(errno.EACCES, ""))
    (True, False)
    """
    return error.errno not in PERMANENT_ERRNOS
