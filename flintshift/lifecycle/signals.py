"""Blocks the signals that a node handles while no code of the process can handle them.

The default action of each of them ends the process: at once, without an answer to the requests that were read, and with
an exit code that looks like a crash. So the system blocks them from the first line of a start until the node receives
them as messages, and again after the node has stopped. A signal that is sent meanwhile is received late, or finds the
process ended. This module is imported before all others, so it imports nothing that takes long.
"""

from __future__ import annotations

import signal

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)  # each of them is a shutdown notice
BLOCKED_AT_START = (signal.SIGTERM, signal.SIGUSR1, signal.SIGHUP)  # not SIGINT: a person may abort a start that hangs


def block_at_start() -> None:
    """Block the signals until `unblock`, in a process that has just begun."""
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_AT_START)


def shutdown_pending() -> bool:
    """Return whether a shutdown notice is pending: it arrived before the process could receive it."""
    return not signal.sigpending().isdisjoint(SHUTDOWN_SIGNALS)


def unblock() -> None:
    """Receive signals from now on, those that were blocked included."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def block() -> None:
    """Block the signals after the node has stopped: there is nothing left to do for them, and they must not end the
    process during its exit."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
