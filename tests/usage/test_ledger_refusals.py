"""A ledger goes on while its disk refuses single writes.

What happened: with 5 of 1,000 writes refused, `usage.disk_refused` came 16 times in three rounds of a fleet of five.
Each begins a gap of a second, in which use stands in memory alone, and new work is refused where `on-disk-failure`
says so.

Cause: one refused write was taken for a disk that refuses, as by the copies' store; the next write would go well.
"""

from __future__ import annotations

import errno

import pytest
from storage.sim_files import SimFiles
from usage.test_ledger_stops import BEGIN, FOLDER, ROW, Life

from flintshift.usage.folder import load
from flintshift.usage.records import FINAL, GONE

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
async def test_a_single_refused_write_is_no_gap_and_refuses_no_work(error):
    files = SimFiles()
    life = Life(files, BEGIN, durability="process-death", refuse=True)
    await life.tick()
    files.failures = {files.operation_count + 1: error}
    life.ledger.claim(b"a" * 8, ROW + GONE, FINAL, 10, 1, 2, 5, None)
    life.ledger._flush()
    assert not life.ledger.refusing
    assert "usage.disk_refused" not in [event for event, _ in life.told]
    book, reach, _ = load(files, FOLDER)
    assert reach.truncated_bytes == 0
    assert sum(row[0] for period in book.state.periods.values() for row in period.rows.values()) == 1


async def test_a_disk_that_refuses_twice_is_a_gap_and_refuses_work():
    files = SimFiles()
    life = Life(files, BEGIN, durability="process-death", refuse=True)
    await life.tick()
    files.failures = {files.operation_count + place: errno.ENOSPC for place in (1, 2, 3)}
    life.ledger.claim(b"a" * 8, ROW + GONE, FINAL, 10, 1, 2, 5, None)
    life.ledger._flush()
    assert life.ledger.refusing
    assert "usage.disk_refused" in [event for event, _ in life.told]
