"""The store of the copies on a disk: which store it is, what it still knows, and whether it votes."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest
from storage.sim_files import SimFiles, StoppedError

from flintshift.copies.messages import NO_BALLOT, Value
from flintshift.copies.registers import Entry
from flintshift.copies.store import CopiesFolder, examined, found_store
from flintshift.core.keys import Stage
from flintshift.interface import Outcome
from flintshift.storage.log import BrokenLogError
from flintshift.storage.snapshot import DamagedError
from flintshift.wire.peer_codec import entry_bytes, entry_from

FOLDER = Path("/srv/copies")
NOW = 1_000_000.0


def entry(number, for_ms=30_000.0, stage=Stage.FINISHED):
    value = Value(stage, f"r{number}", "n1#1", b"p" * 16, for_ms, Outcome.OK, b"result")
    return Entry(("submit-time", f"k{number}"), (2, "n1#1"), (1, "n1#1"), value, for_ms)


def opened(files, now=NOW, member="n1", boot="b1", synced=False, unix_ms=None):
    unix_ms = now if unix_ms is None else unix_ms
    return CopiesFolder(files, FOLDER, member, now, unix_ms, boot, synced, entry_bytes, entry_from)


def founded(files=None):
    files = files or SimFiles()
    found_store(files, FOLDER, NOW, "b1")
    return files


def test_a_founded_store_votes_and_one_that_was_not_does_not():
    assert opened(founded()).found.why_empty == "" and opened(founded()).state.votes
    empty = opened(SimFiles())
    assert empty.found.why_empty == "its disk is empty" and not empty.state.votes


def test_a_store_is_founded_once():
    files = founded()
    with pytest.raises(FileExistsError):
        found_store(files, FOLDER, NOW, "b1")


def test_what_was_written_is_there_again_with_the_time_that_is_left():
    files = founded()
    store = opened(files)
    store.write([entry(1), entry(2, for_ms=500.0)], NOW)
    store.write([Entry(("submit-time", "k3"), (7, "n2#1"), NO_BALLOT, None, 9000.0)], NOW)
    store.close()
    again = opened(files, NOW + 1000.0)
    assert again.state.incarnation == store.state.incarnation
    assert {one.key[1]: one.for_ms for one in again.found.entries} == {"k1": 29_000.0, "k3": 8000.0}
    assert next(one for one in again.found.entries if one.key[1] == "k1").value == entry(1).value


def test_a_clock_set_back_keeps_what_is_held_for_longer_and_never_shorter():
    files = founded()
    store = opened(files)
    store.write([entry(1)], NOW)
    store.close()
    assert [one.for_ms for one in opened(files, NOW - 3_600_000.0).found.entries] == [30_000.0]


@pytest.mark.parametrize(
    ("change", "why", "keeps"),
    [
        ({"member": "n2"}, "that of n1", False),
        ({"boot": "b2"}, "may not have reached the disk", True),
        ({"boot": "b2", "synced": True}, "", True),
    ],
)
def test_a_disk_that_may_not_know_all_is_another_store(change, why, keeps):
    files = founded()
    store = opened(files)
    store.write([entry(1)], NOW)
    store.close()
    again = opened(files, **change)
    assert why in again.found.why_empty and again.state.votes is (why == "")
    assert (len(again.found.entries) == 1) is keeps
    if keeps:
        assert (again.state.incarnation > store.state.incarnation) is (why != "")


def flip(files, path, place):
    files.current_files[path].data[place] ^= 1


def test_a_flipped_byte_is_seen_and_the_store_begins_anew_without_a_vote():
    files = founded()
    store = opened(files)
    store.write([entry(1), entry(2)], NOW)
    log = next(path for path in files.current_files if path.suffix == ".log")
    for place in range(12, len(files.current_files[log].data) - 1, 7):
        flip(files, log, place)
        with pytest.raises(DamagedError):
            examined(files, FOLDER, entry_from)
        flip(files, log, place)
    assert examined(files, FOLDER, entry_from)[1:] == (2, 2)
    store.close()
    flip(files, log, 40)
    again = opened(files)
    assert "damaged" in again.found.why_empty and not again.state.votes and again.found.entries == []


def test_the_machine_stops_at_every_operation_and_nothing_written_is_lost_or_invented():
    """A vote leaves after `write`: whatever it said is there in the next life, unless that life has no vote."""

    def life(files):
        store = opened(files)
        store.write([entry(1)], NOW)
        kept.append("k1")
        store.turn(NOW)
        store.write([entry(2)], NOW)
        kept.append("k2")
        store.turn(NOW + 1.0)

    kept = []
    whole = founded()
    before = whole.operation_count
    life(whole)
    for stop_at in range(before + 1, whole.operation_count + 1):
        for after in (False, True):
            kept = []
            files = founded(SimFiles())
            files.stop_at, files.stop_after = stop_at, after
            with pytest.raises(StoppedError):
                life(files)
            again = opened(files.after_crash("kept"))
            assert again.state.votes, (stop_at, after)
            assert set(kept) <= {one.key[1] for one in again.found.entries} <= {"k1", "k2"}


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_disk_that_refuses_takes_again_after_reopen_with_all_that_counts(error):
    files = founded()
    store = opened(files)
    store.write([entry(1)], NOW)
    files.failures = {files.operation_count + 1: error}
    with pytest.raises(OSError, match="refused"):
        store.log.sync()
    with pytest.raises(BrokenLogError):
        store.write([entry(3)], NOW)
    store.reopen([entry(1), entry(3)], NOW)
    store.close()
    assert {one.key[1] for one in opened(files).found.entries} == {"k1", "k3"}


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_write_that_is_refused_twice_counts_for_nothing_and_the_next_one_stands(error):
    files = founded()
    store = opened(files)
    store.write([entry(1)], NOW)
    # the write, and the one behind its repair
    files.failures = {files.operation_count + 1: error, files.operation_count + 3: error}
    with pytest.raises(OSError, match="refused"):
        store.write([entry(2)], NOW)
    store.write([entry(3)], NOW)
    store.close()
    assert {one.key[1] for one in opened(files).found.entries} == {"k1", "k3"}


def test_segments_go_once_nothing_in_them_counts():
    files = founded()
    store = opened(files)
    store.write([entry(1, for_ms=5000.0)], NOW)
    assert store.turn(NOW + 1000.0) == 0
    store.write([entry(2, for_ms=5000.0)], NOW + 1000.0)
    assert store.turn(NOW + 5500.0) == 1
    assert store.turn(NOW + 9000.0) >= 1
    store.close()
    assert opened(files, NOW + 9000.0).found.entries == []
