"""The log under truncation at every offset, any changed byte and failing operations; and files on the real disk."""

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
from flintshift.storage.frames import Damage, Record, Truncated
from flintshift.storage.log import BrokenLogError, Log, LogPosition, read_records, segment_header, segment_name
from flintshift.storage.snapshot import DamagedError

FOLDER = Path("/l")
PAYLOADS = [b"one", b"", b"three\0\0\0", bytes(range(60))]


def log_with_records(files=None, segments=1):
    files = files or SimFiles()
    log = Log(files, FOLDER, 1, 1)
    log.resume(LogPosition(1, 0))
    for index in range(segments):
        if index:
            log.begin_segment()
        log.append([(7, payload) for payload in PAYLOADS])
    log.sync()
    return files, log


def recover(files):
    position = LogPosition(1, 0)
    found = list(read_records(files, FOLDER, 1, position))
    return found, position


def segment_with(data):
    files = SimFiles()
    file = files.create(FOLDER / segment_name(1))
    if data:
        file.append(data)
    return files


def test_appended_records_are_read_back_across_segments():
    files, _ = log_with_records(segments=3)
    found, position = recover(files)
    assert [record.payload for record in found] == PAYLOADS * 3
    assert [record.sequence for record in found] == list(range(1, 13)) and position.next_sequence == 13


def test_truncation_at_any_offset_loses_only_the_truncated_records():
    files, _ = log_with_records()
    complete = files.read(FOLDER / segment_name(1))
    frame_ends = [len(segment_header())]
    for payload in PAYLOADS:
        frame_ends.append(frame_ends[-1] + frames.OVERHEAD_BYTES + len(payload))
    for size in range(len(complete) + 1):
        truncated = segment_with(complete[:size])
        found, position = recover(truncated)
        count = sum(end <= size for end in frame_ends) - 1 if size >= frame_ends[0] else 0
        assert [record.payload for record in found] == PAYLOADS[:count], size
        log = Log(truncated, FOLDER, position.epoch + 1, position.next_sequence)
        log.resume(position)
        log.append([(7, b"next")])  # continues after the truncation
        assert [record.payload for record in recover(truncated)[0]] == [*PAYLOADS[:count], b"next"], size


def test_a_change_of_any_byte_makes_recovery_fail():
    files, _ = log_with_records()
    complete = files.read(FOLDER / segment_name(1))
    for offset in range(len(complete)):
        for change in (0x01, 0x80, 0xFF, complete[offset]):  # the last change makes the byte zero
            data = bytearray(complete)
            data[offset] ^= change
            if bytes(data) == complete:
                continue
            with pytest.raises(DamagedError, match=r"is damaged|is of format"):
                recover(segment_with(bytes(data)))


def test_zeros_at_the_end_are_a_write_that_did_not_reach_the_disk():
    files, _ = log_with_records()
    complete = files.read(FOLDER / segment_name(1))
    last = len(complete) - frames.OVERHEAD_BYTES - len(PAYLOADS[-1])
    for kept in range(last, len(complete) - frames.TRAILER.size - 1):
        found, _ = recover(segment_with(complete[:kept] + bytes(len(complete) - kept + 4096)))
        assert [record.payload for record in found] == PAYLOADS[:-1]


@pytest.mark.parametrize("size", [0, 5, 40])
def test_truncation_before_the_last_segment_is_damage(size):
    files, _ = log_with_records(segments=2)
    path = FOLDER / segment_name(1)
    files.truncate(path, size)
    with pytest.raises(DamagedError, match="yet more segments follow"):
        recover(files)


def test_a_missing_segment_is_reported_by_name():
    files, _ = log_with_records(segments=3)
    files.remove(FOLDER / segment_name(5))
    with pytest.raises(DamagedError, match="records 5 to 8 are missing before 0000000000000009"):
        recover(files)


