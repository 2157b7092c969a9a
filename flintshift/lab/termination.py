"""The platform's side of a node's end: SIGTERM, and SIGKILL after the grace period, from a process of its own.

The callers of a soak share one event loop, which may be hundreds of milliseconds late under load. A timer there can
neither kill a node on time nor tell whether it had left: the timer and the node's end are seen in the same turn.
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

SAMPLE_MS = 20.0  # between two looks at a process's times on its cores


def now_ms() -> float:
    return time.monotonic() * 1000


@dataclass(frozen=True, slots=True)
class Departure:
    """How a process left after its notice; milliseconds since then."""

    left_ms: float | None  # None: it was killed
    killed_ms: float | None  # None: it left by itself
    ran_ms: float  # on a core
    waited_ms: float  # for a core, ready to run


class Termination:
    """One process that is to be ended. ``grace_ms`` is the time from SIGTERM to SIGKILL."""

    def __init__(self, process: asyncio.subprocess.Process, grace_ms: float) -> None:
        self.process, self.grace_ms = process, grace_ms

    async def prepare(self) -> None:
        """Start the process that will kill; none of the grace period is spent on that."""
        command = [sys.executable, "-m", __name__, str(self.process.pid)]
        self.killer = await asyncio.create_subprocess_exec(
            *command, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE
        )
        assert self.killer.stdout is not None
        await self.killer.stdout.readline()

    def send_notice(self) -> float:
        """Send SIGTERM; returns when, in milliseconds of the monotonic clock."""
        assert self.killer.stdin is not None
        notice_ms = now_ms()
        self.process.send_signal(signal.SIGTERM)
        self.killer.stdin.write(f"{notice_ms} {self.grace_ms}\n".encode())
        return notice_ms

    async def wait_for_departure(self) -> Departure:
        assert self.killer.stdout is not None
        told = json.loads(await self.killer.stdout.readline())
        await self.killer.wait()
        return Departure(**told)


def core_times_ms(pid: int) -> tuple[float, float]:
    """How long a process's main thread has run on a core, and has waited for one, since its start (proc(5))."""
    ran_ns, waited_ns, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(ran_ns) / 1e6, int(waited_ns) / 1e6


def kill_after_grace(pid: int) -> Departure:
    """Read the notice's time and the grace period from standard input, and outlast the process or kill it."""
    node = os.pidfd_open(pid)
    print("ready", flush=True)
    notice_ms, grace_ms = map(float, sys.stdin.readline().split())
    ran_ms, waited_ms = core_times_ms(pid)
    ran_until_ms, waited_until_ms = ran_ms, waited_ms
    exits = select.poll()
    exits.register(node, select.POLLIN)
    while True:
        left_ms = notice_ms + grace_ms - now_ms()
        left = exits.poll(max(0.0, min(left_ms, SAMPLE_MS)))
        if left or left_ms <= 0:
            break
        with contextlib.suppress(OSError):  # it has ended by now, and nothing is told of it any more
            ran_until_ms, waited_until_ms = core_times_ms(pid)
    after_ms = now_ms() - notice_ms
    in_time = bool(left) and after_ms <= grace_ms
    if not in_time:
        signal.pidfd_send_signal(node, signal.SIGKILL)
    return Departure(
        left_ms=after_ms if in_time else None,
        killed_ms=None if in_time else after_ms,
        ran_ms=ran_until_ms - ran_ms,
        waited_ms=waited_until_ms - waited_ms,
    )


if __name__ == "__main__":
    print(json.dumps(asdict(kill_after_grace(int(sys.argv[1])))), flush=True)
