"""The replicated keys on the disk: the identity of the store, what it recovers, and whether it votes."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest
from storage.sim_files import SimFiles, StoppedError

from flintshift.core.keys import Stage
from flintshift.interface import Outcome
from flintshift.replication.messages import NO_BALLOT, Value
from flintshift.replication.registers import Entry
from flintshift.replication.store import ReplicaFolder, create_empty_store, examine_store
from flintshift.storage.log import BrokenLogError
from flintshift.storage.snapshot import DamagedError
from flintshift.wire.peer_codec import decode_entry, encode_entry

FOLDER = Path("/srv/copies")
NOW_MS = 1_000_000.0


def entry(number, remaining_ms=30_000.0, stage=Stage.FINISHED):
    value = Value(stage, f"r{number}", "n1#1", b"p" * 16, remaining_ms, Outcome.OK, b"result")
    return Entry(("submit-time", f"k{number}"), (2, "n1#1"), (1, "n1#1"), value, remaining_ms)


def open_folder(files, now=NOW_MS, member="n1", boot="b1", synced=False, unix_ms=None, placement=b"p1"):
    unix_ms = now if unix_ms is None else unix_ms
    return ReplicaFolder(files, FOLDER, member, now, unix_ms, boot, placement, synced, encode_entry, decode_entry)


def create_store(files=None):
    files = files or SimFiles()
    create_empty_store(files, FOLDER, NOW_MS, "b1")
    return files


def test_a_created_store_votes_and_an_empty_disk_does_not():
    assert open_folder(create_store()).recovered.no_vote_reason == "" and open_folder(create_store()).state.votes
    empty = open_folder(SimFiles())
    assert empty.recovered.no_vote_reason == "its disk is empty" and not empty.state.votes


def test_a_store_does_not_vote_under_another_list_of_members_and_keeps_its_entries():
    """Guards against members that vote on keys which they did not hold under the list before."""
    files = create_store()
    store = open_folder(files)
    store.write([entry(1)], NOW_MS)
    store.close()
    same_list = open_folder(files)
    assert same_list.state.votes and same_list.state.incarnation == store.state.incarnation
    same_list.close()
    changed = open_folder(files, placement=b"p2")
    assert "the list of members has changed" in changed.recovered.no_vote_reason
    assert not changed.state.votes and changed.state.incarnation > store.state.incarnation
    assert [found.key[1] for found in changed.recovered.entries] == ["k1"]
    changed.close()
    assert not open_folder(files, placement=b"p1").state.votes  # the list before, again


def test_a_store_is_created_once():
    files = create_store()
    with pytest.raises(FileExistsError):
        create_empty_store(files, FOLDER, NOW_MS, "b1")


def test_written_entries_are_recovered_with_their_remaining_time():
    files = create_store()
    store = open_folder(files)
    store.write([entry(1), entry(2, remaining_ms=500.0)], NOW_MS)
    store.write([Entry(("submit-time", "k3"), (7, "n2#1"), NO_BALLOT, None, 9000.0)], NOW_MS)
    store.close()
    reopened = open_folder(files, NOW_MS + 1000.0)
    assert reopened.state.incarnation == store.state.incarnation
    assert {found.key[1]: found.remaining_ms for found in reopened.recovered.entries} == {
        "k1": 29_000.0,
        "k3": 8000.0,
    }
    assert next(found for found in reopened.recovered.entries if found.key[1] == "k1").value == entry(1).value


def test_after_a_backward_clock_step_entries_are_kept_longer_and_never_shorter():
    files = create_store()
    store = open_folder(files)
    store.write([entry(1)], NOW_MS)
    store.close()
    assert [found.remaining_ms for found in open_folder(files, NOW_MS - 3_600_000.0).recovered.entries] == [30_000.0]


@pytest.mark.parametrize(
    ("change", "reason", "keeps_entries"),
    [
        ({"member": "n2"}, "that of n1", False),
        ({"boot": "b2"}, "may not have reached the disk", True),
        ({"boot": "b2", "synced": True}, "", True),
    ],
)
def test_a_disk_that_may_lack_promises_gets_another_incarnation(change, reason, keeps_entries):
    files = create_store()
    store = open_folder(files)
    store.write([entry(1)], NOW_MS)
    store.close()
    reopened = open_folder(files, **change)
    assert reason in reopened.recovered.no_vote_reason and reopened.state.votes is (reason == "")
    assert (len(reopened.recovered.entries) == 1) is keeps_entries
    if keeps_entries:
        assert (reopened.state.incarnation > store.state.incarnation) is (reason != "")


def flip_bit(files, path, offset):
    files.current_files[path].data[offset] ^= 1


def test_a_flipped_bit_is_detected_and_the_store_begins_empty_without_a_vote():
    files = create_store()
    store = open_folder(files)
    store.write([entry(1), entry(2)], NOW_MS)
    log = next(path for path in files.current_files if path.suffix == ".log")
    for offset in range(12, len(files.current_files[log].data) - 1, 7):
        flip_bit(files, log, offset)
        with pytest.raises(DamagedError):
            examine_store(files, FOLDER, decode_entry)
        flip_bit(files, log, offset)
    assert examine_store(files, FOLDER, decode_entry)[1:] == (2, 2)
    store.close()
    flip_bit(files, log, 40)
    reopened = open_folder(files)
    assert (
        "damaged" in reopened.recovered.no_vote_reason and not reopened.state.votes and reopened.recovered.entries == []
    )


def test_a_machine_that_stops_at_any_operation_loses_and_invents_no_entries():
    """A vote is sent after `write`. So each written entry is recovered at the next start, unless the store has no vote
    then."""

    def write_and_rotate(files):
        store = open_folder(files)
        store.write([entry(1)], NOW_MS)
        written.append("k1")
        store.rotate(NOW_MS)
        store.write([entry(2)], NOW_MS)
        written.append("k2")
        store.rotate(NOW_MS + 1.0)

    written = []
    undisturbed = create_store()
    first_operation = undisturbed.operation_count
    write_and_rotate(undisturbed)
    for stop_at in range(first_operation + 1, undisturbed.operation_count + 1):
        for after in (False, True):
            written = []
            files = create_store(SimFiles())
            files.stop_at, files.stop_after = stop_at, after
            with pytest.raises(StoppedError):
                write_and_rotate(files)
            reopened = open_folder(files.after_crash("kept"))
            assert reopened.state.votes, (stop_at, after)
            assert set(written) <= {found.key[1] for found in reopened.recovered.entries} <= {"k1", "k2"}


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_after_reopen_a_failed_disk_has_all_valid_entries(error):
    files = create_store()
    store = open_folder(files)
    store.write([entry(1)], NOW_MS)
    files.failures = {files.operation_count + 1: error}
    with pytest.raises(OSError, match="refused"):
        store.log.sync()
    with pytest.raises(BrokenLogError):
        store.write([entry(3)], NOW_MS)
    store.reopen([entry(1), entry(3)], NOW_MS)
    store.close()
    assert {found.key[1] for found in open_folder(files).recovered.entries} == {"k1", "k3"}


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_write_that_fails_twice_leaves_nothing_and_the_next_one_is_durable(error):
    files = create_store()
    store = open_folder(files)
    store.write([entry(1)], NOW_MS)
    files.failures = {
        files.operation_count + 1: error,
        files.operation_count + 3: error,
    }  # the write, and its retry after the repair
    with pytest.raises(OSError, match="refused"):
        store.write([entry(2)], NOW_MS)
    store.write([entry(3)], NOW_MS)
    store.close()
    assert {found.key[1] for found in open_folder(files).recovered.entries} == {"k1", "k3"}


def test_segments_are_removed_once_all_their_entries_have_expired():
    files = create_store()
    store = open_folder(files)
    store.write([entry(1, remaining_ms=5000.0)], NOW_MS)
    assert store.rotate(NOW_MS + 1000.0) == 0
    store.write([entry(2, remaining_ms=5000.0)], NOW_MS + 1000.0)
    assert store.rotate(NOW_MS + 5500.0) == 1
    assert store.rotate(NOW_MS + 9000.0) >= 1
    store.close()
    assert open_folder(files, NOW_MS + 9000.0).recovered.entries == []