def test_a_newer_format_is_rejected_with_its_version():
    with pytest.raises(DamagedError, match="is of format 2 with features 0x0; this program reads format 1"):
        recover(segment_with(segment_header(version=2)))


def test_records_out_of_order_are_damage():
    data = segment_header() + frames.pack(1, 5, 7, b"a")
    for following in (frames.pack(3, 5, 7, b"gap"), frames.pack(1, 5, 7, b"twice"), frames.pack(2, 4, 7, b"epoch")):
        with pytest.raises(DamagedError, match="where 2 is expected"):
            recover(segment_with(data + following))


@pytest.mark.parametrize("outcome", CRASH_OUTCOMES)
@pytest.mark.parametrize("stop_after", [False, True])
def test_a_stop_at_any_operation_keeps_synced_records(outcome, stop_after):
    def work(files, acknowledged):
        log = Log(files, FOLDER, 1, 1)
        log.resume(LogPosition(1, 0))
        for number in range(6):
            if number == 3:
                log.begin_segment()
            log.append([(7, b"%d" % number), (7, b"x" * 30)])
            log.sync()
            acknowledged.append(number)

    undisturbed = SimFiles()
    work(undisturbed, [])
    for stop_at in range(1, undisturbed.operation_count + 1):
        files, acknowledged = SimFiles(stop_at, stop_after), []
        with pytest.raises(StoppedError):
            work(files, acknowledged)
        disk = files.after_crash(outcome)
        found, position = recover(disk)
        numbers = [record.payload for record in found if record.payload != b"x" * 30]
        assert numbers[: len(acknowledged)] == [b"%d" % number for number in acknowledged], (stop_at, outcome)
        assert len(numbers) <= len(acknowledged) + 1
        Log(disk, FOLDER, 2, position.next_sequence).resume(position)


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_after_a_failed_append_nothing_is_written_until_a_new_segment(error):
    files, log = log_with_records()
    files.failures = {files.operation_count + 1: error}
    with pytest.raises(OSError, match="refused here"):
        log.append([(7, b"refused")])
    with pytest.raises(BrokenLogError):
        log.append([(7, b"later")])
    with pytest.raises(BrokenLogError):
        log.sync()


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_failed_append_is_retried_after_the_records_before_it(error):
    files, log = log_with_records()
    files.failures = {files.operation_count + 1: error}  # half of it is written
    log.append_with_retry([(7, b"refused once")])
    log.append([(7, b"later")])
    log.sync()
    found, position = recover(files)
    assert [record.payload for record in found] == [*PAYLOADS, b"refused once", b"later"]
    assert position.truncated_bytes == 0 and position.next_sequence == log.next_sequence


@pytest.mark.parametrize("failing", [(1, 2), (1, 3)], ids=["append and repair", "append and retry"])
def test_an_append_that_fails_twice_leaves_no_record(failing):
    files, log = log_with_records()
    files.failures = {files.operation_count + place: errno.EIO for place in failing}
    with pytest.raises(OSError, match="refused here"):
        log.append_with_retry([(7, b"never")])
    log.append_with_retry([(7, b"later")])  # what the failed append left is removed first
    found, _ = recover(files)
    assert [record.payload for record in found] == [*PAYLOADS, b"later"]


def test_a_log_is_not_repaired_after_a_failed_sync():
    files, log = log_with_records()
    log.append([(7, b"unknown")])
    files.failures = {files.operation_count + 1: errno.EIO}
    with pytest.raises(OSError, match="refused here"):
        log.sync()
    with pytest.raises(BrokenLogError):
        log.append_with_retry([(7, b"later")])


def test_after_a_failed_sync_nothing_can_be_appended():
    files, log = log_with_records()
    log.append([(7, b"unknown")])
    files.failures = {files.operation_count + 1: errno.EIO}
    with pytest.raises(OSError, match="refused here"):
        log.sync()
    with pytest.raises(BrokenLogError):
        log.append([(7, b"later")])


