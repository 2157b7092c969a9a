"""The replicated keys on the disk: the identity of the store, and each change of a register before its vote is sent.

==========  ==================================================================================================
``LOCK``    locked by the process that writes here
``STORE``   the store's incarnation and whether it votes; written whole before the first vote under it
``log/``    changes of registers (``storage/log.py``)
==========  ==================================================================================================

Registers live for seconds, so the log is not compacted: a segment is removed when everything in it has expired.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from flintshift.replication.registers import Entry
from flintshift.storage import snapshot
from flintshift.storage.files import Files
from flintshift.storage.log import Log, LogPosition, list_segments, read_records, segment_name
from flintshift.storage.snapshot import DamagedError

ENTRY_KIND, STORE_KIND = 1, 2
STORE_FILE = "STORE"
STATUS_SOCKET = "status.sock"  # on which a running member reports the state of its replicas to operators

PackEntry = Callable[[Entry, float], bytes]
UnpackEntry = Callable[[bytes], tuple[Entry, float]]


class StoreState(msgspec.Struct, frozen=True):
    """The content of the ``STORE`` file."""

    incarnation: int
    votes: bool  # the store knows all that it ever promised
    member: str  # the owner of the store; empty: whoever opens it first
    boot: str  # id of the machine's boot; what was not synced may be lost in another boot
    placement: bytes = b""  # digest of the placement under which the store votes; empty: that of whoever opens it first


def boot_id() -> str:
    """The id of the machine's current boot, or an empty text if the system doesn't provide it."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


@dataclass(slots=True)
class RecoveredStore:
    """What was found on the disk at the start."""

    entries: list[Entry]
    no_vote_reason: str = ""  # empty: the store votes


