"""The log: every cut, every changed byte, every refusal; and the disk's own seam."""

from __future__ import annotations

import errno
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from storage.sim_files import CRASH_OUTCOMES, SimFiles, StoppedError

from flintshift.storage import frames, snapshot
from flintshift.storage.files import DiskFiles, LockedError
from flintshift.storage.frames import Damage, Record, Torn
from flintshift.storage.log import BrokenLogError, Log, LogPosition, read_records, segment_head, segment_name
from flintshift.storage.snapshot import DamagedError

FOLDER = Path("/l")
PAYLOADS = [b"one", b"", b"three\0\0\0", bytes(range(60))]


def filled(files=None, segments=1):
    files = files or SimFiles()
    log = Log(files, FOLDER, 1, 1)
    log.resume(LogPosition(1, 0))
    for place in range(segments):
        if place:
            log.begin_segment()
        log.append([(7, payload) for payload in PAYLOADS])
    log.sync()
    return files, log


def recovered(files):
    reach = LogPosition(1, 0)
    found = list(read_records(files, FOLDER, 1, reach))
    return found, reach


def with_bytes(data):
    files = SimFiles()
    file = files.create(FOLDER / segment_name(1))
    if data:
        file.append(data)
    return files


def test_what_was_appended_comes_back_over_segments():
    files, _ = filled(segments=3)
    found, reach = recovered(files)
    assert [record.payload for record in found] == PAYLOADS * 3
    assert [record.sequence for record in found] == list(range(1, 13)) and reach.next_sequence == 13


def test_a_cut_at_every_offset_loses_only_what_was_cut():
    files, _ = filled()
    whole = files.read(FOLDER / segment_name(1))
    ends = [len(segment_head())]
    for payload in PAYLOADS:
        ends.append(ends[-1] + frames.OVERHEAD + len(payload))
    for size in range(len(whole) + 1):
        cut = with_bytes(whole[:size])
        found, reach = recovered(cut)
        count = sum(end <= size for end in ends) - 1 if size >= ends[0] else 0
        assert [record.payload for record in found] == PAYLOADS[:count], size
        log = Log(cut, FOLDER, reach.epoch + 1, reach.next_sequence)
        log.resume(reach)
        log.append([(7, b"next")])  # goes on behind the cut
        assert [record.payload for record in recovered(cut)[0]] == [*PAYLOADS[:count], b"next"], size


def test_a_change_of_every_byte_stops_recovery_and_invents_nothing():
    files, _ = filled()
    whole = files.read(FOLDER / segment_name(1))
    for offset in range(len(whole)):
        for change in (0x01, 0x80, 0xFF, whole[offset]):  # the last makes it zero
            data = bytearray(whole)
            data[offset] ^= change
            if bytes(data) == whole:
                continue
            with pytest.raises(DamagedError, match=r"is damaged|is of format"):
                recovered(with_bytes(bytes(data)))


def test_a_tail_of_zeros_is_a_write_that_did_not_reach_the_disk():
    files, _ = filled()
    whole = files.read(FOLDER / segment_name(1))
    last = len(whole) - frames.OVERHEAD - len(PAYLOADS[-1])
    for kept in range(last, len(whole) - frames.TAIL.size - 1):
        found, _ = recovered(with_bytes(whole[:kept] + bytes(len(whole) - kept + 4096)))
        assert [record.payload for record in found] == PAYLOADS[:-1]


@pytest.mark.parametrize("cut", [0, 5, 40])
def test_a_cut_before_the_last_segment_is_damage(cut):
    files, _ = filled(segments=2)
    path = FOLDER / segment_name(1)
    files.truncate(path, cut)
    with pytest.raises(DamagedError, match="yet more segments follow"):
        recovered(files)


def test_a_missing_segment_is_named():
    files, _ = filled(segments=3)
    files.remove(FOLDER / segment_name(5))
    with pytest.raises(DamagedError, match="records 5 to 8 are missing before 0000000000000009"):
        recovered(files)