@given(st.lists(st.tuples(st.integers(0, 255), st.binary(max_size=40)), max_size=8), st.binary(max_size=60))
def test_frames_are_unpacked_as_packed_and_malformed_data_after_them_is_no_record(items, malformed):
    data = b"".join(frames.pack(place, 3, kind, payload) for place, (kind, payload) in enumerate(items))
    found = list(frames.unpack(data + malformed))
    assert found[: len(items)] == [Record(place, 3, kind, payload) for place, (kind, payload) in enumerate(items)]
    assert all(isinstance(item, Truncated | Damage) for item in found[len(items) :])


# The real disk, and complete files.


def test_a_log_on_the_real_disk_is_recovered(tmp_path):
    files = DiskFiles()
    log = Log(files, tmp_path, 1, 1)
    log.resume(LogPosition(1, 0))
    log.append([(7, b"a"), (7, b"b")])
    log.begin_segment()
    log.append([(7, b"c")])
    log.sync()
    log.close()
    with open(tmp_path / segment_name(3), "ab") as segment:
        segment.write(b"half a fra")
    position = LogPosition(1, 0)
    assert [record.payload for record in read_records(files, tmp_path, 1, position)] == [b"a", b"b", b"c"]
    assert position.truncated_bytes == 10
    log = Log(files, tmp_path, 2, position.next_sequence)
    log.resume(position)
    log.append([(7, b"d")])
    position = LogPosition(1, 0)
    assert [record.epoch for record in read_records(files, tmp_path, 1, position)] == [1, 1, 1, 2]


def test_a_folder_is_locked_for_other_processes_until_its_process_ends(tmp_path):
    program = (
        "import sys, time; from pathlib import Path; from flintshift.storage.files import DiskFiles;"
        "lock = DiskFiles().lock(Path(sys.argv[1])); print('held', flush=True); time.sleep(60)"
    )
    with subprocess.Popen(
        [sys.executable, "-c", program, str(tmp_path / "LOCK")],
        stdout=subprocess.PIPE,
        cwd=Path(__file__).parent.parent.parent,
    ) as holder:
        assert holder.stdout.readline() == b"held\n"
        with pytest.raises(LockedError, match="another process works in this folder"):
            DiskFiles().lock(tmp_path / "LOCK")
        holder.kill()
        holder.wait()
    DiskFiles().lock(tmp_path / "LOCK").close()


@pytest.mark.parametrize("outcome", CRASH_OUTCOMES)
def test_a_published_file_appears_complete_or_not_at_all(outcome):
    path = FOLDER / "f"
    for stop_at in range(1, 12):
        for stop_after in (False, True):
            files = SimFiles()
            snapshot.publish(files, path, b"old")
            files.stop_at, files.stop_after, files.operation_count = stop_at, stop_after, 0
            try:
                snapshot.publish(files, path, b"new")
                published = True
            except StoppedError:
                published = False
            disk = files.after_crash(outcome)
            assert disk.read(path) in ((b"new",) if published else (b"old", b"new"))
            snapshot.remove_unfinished(disk, FOLDER)
            assert disk.names(FOLDER) == ["f"]


def test_only_the_first_writer_publishes_a_file_once(tmp_path):
    files = DiskFiles()
    assert snapshot.publish_once(files, tmp_path / "f", b"first", "1")
    assert not snapshot.publish_once(files, tmp_path / "f", b"second", "2")
    assert files.read(tmp_path / "f") == b"first" and files.names(tmp_path) == ["f"]


def test_a_change_of_a_sealed_file_is_detected():
    data = snapshot.seal(9, 1, 5, b"state")
    assert snapshot.unseal(FOLDER, data, 9).payload == b"state"
    for offset in range(len(data)):
        changed = bytearray(data)
        changed[offset] ^= 0x10
        with pytest.raises(DamagedError, match="is damaged"):
            snapshot.unseal(FOLDER, bytes(changed), 9)
    with pytest.raises(DamagedError):
        snapshot.unseal(FOLDER, data, 8)
