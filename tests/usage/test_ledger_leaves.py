"""A ledger that is closed during a disk operation must close quickly and lose nothing.

A node that stops cancels the task that runs disk operations, and closes the ledger. If a sync, or the snapshot that
ends a gap, was running in a thread, its result was dropped: `Ledger.run_disk_operation` forgot the cancelled operation
while `GroupCommit` still took it for running. `close` then waited 2 s for it, three times in a gap (2.0 s and 6.0 s in
all), wrote no clean end, and lost the use that was recorded in memory, although the disk accepted writes again.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import threading
import time

import pytest
from storage.sim_files import SimFile, SimFiles
from usage.test_ledger_stops import FOLDER, ROW, START_MS, SimulatedLedger

from flintshift.usage.folder import load
from flintshift.usage.records import FLAG_NO_ANSWER, GONE

pytestmark = pytest.mark.anyio

MAX_CLOSE_S = 1.0  # the drain ends 0.25 s before the kill, and a working disk must not use up the rest


class SlowSync:
    """Makes syncs of the log wait until ``may_continue`` is set."""

    def __init__(self, monkeypatch):
        self.sync_began, self.may_continue = threading.Event(), threading.Event()
        original_sync = SimFile.sync

        def slow_sync(file):
            self.sync_began.set()
            self.may_continue.wait(5)
            original_sync(file)

        monkeypatch.setattr(SimFile, "sync", slow_sync)


async def cancel_disk_operation(ledger, slow_sync):
    task = asyncio.create_task(ledger.run_disk_operation())
    await asyncio.to_thread(slow_sync.sync_began.wait, 5)
    task.cancel()
    slow_sync.may_continue.set()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def close_and_time(ledger):
    ledger.flush_scheduled = False
    began_s = time.monotonic()
    await ledger.close()
    return time.monotonic() - began_s


async def test_a_sync_that_was_cancelled_at_exit_is_repeated(monkeypatch):
    files = SimFiles()
    simulated = SimulatedLedger(files, START_MS)
    await simulated.tick()
    slow_sync = SlowSync(monkeypatch)
    simulated.ledger.claim(b"a" * 8, ROW + GONE, FLAG_NO_ANSWER, 10, 1, 2, 5, None)
    simulated.ledger._flush()
    assert simulated.ledger.disk_operation is not None
    await cancel_disk_operation(simulated.ledger, slow_sync)
    assert await close_and_time(simulated.ledger) < MAX_CLOSE_S
    accounts, _, _ = load(files, FOLDER)
    assert accounts.state.ended


async def test_use_recorded_in_a_gap_is_written_although_its_snapshot_was_cancelled_at_exit(monkeypatch):
    files = SimFiles()
    simulated = SimulatedLedger(files, START_MS, reopen_interval_ms=10.0)
    await simulated.tick()
    files.failures = {files.operation_count + offset: errno.ENOSPC for offset in range(1, 1000)}
    simulated.ledger.claim(b"a" * 8, ROW + GONE, FLAG_NO_ANSWER, 10, 1, 2, 5, None)
    simulated.ledger._flush()
    assert simulated.ledger.commit.gap is not None
    files.failures = {}
    simulated.at_ms += 100
    slow_sync = SlowSync(monkeypatch)
    simulated.ledger._on_timer()
    assert simulated.ledger.disk_operation is not None
    await cancel_disk_operation(simulated.ledger, slow_sync)
    assert await close_and_time(simulated.ledger) < MAX_CLOSE_S
    accounts, _, _ = load(files, FOLDER)
    assert accounts.state.ended
    assert sum(row[0] for period in accounts.state.periods.values() for row in period.rows.values()) == 1