def test_a_newer_format_is_refused_by_name():
    with pytest.raises(DamagedError, match="is of format 2 with features 0x0; this program reads format 1"):
        recovered(with_bytes(segment_head(version=2)))


def test_records_out_of_their_order_are_damage():
    data = segment_head() + frames.pack(1, 5, 7, b"a")
    for following in (frames.pack(3, 5, 7, b"gap"), frames.pack(1, 5, 7, b"twice"), frames.pack(2, 4, 7, b"epoch")):
        with pytest.raises(DamagedError, match="stands where 2 is due"):
            recovered(with_bytes(data + following))


@pytest.mark.parametrize("how", CRASH_OUTCOMES)
@pytest.mark.parametrize("after", [False, True])
def test_a_stop_at_every_operation_keeps_what_was_synced(how, after):
    def work(files, acknowledged):
        log = Log(files, FOLDER, 1, 1)
        log.resume(LogPosition(1, 0))
        for number in range(6):
            if number == 3:
                log.begin_segment()
            log.append([(7, b"%d" % number), (7, b"x" * 30)])
            log.sync()
            acknowledged.append(number)

    count = SimFiles()
    work(count, [])
    for stop_at in range(1, count.operation_count + 1):
        files, acknowledged = SimFiles(stop_at, after), []
        with pytest.raises(StoppedError):
            work(files, acknowledged)
        left = files.after_crash(how)
        found, reach = recovered(left)
        numbers = [record.payload for record in found if record.payload != b"x" * 30]
        assert numbers[: len(acknowledged)] == [b"%d" % number for number in acknowledged], (stop_at, how)
        assert len(numbers) <= len(acknowledged) + 1
        Log(left, FOLDER, 2, reach.next_sequence).resume(reach)


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_after_a_refusal_nothing_is_written_until_a_new_segment(error):
    files, log = filled()
    files.failures = {files.operation_count + 1: error}
    with pytest.raises(OSError, match="refused here"):
        log.append([(7, b"refused")])
    with pytest.raises(BrokenLogError):
        log.append([(7, b"later")])
    with pytest.raises(BrokenLogError):
        log.sync()


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_refused_append_is_made_again_behind_what_stood_before_it(error):
    files, log = filled()
    files.failures = {files.operation_count + 1: error}  # half of it stands there
    log.append_with_retry([(7, b"refused once")])
    log.append([(7, b"later")])
    log.sync()
    found, reach = recovered(files)
    assert [record.payload for record in found] == [*PAYLOADS, b"refused once", b"later"]
    assert reach.truncated_bytes == 0 and reach.next_sequence == log.next_sequence


@pytest.mark.parametrize("refused", [(1, 2), (1, 3)], ids=["its repair too", "its second try too"])
def test_an_append_that_is_refused_again_leaves_nothing_that_counts(refused):
    files, log = filled()
    files.failures = {files.operation_count + place: errno.EIO for place in refused}
    with pytest.raises(OSError, match="refused here"):
        log.append_with_retry([(7, b"never")])
    log.append_with_retry([(7, b"later")])  # what is left is cut off first
    found, _ = recovered(files)
    assert [record.payload for record in found] == [*PAYLOADS, b"later"]


def test_a_log_whose_sync_failed_is_not_repaired():
    files, log = filled()
    log.append([(7, b"unknown")])
    files.failures = {files.operation_count + 1: errno.EIO}
    with pytest.raises(OSError, match="refused here"):
        log.sync()
    with pytest.raises(BrokenLogError):
        log.append_with_retry([(7, b"later")])


def test_a_failed_sync_breaks_the_log():
    files, log = filled()
    log.append([(7, b"unknown")])
    files.failures = {files.operation_count + 1: errno.EIO}
    with pytest.raises(OSError, match="refused here"):
        log.sync()
    with pytest.raises(BrokenLogError):
        log.append([(7, b"later")])


