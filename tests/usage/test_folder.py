"""What goes from the ledger's folder, and when; snapshots that can't be used."""

from __future__ import annotations

from pathlib import Path

import pytest
from storage.sim_files import SimFiles

from flintshift.storage.files import DiskFiles
from flintshift.storage.log import list_segments
from flintshift.storage.snapshot import DamagedError, publish
from flintshift.usage import documents
from flintshift.usage.folder import LedgerFolder, load, read_documents, retire, snapshots
from flintshift.usage.keeper import Keeper
from flintshift.usage.messages import Tick
from flintshift.usage.records import FINAL, Claim

FOLDER = Path("/u")
DAY = 86_400_000.0


def ledger(files, periods=6):
    """One closed period a second, each with its own segment and snapshot."""
    holder = LedgerFolder(files, FOLDER)
    holder.open("n1", b"l" * 16, 1000, ["a"], ["look"], 0)
    keeper = Keeper(holder.book, 0)
    for number in range(periods + 1):
        files.now_ms = number * 1000.0
        for action in keeper.handle(files.now_ms, Tick()):
            holder.append([action.entry])
        holder.append([Claim(number.to_bytes(8, "big"), 0, FINAL, 1, 0, 1, 1)])
        sequence, data = holder.book.state.sequence, holder.snapshot_now()
        holder.log.begin_segment()
        holder.write_snapshot(sequence, data)
    holder.write_documents(holder.book.state.documents)
    return holder


def acknowledge(files, names):
    files.make_folder(FOLDER / "acks" / "http")
    for name in names:
        publish(files, FOLDER / "acks" / "http" / name, b"digest")


def standing(files):
    return (
        len(read_documents(files, FOLDER)),
        len(list_segments(files, FOLDER / "log")),
        len(snapshots(files, FOLDER)),
    )


def test_without_a_sink_nothing_goes():
    files = SimFiles()
    ledger(files)
    before = standing(files)
    retire(files, FOLDER, [], 0.0, 99 * DAY, 6000)
    assert standing(files) == (*before[:2], 2)  # of snapshots two are enough


def test_what_a_sink_does_not_have_stays_with_the_segments_that_cover_it():
    files = SimFiles()
    ledger(files)
    state = load(files, FOLDER)[0].state
    names = list(read_documents(files, FOLDER))
    acknowledge(files, names[:2])
    gone = retire(files, FOLDER, ["http"], 0.0, 99 * DAY, 6000)
    left = list(read_documents(files, FOLDER))
    assert left == names[2:] and gone.retired_before_ms == 2000
    first_needed = read_documents(files, FOLDER)[left[0]].first_sequence
    assert list_segments(files, FOLDER / "log")[0][0] <= first_needed
    assert gone.segments and load(files, FOLDER)[0].state == state


def test_what_is_exported_stays_for_its_retention_and_then_goes():
    files = SimFiles()
    ledger(files)
    state = load(files, FOLDER)[0].state
    acknowledge(files, read_documents(files, FOLDER))
    assert retire(files, FOLDER, ["http"], DAY, DAY - 1, 6000).retired_before_ms is None
    assert standing(files)[:2] == (6, 8)
    assert retire(files, FOLDER, ["http"], DAY, 2 * DAY, 6000).retired_before_ms == 6000  # corrections may go too
    assert standing(files) == (0, 2, 2) and files.names(FOLDER / "acks" / "http") == []
    assert load(files, FOLDER)[0].state == state


def test_a_damaged_snapshot_gives_way_to_an_older_one_and_is_told():
    files = SimFiles()
    ledger(files)
    state = load(files, FOLDER)[0].state
    newest = FOLDER / "snapshots" / f"{snapshots(files, FOLDER)[0]:016x}.snapshot"
    files.current_files[newest].data[30] ^= 1
    book, _, found = load(files, FOLDER)
    assert book.state == state and "an older one is used" in found.warnings[0]


def test_a_folder_whose_log_is_gone_is_not_taken_for_a_new_one(tmp_path):
    (tmp_path / "documents").mkdir()
    (tmp_path / "documents" / f"n1.e1.{documents.utc(0)}.r0.usage").write_bytes(b"")
    with pytest.raises(DamagedError, match="documents stand, but the log and the snapshots are gone"):
        LedgerFolder(DiskFiles(), tmp_path)


def test_what_is_left_of_a_death_and_answers_that_nobody_fetched_go():
    files = SimFiles()
    ledger(files)
    acknowledge(files, [*read_documents(files, FOLDER), "n0.of-a-document-that-went.usage"])
    files.make_folder(FOLDER / "replies")
    publish(files, FOLDER / "replies" / "old.json", b"{}")
    files.now_ms = 2 * DAY
    publish(files, FOLDER / "replies" / "new.json", b"{}")
    retire(files, FOLDER, ["http"], 99 * DAY, 2 * DAY, 6000)
    assert len(files.names(FOLDER / "acks" / "http")) == 6 == standing(files)[0]
    assert files.names(FOLDER / "replies") == ["new.json"]