class ReplicaFolder:
    """The folder of a store, opened by the one process that writes to it.

    Times are of the machine's monotonic clock, except ``unix_ms``, from which a new store gets its incarnation.
    ``placement``: digest of the placement of keys under the present list of members.
    ``synced``: each change was synced to the disk before its vote was sent.

    Raises:
        OSError, LockedError: the folder can't be used.
    """

    def __init__(
        self,
        files: Files,
        folder: Path,
        member: str,
        now_ms: float,
        unix_ms: float,
        boot: str,
        placement: bytes,
        synced: bool,
        pack: PackEntry,
        unpack: UnpackEntry,
    ) -> None:
        self.files, self.folder, self.pack, self.unpack = files, folder, pack, unpack
        self.member, self.boot, self.placement = member, boot, placement
        files.make_folder(folder / "log")
        self.lock = files.lock(folder / "LOCK")
        self.segment_expiry_ms: dict[int, float] = {}  # by a segment's first sequence: when its last register expires
        try:
            snapshot.remove_unfinished(files, folder)
            self.recovered = self._open(now_ms, unix_ms, synced)
        except BaseException:
            self.lock.close()
            raise

    def _open(self, now_ms: float, unix_ms: float, synced: bool) -> RecoveredStore:
        state, reason = self._read_state()
        entries: list[Entry] = []
        if not reason:
            try:
                entries = self._recover(now_ms, self.boot != "" and state.boot == self.boot)
            except DamagedError as error:
                reason = f"its disk is damaged: {error}"
        if reason:
            self._clear_log()
            state, entries = StoreState(max(int(unix_ms), state.incarnation + 1), False, self.member, self.boot), []
        elif state.boot != self.boot and not synced and state.votes:
            reason = "the machine was restarted, and what the store promised last may not have reached the disk"
            state = StoreState(state.incarnation + 1, False, self.member, self.boot)
        elif state.placement not in (b"", self.placement):
            reason = "the list of members has changed, and the store does not know what others promised for its keys"
            state = StoreState(state.incarnation + 1, False, self.member, self.boot)
        self.state = state
        self.write_state(msgspec.structs.replace(state, boot=self.boot, member=self.member, placement=self.placement))
        return RecoveredStore(entries, reason or ("" if state.votes else "it was not refilled when it ended"))

    def _read_state(self) -> tuple[StoreState, str]:
        """The state on the disk, and why the store can't be used as it is; empty: it can."""
        empty = StoreState(0, False, self.member, self.boot)
        if STORE_FILE not in self.files.names(self.folder):
            return empty, "its disk is empty"
        try:
            record = snapshot.unseal(self.folder / STORE_FILE, self.files.read(self.folder / STORE_FILE), STORE_KIND)
            state = msgspec.msgpack.decode(record.payload, type=StoreState)
        except (DamagedError, msgspec.DecodeError) as error:
            return empty, f"its disk is damaged: {error}"
        if state.member not in (self.member, ""):
            return empty, f"its disk is that of {state.member}"
        return state, ""

    def _recover(self, now_ms: float, same_boot: bool) -> list[Entry]:
        """Reads the entries of the log that have not expired.

        ``same_boot``: the monotonic clock has run on since they were written. Otherwise their age is unknown, and each
        entry is kept for its whole time again: longer than promised, never shorter.
        """
        found = list_segments(self.files, self.folder / "log")
        first = found[0][0] if found else 1
        reach, latest = LogPosition(first, 0), dict[tuple[str, str], Entry]()
        for record in read_records(self.files, self.folder / "log", first, reach):
            if record.kind == ENTRY_KIND:
                entry, written_ms = self.unpack(record.payload)
                elapsed_ms = max(0.0, now_ms - written_ms) if same_boot else 0.0
                latest[entry.key] = msgspec.structs.replace(entry, remaining_ms=entry.remaining_ms - elapsed_ms)
        self.log = Log(self.files, self.folder / "log", reach.epoch + 1, reach.next_sequence)
        self.log.resume(reach)
        entries = [entry for entry in latest.values() if entry.remaining_ms > 0]
        expiry_ms = now_ms + max((entry.remaining_ms for entry in entries), default=0.0)
        self.segment_expiry_ms = {start: expiry_ms for start, _ in list_segments(self.files, self.folder / "log")}
        return entries

    def _clear_log(self) -> None:
        """Removes the segments of an unusable store, which would be taken for those of the new one."""
        for _, name in list_segments(self.files, self.folder / "log"):
            self.files.remove(self.folder / "log" / name)
        self.log = Log(self.files, self.folder / "log", 1, 1)
        self.log.begin_segment()
        self.segment_expiry_ms = {1: 0.0}

    def write_state(self, state: StoreState) -> None:
        """Writes the state to the disk. ``self.state`` changes only if the disk accepts it."""
        data = msgspec.msgpack.encode(state)
        snapshot.publish(self.files, self.folder / STORE_FILE, snapshot.seal(STORE_KIND, 1, 1, data))
        self.state = state

    def write(self, entries: Iterable[Entry], now_ms: float) -> None:
        """Appends changes of registers to the log.

        They survive the death of the process from then on, and that of the system after the log's ``sync``.

        Raises:
            OSError, BrokenLogError: the disk rejected the write; every further one fails until ``reopen``.
        """
        written = list(entries)
        self.log.append_with_retry([(ENTRY_KIND, self.pack(entry, now_ms)) for entry in written])
        last = max(self.segment_expiry_ms)
        self.segment_expiry_ms[last] = max(
            self.segment_expiry_ms[last], now_ms + max(entry.remaining_ms for entry in written)
        )

    def rotate(self, now_ms: float) -> int:
        """Begins a new segment, removes the segments in which everything has expired, and returns their number."""
        self.log.begin_segment()
        self.segment_expiry_ms[self.log.next_sequence] = 0.0
        expired = [
            start
            for start, expiry_ms in self.segment_expiry_ms.items()
            if expiry_ms <= now_ms and start != self.log.next_sequence
        ]
        removed = 0
        for start in sorted(expired):
            if start != min(self.segment_expiry_ms):
                break  # the log must have no gaps
            self.files.remove(self.folder / "log" / segment_name(start))
            del self.segment_expiry_ms[start]
            removed += 1
        return removed

    def reopen(self, entries: Iterable[Entry], now_ms: float) -> None:
        """Begins a new segment with all valid entries after the disk rejected a write.

        The older segments are removed, as the one in which a write broke off can't be told from a damaged one. If the
        process dies before that, the store has to be refilled.
        """
        self.rotate(now_ms)
        written = list(entries)
        if written:
            self.write(written, now_ms)
        self.log.sync()
        for start in sorted(self.segment_expiry_ms)[:-1]:
            self.files.remove(self.folder / "log" / segment_name(start))
            del self.segment_expiry_ms[start]

    def close(self) -> None:
        """Closes the log, and releases the folder for another process."""
        self.log.close()
        self.lock.close()


def examine_store(files: Files, folder: Path, unpack: UnpackEntry) -> tuple[StoreState, int, int]:
    """The state of the store in a folder, the number of its records and the number of different keys in them.

    Nothing is changed, and a folder in use can be examined too.

    Raises:
        OSError, DamagedError: the store can't be read or is damaged; the text says where.
    """
    record = snapshot.unseal(folder / STORE_FILE, files.read(folder / STORE_FILE), STORE_KIND)
    state = msgspec.msgpack.decode(record.payload, type=StoreState)
    found = list_segments(files, folder / "log")
    first = found[0][0] if found else 1
    count, keys = 0, set()
    for entry_record in read_records(files, folder / "log", first, LogPosition(first, 0)):
        count += 1
        try:
            keys.add(unpack(entry_record.payload)[0].key)
        except ValueError as error:
            raise DamagedError(f"{folder}: record {entry_record.sequence}: {error}") from error
    return state, count, len(keys)


def create_empty_store(files: Files, folder: Path, now_ms: float, boot: str) -> None:
    """Creates the empty store of a new fleet, which votes from the first moment.

    Raises:
        FileExistsError: the folder is not empty.
    """
    if files.names(folder):
        raise FileExistsError(f"{folder} is not empty; a new store would not know the promises of the one before")
    files.make_folder(folder / "log")
    data = msgspec.msgpack.encode(StoreState(int(now_ms), True, "", boot))
    snapshot.publish(files, folder / STORE_FILE, snapshot.seal(STORE_KIND, 1, 1, data))
