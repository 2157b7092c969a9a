"""Tests of what is removed from the ledger's folder, and of damaged snapshots and missing logs."""

from __future__ import annotations

from pathlib import Path

import pytest
from storage.sim_files import SimFiles

from flintshift.storage.files import DiskFiles
from flintshift.storage.log import list_segments
from flintshift.storage.snapshot import DamagedError, publish
from flintshift.usage import documents
from flintshift.usage.folder import LedgerFolder, load, read_documents, retire, snapshot_sequences
from flintshift.usage.messages import Tick
from flintshift.usage.policy import LedgerPolicy
from flintshift.usage.records import FLAG_NO_ANSWER, Claim

FOLDER = Path("/u")
DAY_MS = 86_400_000.0


def make_ledger(files, periods=6):
    """Make a ledger with one closed period per second, each with its own segment and snapshot."""
    ledger_folder = LedgerFolder(files, FOLDER)
    ledger_folder.open("n1", b"l" * 16, 1000, ["a"], ["look"], 0)
    policy = LedgerPolicy(ledger_folder.accounts, 0)
    for number in range(periods + 1):
        files.now_ms = number * 1000.0
        for action in policy.handle(files.now_ms, Tick()):
            ledger_folder.append([action.entry])
        ledger_folder.append([Claim(number.to_bytes(8, "big"), 0, FLAG_NO_ANSWER, 1, 0, 1, 1)])
        sequence, data = ledger_folder.accounts.state.sequence, ledger_folder.snapshot_now()
        ledger_folder.log.begin_segment()
        ledger_folder.write_snapshot(sequence, data)
    ledger_folder.write_documents(ledger_folder.accounts.state.documents)
    return ledger_folder


def acknowledge(files, names):
    files.make_folder(FOLDER / "acks" / "http")
    for name in names:
        publish(files, FOLDER / "acks" / "http" / name, b"digest")


def count_files(files):
    return (
        len(read_documents(files, FOLDER)),
        len(list_segments(files, FOLDER / "log")),
        len(snapshot_sequences(files, FOLDER)),
    )


def test_without_a_sink_no_document_or_segment_is_removed():
    files = SimFiles()
    make_ledger(files)
    before = count_files(files)
    retire(files, FOLDER, [], 0.0, 99 * DAY_MS, 6000)
    assert count_files(files) == (*before[:2], 2)  # two snapshots are retained


def test_an_unexported_document_is_retained_with_the_segments_of_its_records():
    files = SimFiles()
    make_ledger(files)
    state = load(files, FOLDER)[0].state
    names = list(read_documents(files, FOLDER))
    acknowledge(files, names[:2])
    removal = retire(files, FOLDER, ["http"], 0.0, 99 * DAY_MS, 6000)
    remaining = list(read_documents(files, FOLDER))
    assert remaining == names[2:] and removal.retired_before_ms == 2000
    first_needed = read_documents(files, FOLDER)[remaining[0]].first_sequence
    assert list_segments(files, FOLDER / "log")[0][0] <= first_needed
    assert removal.segments and load(files, FOLDER)[0].state == state


def test_an_exported_document_is_retained_for_the_retention_time():
    files = SimFiles()
    make_ledger(files)
    state = load(files, FOLDER)[0].state
    acknowledge(files, read_documents(files, FOLDER))
    assert retire(files, FOLDER, ["http"], DAY_MS, DAY_MS - 1, 6000).retired_before_ms is None
    assert count_files(files)[:2] == (6, 8)
    # Corrections of periods before this time may be forgotten too.
    assert retire(files, FOLDER, ["http"], DAY_MS, 2 * DAY_MS, 6000).retired_before_ms == 6000
    assert count_files(files) == (0, 2, 2) and files.names(FOLDER / "acks" / "http") == []
    assert load(files, FOLDER)[0].state == state


def test_an_older_snapshot_replaces_a_damaged_one_with_a_warning():
    files = SimFiles()
    make_ledger(files)
    state = load(files, FOLDER)[0].state
    newest = FOLDER / "snapshots" / f"{snapshot_sequences(files, FOLDER)[0]:016x}.snapshot"
    files.current_files[newest].data[30] ^= 1
    accounts, _, recovery = load(files, FOLDER)
    assert accounts.state == state and "an older one is used" in recovery.warnings[0]


def test_a_folder_whose_log_is_missing_is_not_taken_for_a_new_one(tmp_path):
    (tmp_path / "documents").mkdir()
    (tmp_path / "documents" / f"n1.e1.{documents.utc(0)}.r0.usage").write_bytes(b"")
    with pytest.raises(DamagedError, match="documents are present, but the log and the snapshots are missing"):
        LedgerFolder(DiskFiles(), tmp_path)


def test_acknowledgements_left_by_a_crash_and_old_replies_are_removed():
    files = SimFiles()
    make_ledger(files)
    acknowledge(files, [*read_documents(files, FOLDER), "n0.of-a-removed-document.usage"])
    files.make_folder(FOLDER / "replies")
    publish(files, FOLDER / "replies" / "old.json", b"{}")
    files.now_ms = 2 * DAY_MS
    publish(files, FOLDER / "replies" / "new.json", b"{}")
    retire(files, FOLDER, ["http"], 99 * DAY_MS, 2 * DAY_MS, 6000)
    assert len(files.names(FOLDER / "acks" / "http")) == 6 == count_files(files)[0]
    assert files.names(FOLDER / "replies") == ["new.json"]