@given(st.lists(st.tuples(st.integers(0, 255), st.binary(max_size=40)), max_size=8), st.binary(max_size=60))
def test_frames_are_read_as_packed_and_junk_behind_them_is_no_record(items, junk):
    data = b"".join(frames.pack(place, 3, kind, payload) for place, (kind, payload) in enumerate(items))
    found = list(frames.unpack(data + junk))
    assert found[: len(items)] == [Record(place, 3, kind, payload) for place, (kind, payload) in enumerate(items)]
    assert all(isinstance(item, Torn | Damage) for item in found[len(items) :])


# The real disk, and whole files.


def test_the_real_disk_keeps_a_log(tmp_path):
    files = DiskFiles()
    log = Log(files, tmp_path, 1, 1)
    log.resume(LogPosition(1, 0))
    log.append([(7, b"a"), (7, b"b")])
    log.begin_segment()
    log.append([(7, b"c")])
    log.sync()
    log.close()
    with open(tmp_path / segment_name(3), "ab") as torn:
        torn.write(b"half a fra")
    reach = LogPosition(1, 0)
    assert [record.payload for record in read_records(files, tmp_path, 1, reach)] == [b"a", b"b", b"c"]
    assert reach.truncated_bytes == 10
    log = Log(files, tmp_path, 2, reach.next_sequence)
    log.resume(reach)
    log.append([(7, b"d")])
    reach = LogPosition(1, 0)
    assert [record.epoch for record in read_records(files, tmp_path, 1, reach)] == [1, 1, 1, 2]


def test_two_processes_on_one_folder_are_refused_and_a_death_frees_it(tmp_path):
    text = (
        "import sys, time; from pathlib import Path; from flintshift.storage.files import DiskFiles;"
        "held = DiskFiles().lock(Path(sys.argv[1])); print('held', flush=True); time.sleep(60)"
    )
    with subprocess.Popen(
        [sys.executable, "-c", text, str(tmp_path / "LOCK")],
        stdout=subprocess.PIPE,
        cwd=Path(__file__).parent.parent.parent,
    ) as other:
        assert other.stdout.readline() == b"held\n"
        with pytest.raises(LockedError, match="another process works in this folder"):
            DiskFiles().lock(tmp_path / "LOCK")
        other.kill()
        other.wait()
    DiskFiles().lock(tmp_path / "LOCK").close()


@pytest.mark.parametrize("how", CRASH_OUTCOMES)
def test_a_whole_file_appears_at_once_or_not_at_all(how):
    path = FOLDER / "f"
    for stop_at in range(1, 12):
        for after in (False, True):
            files = SimFiles()
            snapshot.publish(files, path, b"old")
            files.stop_at, files.stop_after, files.operation_count = stop_at, after, 0
            try:
                snapshot.publish(files, path, b"new")
                done = True
            except StoppedError:
                done = False
            left = files.after_crash(how)
            assert left.read(path) in ((b"new",) if done else (b"old", b"new"))
            snapshot.remove_unfinished(left, FOLDER)
            assert left.names(FOLDER) == ["f"]


def test_of_two_that_publish_once_one_wins(tmp_path):
    files = DiskFiles()
    assert snapshot.publish_once(files, tmp_path / "f", b"first", "1")
    assert not snapshot.publish_once(files, tmp_path / "f", b"second", "2")
    assert files.read(tmp_path / "f") == b"first" and files.names(tmp_path) == ["f"]


def test_a_sealed_file_that_was_changed_is_named():
    data = snapshot.seal(9, 1, 5, b"state")
    assert snapshot.unseal(FOLDER, data, 9).payload == b"state"
    for offset in range(len(data)):
        changed = bytearray(data)
        changed[offset] ^= 0x10
        with pytest.raises(DamagedError, match="is damaged"):
            snapshot.unseal(FOLDER, bytes(changed), 9)
    with pytest.raises(DamagedError):
        snapshot.unseal(FOLDER, data, 8)
