"""Starts a real node while system calls of its process fail, and reports whether and when it became ready.

A fault makes one system call fail at a rate, for some time after the process's start. `start_under_faults` starts a
node under several faults, ends each of them when its time is up, and returns the result of the start.
"""

from __future__ import annotations

import asyncio
import errno
import random
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from flintshift.lab.single_node_cluster import SingleNodeCluster
from flintshift.lab.syscall_faults import NO_FAULTS, Call, Rates, SyscallFaults

READY_TIMEOUT_S = 30.0  # the time that the platform gives a process to become ready
DISK_FAULT_S = 2.0  # duration of failing writes and syncs


ABORTING_CALLS = frozenset({Call.EPOLL_CTL, Call.PIPE, Call.OPEN})
"""Calls of which a single failure ends a start: the event loop's library aborts the process, or a module of the program
can't be imported. A start survives such a fault only if every call fails while it lasts."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A system call that fails from the start of a process on."""

    call: Call
    rate: int  # of 1,000 calls
    error: int = 0  # errno; 0: drawn for each call from the transient ones
    lasts_s: float = 3.0


@dataclass(frozen=True, slots=True)
class StartResult:
    """How a start ended."""

    ready_s: float | None  # from the process's start to its first report that it serves; None: never
    exit_code: int | None  # of a process that exited before the notice to leave; None: it did not
    left: int | None  # the exit code after the notice to leave; None: it had exited before
    said: str  # what the process wrote on standard error

    @property
    def served(self) -> bool:
        """Whether it was ready in time, and exited with code 0 after the notice to leave."""
        return (
            self.ready_s is not None and self.ready_s <= READY_TIMEOUT_S and self.exit_code is None and self.left == 0
        )


async def start_under_faults(
    faults: list[Fault],
    folder: Path,
    seed: int = 1,
    uwsgi: bool = False,
    control: bool = False,
    settings: str | None = None,
    disk: int = 0,
    host: str = "127.0.0.1",
    disk_span: tuple[int, int] = (0, 0),
) -> StartResult:
    """Start a node under these faults, let it serve for a moment, and send it the notice to leave.

    ``disk``: how many of 1,000 writes and syncs of files fail, for ``DISK_FAULT_S``. ``disk_span``: the first of the
    writes and syncs that fail, counted from 0, and how many do. ``host``: the machine's name in the configuration."""
    folder.mkdir(parents=True, exist_ok=True)
    shared, errors = SyscallFaults(folder / "faults", seed=seed), folder / "stderr"
    cluster = SingleNodeCluster(
        folder,
        settings=settings,
        uwsgi=uwsgi,
        control=control,
        environment=shared.environment,
        start_timeout_s=READY_TIMEOUT_S,
        host=host,
    )
    async with cluster:
        await cluster.terminate()
        for fault in faults:
            shared.fail_call(fault.call, fault.rate, fault.error)
        shared.set_rates(Rates(disk=disk))
        shared.fail_disk_calls(*disk_span)
        started_s, ready_s = time.monotonic(), None
        ending_faults = asyncio.create_task(_end_faults(shared, faults, DISK_FAULT_S if disk else 0.0))
        with errors.open("wb") as stderr:
            try:
                await cluster.start(stderr)
                ready_s = time.monotonic() - started_s
            except (RuntimeError, TimeoutError):
                pass
        assert cluster.process is not None
        await ending_faults
        await asyncio.sleep(0.2)
        exit_code = cluster.process.returncode
        left = None if exit_code is not None else await cluster.terminate()
    return StartResult(ready_s, exit_code, left, errors.read_text(errors="replace"))


async def _end_faults(shared: SyscallFaults, faults: list[Fault], disk_s: float) -> None:
    """End each fault when its time is up, those of the disk first."""
    await asyncio.sleep(disk_s)
    shared.set_rates(NO_FAULTS)
    elapsed_s = disk_s
    for fault in sorted(faults, key=lambda item: item.lasts_s):
        await asyncio.sleep(max(0.0, fault.lasts_s - elapsed_s))
        elapsed_s = fault.lasts_s
        shared.fail_call(fault.call, 0)


def draw_faults(seed: int) -> tuple[list[Fault], bool]:
    """Draw faults of one to four calls, and whether the uwsgi front is on."""
    rng = random.Random(seed)
    calls = rng.sample([call for call in Call if call not in ABORTING_CALLS], rng.randint(1, 4))
    faults = [
        Fault(call, rng.choice((20, 100, 300, 500, 1000)), lasts_s=rng.choice((1.0, 3.0, 6.0, 9.0))) for call in calls
    ]
    return faults, rng.random() < 0.4


async def soak(seed: int, folder: Path) -> dict[str, Any]:
    """Start a node under faults drawn by the seed; returns the faults and the result."""
    faults, uwsgi = draw_faults(seed)
    start = await start_under_faults(faults, folder, seed, uwsgi)
    fault_texts = [
        f"{fault.call.name} {fault.rate} {errno.errorcode.get(fault.error, 'any')} {fault.lasts_s:g} s"
        for fault in faults
    ]
    return {"seed": seed, "faults": fault_texts, "uwsgi": uwsgi, "served": start.served, **asdict(start)}
