"""Ends a node as the platform does: SIGTERM, then SIGKILL after the grace period, sent by a separate process.

The callers of a soak share one event loop, which may be hundreds of milliseconds late under load. A timer there can
neither kill a node on time nor decide whether it had exited before: the loop sees the timer and the exit in the same
iteration.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import select
import signal
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path

SAMPLE_MS = 20.0  # interval between two readings of a process's scheduler times


def now_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * 1000


@dataclass(frozen=True, slots=True)
class Departure:
    """How a process ended after its notice; times are milliseconds since the notice."""

    left_ms: float | None  # None: it was killed
    killed_ms: float | None  # None: it exited by itself
    ran_ms: float  # time on a core
    waited_ms: float  # time runnable, waiting for a core


class Termination:
    """Ends one process; ``grace_ms`` is the time from SIGTERM to SIGKILL."""

    def __init__(self, process: asyncio.subprocess.Process, grace_ms: float) -> None:
        self.process, self.grace_ms = process, grace_ms

    async def prepare(self) -> None:
        """Start the process that sends SIGKILL, before the grace period begins."""
        command = [sys.executable, "-m", __name__, str(self.process.pid)]
        self.killer = await asyncio.create_subprocess_exec(
            *command, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE
        )
        assert self.killer.stdout is not None
        await self.killer.stdout.readline()

    def send_notice(self) -> float:
        """Send SIGTERM; returns the monotonic time at which it was sent, in milliseconds."""
        assert self.killer.stdin is not None
        notice_ms = now_ms()
        self.process.send_signal(signal.SIGTERM)
        self.killer.stdin.write(f"{notice_ms} {self.grace_ms}\n".encode())
        return notice_ms

    async def wait_for_departure(self) -> Departure:
        """Wait until the process has exited or was killed."""
        assert self.killer.stdout is not None
        departure = json.loads(await self.killer.stdout.readline())
        await self.killer.wait()
        return Departure(**departure)


def core_times_ms(pid: int) -> tuple[float, float]:
    """How long a process's main thread has run on a core, and has waited for one, since its start (proc(5)).

    Returns:
        Both times, in milliseconds.
    """
    ran_ns, waited_ns, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(ran_ns) / 1e6, int(waited_ns) / 1e6


def kill_after_grace(pid: int) -> Departure:
    """Read the time of the notice and the grace period from standard input; wait for the exit, or kill the process."""
    process_fd = os.pidfd_open(pid)
    print("ready", flush=True)
    notice_ms, grace_ms = map(float, sys.stdin.readline().split())
    start_ran_ms, start_waited_ms = core_times_ms(pid)
    last_ran_ms, last_waited_ms = start_ran_ms, start_waited_ms
    exits = select.poll()
    exits.register(process_fd, select.POLLIN)
    while True:
        remaining_ms = notice_ms + grace_ms - now_ms()
        exited = exits.poll(max(0.0, min(remaining_ms, SAMPLE_MS)))
        if exited or remaining_ms <= 0:
            break
        with contextlib.suppress(OSError):  # the process has just ended, and its times can no longer be read
            last_ran_ms, last_waited_ms = core_times_ms(pid)
    after_ms = now_ms() - notice_ms
    in_time = bool(exited) and after_ms <= grace_ms
    if not in_time:
        signal.pidfd_send_signal(process_fd, signal.SIGKILL)
    return Departure(
        left_ms=after_ms if in_time else None,
        killed_ms=None if in_time else after_ms,
        ran_ms=last_ran_ms - start_ran_ms,
        waited_ms=last_waited_ms - start_waited_ms,
    )


if __name__ == "__main__":
    print(json.dumps(asdict(kill_after_grace(int(sys.argv[1])))), flush=True)
