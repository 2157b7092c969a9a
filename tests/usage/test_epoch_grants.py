"""Only records under an epoch that a majority of the replicas granted count as a position of a replicated ledger."""

from __future__ import annotations

from pathlib import Path

import pytest

from flintshift.storage.files import DiskFiles
from flintshift.usage.folder import LedgerFolder, load
from flintshift.usage.records import Published
from flintshift.usage.replica import EpochGrant, position_before_grant, write_epoch_grant

LEDGER = b"\1" * 16
GRANTED_EPOCH = 7
FILES = DiskFiles()


def write_records(folder: Path, epoch: int, count: int) -> None:
    """Write records under an epoch, as a process does that opens the folder."""
    ledger_folder = LedgerFolder(FILES, folder)
    ledger_folder.log.epoch = epoch
    if not ledger_folder.accounts.state.life:
        ledger_folder.open("n1", LEDGER, 1000, ["sur-pacers"], ["standings"], 5000)
        count -= 1
    ledger_folder.append([Published(0)] * count)
    ledger_folder.close()


@pytest.fixture
def folder(tmp_path):
    """A ledger with five records under an epoch that was granted."""
    folder = tmp_path / "usage"
    write_records(folder, GRANTED_EPOCH, 5)
    write_epoch_grant(FILES, folder, EpochGrant(LEDGER, 0, 0, True, GRANTED_EPOCH))
    return folder


def position(folder: Path) -> tuple[int, int]:
    return position_before_grant(FILES, folder, LEDGER, load(FILES, folder)[2].last_sequences)


def test_records_of_a_granted_epoch_count(folder):
    assert position(folder) == (GRANTED_EPOCH, 5)


@pytest.mark.parametrize("epochs", [(8,), (8, 9), (9,)])
def test_records_that_another_writer_added_under_epochs_that_nobody_granted_do_not_count(folder, epochs):
    """Guards against a ledger that goes on at its old node too: such records made it look newer than its takeover."""
    for epoch in epochs:
        write_records(folder, epoch, 2)
    assert position(folder) == (GRANTED_EPOCH, 5)
    assert position(folder) == (GRANTED_EPOCH, 5)  # the next incarnation, which was not elected in between


def test_a_snapshot_under_an_epoch_that_nobody_granted_does_not_count(folder):
    ledger_folder = LedgerFolder(FILES, folder)
    ledger_folder.append([Published(0)])
    ledger_folder.write_snapshot(6, ledger_folder.snapshot_now())
    ledger_folder.log.begin_segment()
    ledger_folder.close()
    assert position(folder) == (0, 0)  # where the ledger was when it was elected last


def test_a_grant_of_an_earlier_version_counts_all_records(folder):
    write_records(folder, 8, 2)
    write_epoch_grant(FILES, folder, EpochGrant(LEDGER, 0, 0, True))
    assert position(folder) == (8, 7)
