"""A ledger must continue while its disk refuses single writes.

With 5 of 1,000 writes refused, `usage.disk_refused` was logged 16 times in three rounds of a cluster of five. Each
begins a gap of a second, during which use is only in memory, and new work is rejected where `on-disk-failure` says so.
The cause was that one refused write counted as a failed disk, as in the replicas' store, although the next write would
have succeeded.
"""

from __future__ import annotations

import errno

import pytest
from storage.sim_files import SimFiles
from usage.test_ledger_stops import FOLDER, ROW, START_MS, SimulatedLedger

from flintshift.usage.folder import load
from flintshift.usage.records import FLAG_NO_ANSWER, GONE

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
async def test_a_single_refused_write_makes_no_gap_and_rejects_no_work(error):
    files = SimFiles()
    simulated = SimulatedLedger(files, START_MS, durability="process-death", reject_on_disk_failure=True)
    await simulated.tick()
    files.failures = {files.operation_count + 1: error}
    simulated.ledger.claim(b"a" * 8, ROW + GONE, FLAG_NO_ANSWER, 10, 1, 2, 5, None)
    simulated.ledger._flush()
    assert not simulated.ledger.rejects_work
    assert "usage.disk_refused" not in [event for event, _ in simulated.events]
    accounts, reach, _ = load(files, FOLDER)
    assert reach.truncated_bytes == 0
    assert sum(row[0] for period in accounts.state.periods.values() for row in period.rows.values()) == 1


async def test_repeatedly_refused_writes_make_a_gap_and_reject_work():
    files = SimFiles()
    simulated = SimulatedLedger(files, START_MS, durability="process-death", reject_on_disk_failure=True)
    await simulated.tick()
    files.failures = {files.operation_count + offset: errno.ENOSPC for offset in (1, 2, 3)}
    simulated.ledger.claim(b"a" * 8, ROW + GONE, FLAG_NO_ANSWER, 10, 1, 2, 5, None)
    simulated.ledger._flush()
    assert simulated.ledger.rejects_work
    assert "usage.disk_refused" in [event for event, _ in simulated.events]
