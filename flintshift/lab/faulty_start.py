"""Starts of a real node while system calls of its process fail: how one ends, and after how long.

A fault strikes one call at a rate for a span after the process's start; `play` starts a node under some of them, takes
them back when their time is over, and tells what came of the start.
"""

from __future__ import annotations

import asyncio
import errno
import random
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from flintshift.lab.rig import Rig
from flintshift.lab.syscall_faults import NO_FAULTS, Call, Rates, SyscallFaults

READY_S = 30.0  # a process has so long to be ready, as the platform's pages tell
DISK_S = 2.0  # that a disk refuses writes for


ABORTING_CALLS = frozenset({Call.EPOLL_CTL, Call.PIPE, Call.OPEN})
"""Calls that a start outlasts only while each of them fails: where single ones do, the event loop's library aborts the
process, or a module of the program can't be imported."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A call that fails from a process's first moment on."""

    call: Call
    rate: int  # of 1,000 calls
    error: int = 0  # errno; 0: drawn anew for each call, of those that may pass
    lasts_s: float = 3.0


@dataclass(frozen=True, slots=True)
class StartResult:
    """What came of a start."""

    ready_s: float | None  # from the process's start to its first report that it serves; None: never
    exit_code: int | None  # of a process that ended before it was told to; None: it did not
    left: int | None  # the exit code after the notice to leave; None: it had ended before
    said: str  # on standard error

    @property
    def served(self) -> bool:
        """It was ready in time, and left when it was told to."""
        return self.ready_s is not None and self.ready_s <= READY_S and self.exit_code is None and self.left == 0


async def play(
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
    """Start a node under these faults, let it serve for a moment, and tell it to leave. ``disk``: of 1,000 writes and
    syncs of files so many fail for ``DISK_S``. ``disk_span``: of these calls, counted from 0, so many fail from that
    one on. ``host``: as its configuration names the machine."""
    folder.mkdir(parents=True, exist_ok=True)
    shared, errors = SyscallFaults(folder / "faults", seed=seed), folder / "stderr"
    rig = Rig(
        folder,
        settings=settings,
        uwsgi=uwsgi,
        control=control,
        environment=shared.environment,
        ready_s=READY_S,
        host=host,
    )
    async with rig:
        await rig.leave()
        for fault in faults:
            shared.fail_call(fault.call, fault.rate, fault.error)
        shared.set_rates(Rates(disk=disk))
        shared.fail_disk_calls(*disk_span)
        began, ready_s = time.monotonic(), None
        taking_back = asyncio.create_task(_take_back(shared, faults, DISK_S if disk else 0.0))
        with errors.open("wb") as stderr:
            try:
                await rig.start(stderr)
                ready_s = time.monotonic() - began
            except (RuntimeError, TimeoutError):
                pass
        assert rig.process is not None
        await taking_back
        await asyncio.sleep(0.2)
        exit_code = rig.process.returncode
        left = None if exit_code is not None else await rig.leave()
    return StartResult(ready_s, exit_code, left, errors.read_text(errors="replace"))


async def _take_back(shared: SyscallFaults, faults: list[Fault], disk_s: float) -> None:
    """End each fault when its time is over, those of the disk first."""
    await asyncio.sleep(disk_s)
    shared.set_rates(NO_FAULTS)
    passed_s = disk_s
    for fault in sorted(faults, key=lambda one: one.lasts_s):
        await asyncio.sleep(max(0.0, fault.lasts_s - passed_s))
        passed_s = fault.lasts_s
        shared.fail_call(fault.call, 0)


def drawn(seed: int) -> tuple[list[Fault], bool]:
    """Faults of one to four calls, and whether the uwsgi front is on."""
    draw = random.Random(seed)
    calls = draw.sample([call for call in Call if call not in ABORTING_CALLS], draw.randint(1, 4))
    faults = [
        Fault(call, draw.choice((20, 100, 300, 500, 1000)), lasts_s=draw.choice((1.0, 3.0, 6.0, 9.0))) for call in calls
    ]
    return faults, draw.random() < 0.4


async def soak(seed: int, folder: Path) -> dict[str, Any]:
    """One drawn start: its faults and what came of it."""
    faults, uwsgi = drawn(seed)
    start = await play(faults, folder, seed, uwsgi)
    told = [
        f"{fault.call.name} {fault.rate} {errno.errorcode.get(fault.error, 'any')} {fault.lasts_s:g} s"
        for fault in faults
    ]
    return {"seed": seed, "faults": told, "uwsgi": uwsgi, "served": start.served, **asdict(start)}
