"""The signals that a node heeds, held back by the system while there is nobody in the process to heed them.

The default action of each of them ends the process: at once, without an answer to what was read, and with an exit code
that looks like a crash. So they are held from the first line of a start until the node receives them as messages, and
again once it has left; what is sent meanwhile is received late, or finds the process gone. This module is imported
before all others, so it imports nothing that takes long.
"""

from __future__ import annotations

import signal

HEEDED = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
NOTICES = (signal.SIGTERM, signal.SIGINT)  # to leave
AT_START = (signal.SIGTERM, signal.SIGUSR1, signal.SIGHUP)  # SIGINT: a person may give up a start that does not begin


def block_at_start() -> None:
    """Keep the signals until `release`; for a process that has only begun."""
    signal.pthread_sigmask(signal.SIG_BLOCK, AT_START)


def told_to_leave() -> bool:
    """The notice to leave is held: it came before the process could receive it."""
    return not signal.sigpending().isdisjoint(NOTICES)


def release() -> None:
    """What was held is received from now on."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HEEDED)


def hold() -> None:
    """Nothing is left that a signal could change: it must not end the process at its exit."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HEEDED)
