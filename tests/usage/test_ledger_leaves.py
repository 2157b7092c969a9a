"""A ledger that is closed in the middle of an operation of its disk ends whole, and soon.

What happened: found by reading, while a start on a refusing disk was traced; then by these tests. A node that leaves
cancels the task that works on the disk, and closes the ledger.

Sequence: a sync, or the snapshot that ends a gap, is under way in a thread. The cancellation comes; the thread's
result is thrown away. Closing waits 2 s for an operation that nobody does any more, three times in a gap, and what was
booked in memory meanwhile is lost, though the disk takes it again.

Cause: `Ledger.work` took the operation as its own and forgot it when it was cancelled, while `GroupCommit` went on to
take it for under way.

What settled it: 2.0 s and 6.0 s for `close`, and a life without its end, with a disk that takes all.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import threading
import time

import pytest
from storage.sim_files import SimFile, SimFiles
from usage.test_ledger_stops import BEGIN, FOLDER, ROW, Life

from flintshift.usage.folder import load
from flintshift.usage.records import FINAL, GONE

pytestmark = pytest.mark.anyio

SOON_S = 1.0  # the drain ends 0.25 s before the kill; a disk that takes all must not be what costs the rest


class SlowSync:
    """Syncs of the log wait until they are let go."""

    def __init__(self, monkeypatch):
        self.begun, self.go_on = threading.Event(), threading.Event()
        sync = SimFile.sync

        def slow(file):
            self.begun.set()
            self.go_on.wait(5)
            sync(file)

        monkeypatch.setattr(SimFile, "sync", slow)


async def cancelled_in_the_middle(ledger, slow):
    task = asyncio.create_task(ledger.work())
    await asyncio.to_thread(slow.begun.wait, 5)
    task.cancel()
    slow.go_on.set()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def closed_in(ledger):
    ledger.due = False
    began = time.monotonic()
    await ledger.close()
    return time.monotonic() - began


async def test_a_sync_that_the_exit_cancelled_is_made_again(monkeypatch):
    files = SimFiles()
    life = Life(files, BEGIN)
    await life.tick()
    slow = SlowSync(monkeypatch)
    life.ledger.claim(b"a" * 8, ROW + GONE, FINAL, 10, 1, 2, 5, None)
    life.ledger._flush()
    assert life.ledger.operation is not None
    await cancelled_in_the_middle(life.ledger, slow)
    assert await closed_in(life.ledger) < SOON_S
    book, _, _ = load(files, FOLDER)
    assert book.state.ended


async def test_what_was_booked_in_a_gap_is_written_though_the_exit_cancelled_its_snapshot(monkeypatch):
    files = SimFiles()
    life = Life(files, BEGIN, reopen_interval_ms=10.0)
    await life.tick()
    files.failures = {files.operation_count + place: errno.ENOSPC for place in range(1, 1000)}
    life.ledger.claim(b"a" * 8, ROW + GONE, FINAL, 10, 1, 2, 5, None)
    life.ledger._flush()
    assert life.ledger.commit.gap is not None
    files.failures = {}
    life.at_ms += 100
    slow = SlowSync(monkeypatch)
    life.ledger._woken()
    assert life.ledger.operation is not None
    await cancelled_in_the_middle(life.ledger, slow)
    assert await closed_in(life.ledger) < SOON_S
    book, _, _ = load(files, FOLDER)
    assert book.state.ended
    assert sum(row[0] for period in book.state.periods.values() for row in period.rows.values()) == 1
