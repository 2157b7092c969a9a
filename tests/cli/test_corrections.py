"""Corrections by the command line of ledgers of which other members hold replicas, and of the replicas themselves."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from flintshift.cli.main import main
from flintshift.storage.files import DiskFiles
from flintshift.usage.folder import LedgerFolder
from flintshift.usage.records import Rotated
from flintshift.usage.replica import EpochGrant, write_epoch_grant

LEDGER = b"\1" * 16
GRANTED_EPOCH = 7
FILES = DiskFiles()


@pytest.fixture
def folder(tmp_path):
    """A replicated ledger with an open period, on which no node runs."""
    folder = tmp_path / "usage"
    ledger_folder = LedgerFolder(FILES, folder)
    ledger_folder.log.epoch = GRANTED_EPOCH
    ledger_folder.open("n1", LEDGER, 1000, ["sur-pacers"], ["standings"], 5000)
    ledger_folder.append([Rotated(5000, 1000)])
    ledger_folder.close()
    write_epoch_grant(FILES, folder, EpochGrant(LEDGER, 0, 0, True, GRANTED_EPOCH))
    return folder


CORRECTION = (
    *("--id", "c1", "--author", "jo", "--reason", "counted by hand", "--period", "19700101T000005.000Z"),
    *("--club", "sur-pacers", "--class", "standings", "--front", "http", "--outcome", "served", "--by", "requests=2"),
)


def correct(folder: Path, *options: str):
    return CliRunner().invoke(main, ["usage", "correct", "--folder", str(folder), *CORRECTION, *options])


def test_the_command_line_leaves_a_correction_of_a_replicated_ledger_to_its_node(folder):
    """Guards against a command that writes to a ledger which another member may have taken over."""
    before = {path: path.read_bytes() for path in (folder / "log").iterdir()}
    result = correct(folder)
    assert result.exit_code == 0 and "is left for the node" in result.output
    assert {path: path.read_bytes() for path in (folder / "log").iterdir()} == before
    assert [path.name for path in (folder / "inbox").iterdir()] == ["c1.json"]


def test_the_command_line_rejects_a_correction_that_the_node_would_reject(folder):
    result = correct(folder, "--club", "nobody")
    assert result.exit_code == 3 and "is unknown" in result.output
    assert list((folder / "inbox").iterdir()) == []


def test_the_command_line_corrects_no_replica_of_a_ledger(folder):
    (folder / "COPIED").unlink()
    (folder / "COPY").write_bytes(b"")
    before = {path: path.read_bytes() for path in (folder / "log").iterdir()}
    result = correct(folder)
    assert result.exit_code == 1 and "is a replica of another member's ledger" in result.output
    assert {path: path.read_bytes() for path in (folder / "log").iterdir()} == before
