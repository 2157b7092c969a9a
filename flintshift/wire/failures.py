"""Which failures of system calls last, and which may pass.

A call may fail for a moment in any way that its manual page names, and in ways that it does not. So what is not known
to last is taken for passing, and whoever tries again sets a bound on the time.
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
"""A right, a file, a name or a feature of the system is missing: only somebody who changes that helps."""


def is_transient(error: OSError) -> bool:
    """The same call may go well later, with nothing changed by anybody.

    >>> is_transient(OSError(errno.EADDRNOTAVAIL, "")), is_transient(OSError(errno.EACCES, ""))
    (True, False)
    """
    return error.errno not in PERMANENT_ERRNOS
