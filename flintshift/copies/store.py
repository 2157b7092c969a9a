"""The copies on a disk: which store it is, and each change of a register, before a vote on it leaves.

==========  ====================================================================================
``LOCK``    held by the process that writes here
``STORE``   the incarnation, and whether it votes: written whole, before the first vote under it
``log/``    changes of registers (``storage/log.py``)
==========  ====================================================================================

Registers live for seconds, so nothing is compacted: a segment goes when all that was written in it has lapsed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from flintshift.copies.registers import Entry
from flintshift.storage import snapshot
from flintshift.storage.files import Files
from flintshift.storage.log import Log, LogPosition, list_segments, read_records, segment_name
from flintshift.storage.snapshot import DamagedError

ENTRY_KIND, STORE_KIND = 1, 2
STORE = "STORE"
SOCKET = "status.sock"  # where a running member tells operators how its copies stand

Packed = Callable[[Entry, float], bytes]
Unpacked = Callable[[bytes], tuple[Entry, float]]


class StoreState(msgspec.Struct, frozen=True):
    incarnation: int
    votes: bool  # it knows all that it ever promised
    member: str  # whose it is; empty: of whoever opens it first
    boot: str  # the machine's boot: what was not synced before another one may be gone


def boot_id() -> str:
    """Of this machine's start; empty where the system does not tell it."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


@dataclass(slots=True)
class Found:
    """What a start found."""

    entries: list[Entry]
    why_empty: str = ""  # why the store does not vote; empty: it does


class CopiesFolder:
    """The folder as the one process that writes in it holds it. Times are those of the machine's monotonic clock, but
    for ``unix_ms``, from which a new store gets its number.

    Raises:
        OSError, LockedError: it can't be used.
    """

    def __init__(
        self,
        files: Files,
        folder: Path,
        member: str,
        now_ms: float,
        unix_ms: float,
        boot: str,
        synced: bool,
        packed: Packed,
        unpacked: Unpacked,
    ) -> None:
        self.files, self.folder, self.packed, self.unpacked = files, folder, packed, unpacked
        self.member, self.boot = member, boot
        files.make_folder(folder / "log")
        self.lock = files.lock(folder / "LOCK")
        self.lasting: dict[int, float] = {}  # by first sequence of a segment: until when something in it counts
        try:
            snapshot.remove_unfinished(files, folder)
            self.found = self._open(now_ms, unix_ms, synced)
        except BaseException:
            self.lock.close()
            raise

    def _open(self, now_ms: float, unix_ms: float, synced: bool) -> Found:
        state, why = self._state()
        entries: list[Entry] = []
        if not why:
            try:
                entries = self._recover(now_ms, self.boot != "" and state.boot == self.boot)
            except DamagedError as error:
                why = f"its disk is damaged: {error}"
        if why:
            self._empty()
            state, entries = StoreState(max(int(unix_ms), state.incarnation + 1), False, self.member, self.boot), []
        elif state.boot != self.boot and not synced and state.votes:
            why = "the machine was started anew, and what it promised last may not have reached the disk"
            state = StoreState(state.incarnation + 1, False, self.member, self.boot)
        self.state = state
        self.write_state(msgspec.structs.replace(state, boot=self.boot, member=self.member))
        return Found(entries, why or ("" if state.votes else "it was not filled when it ended"))

    def _state(self) -> tuple[StoreState, str]:
        empty = StoreState(0, False, self.member, self.boot)
        if STORE not in self.files.names(self.folder):
            return empty, "its disk is empty"
        try:
            record = snapshot.unseal(self.folder / STORE, self.files.read(self.folder / STORE), STORE_KIND)
            state = msgspec.msgpack.decode(record.payload, type=StoreState)
        except (DamagedError, msgspec.DecodeError) as error:
            return empty, f"its disk is damaged: {error}"
        if state.member not in (self.member, ""):
            return empty, f"its disk is that of {state.member}"
        return state, ""

    def _recover(self, now_ms: float, same_boot: bool) -> list[Entry]:
        """``same_boot``: the steady clock goes on since these were written; else how long ago that was is not known,
        and each counts for the whole of its time: for longer than told, never for shorter."""
        found = list_segments(self.files, self.folder / "log")
        first = found[0][0] if found else 1
        reach, latest = LogPosition(first, 0), dict[tuple[str, str], Entry]()
        for record in read_records(self.files, self.folder / "log", first, reach):
            if record.kind == ENTRY_KIND:
                entry, at_ms = self.unpacked(record.payload)
                passed_ms = max(0.0, now_ms - at_ms) if same_boot else 0.0
                latest[entry.key] = msgspec.structs.replace(entry, for_ms=entry.for_ms - passed_ms)
        self.log = Log(self.files, self.folder / "log", reach.epoch + 1, reach.next_sequence)
        self.log.resume(reach)
        kept = [entry for entry in latest.values() if entry.for_ms > 0]
        until = now_ms + max((entry.for_ms for entry in kept), default=0.0)
        self.lasting = {start: until for start, _ in list_segments(self.files, self.folder / "log")}
        return kept

    def _empty(self) -> None:
        """Nothing here counts; what stands in the log would be taken for this store's own."""
        for _, name in list_segments(self.files, self.folder / "log"):
            self.files.remove(self.folder / "log" / name)
        self.log = Log(self.files, self.folder / "log", 1, 1)
        self.log.begin_segment()
        self.lasting = {1: 0.0}

    def write_state(self, state: StoreState) -> None:
        """``state`` of the folder is what the disk has taken: where it refuses, nothing has changed."""
        data = msgspec.msgpack.encode(state)
        snapshot.publish(self.files, self.folder / STORE, snapshot.seal(STORE_KIND, 1, 1, data))
        self.state = state

    def write(self, entries: Iterable[Entry], now_ms: float) -> None:
        """Changes of registers; they survive the death of the process from then on, and that of the system after
        ``sync``.

        Raises:
            OSError, BrokenLogError: the disk refused, until ``reopen``.
        """
        listed = list(entries)
        self.log.append_with_retry([(ENTRY_KIND, self.packed(entry, now_ms)) for entry in listed])
        last = max(self.lasting)
        self.lasting[last] = max(self.lasting[last], now_ms + max(entry.for_ms for entry in listed))

    def turn(self, now_ms: float) -> int:
        """Begin a new segment, and remove those of which nothing counts any more; returns how many went."""
        self.log.begin_segment()
        self.lasting[self.log.next_sequence] = 0.0
        past = [start for start, until in self.lasting.items() if until <= now_ms and start != self.log.next_sequence]
        gone = 0
        for start in sorted(past):
            if start != min(self.lasting):
                break  # the log has no gaps
            self.files.remove(self.folder / "log" / segment_name(start))
            del self.lasting[start]
            gone += 1
        return gone

    def reopen(self, entries: Iterable[Entry], now_ms: float) -> None:
        """After a refusal: a new segment with all that counts. The one in which a write broke off goes, as it could not
        be told from one that was damaged; a death before that leaves a store that is filled anew."""
        self.turn(now_ms)
        listed = list(entries)
        if listed:
            self.write(listed, now_ms)
        self.log.sync()
        for start in sorted(self.lasting)[:-1]:
            self.files.remove(self.folder / "log" / segment_name(start))
            del self.lasting[start]

    def close(self) -> None:
        self.log.close()
        self.lock.close()


def examined(files: Files, folder: Path, unpacked: Unpacked) -> tuple[StoreState, int, int]:
    """The store that stands in a folder, its records and the registers in them. Nothing is changed; a folder in use
    can be looked at too.

    Raises:
        OSError, DamagedError: it can't be read, or is not as it was written; the text says where.
    """
    record = snapshot.unseal(folder / STORE, files.read(folder / STORE), STORE_KIND)
    state = msgspec.msgpack.decode(record.payload, type=StoreState)
    found = list_segments(files, folder / "log")
    first = found[0][0] if found else 1
    count, keys = 0, set()
    for one in read_records(files, folder / "log", first, LogPosition(first, 0)):
        count += 1
        try:
            keys.add(unpacked(one.payload)[0].key)
        except ValueError as error:
            raise DamagedError(f"{folder}: record {one.sequence}: {error}") from error
    return state, count, len(keys)


def found_store(files: Files, folder: Path, now_ms: float, boot: str) -> None:
    """Make the empty store of a fleet that begins: it votes from the first moment.

    Raises:
        FileExistsError: something stands in the folder.
    """
    if files.names(folder):
        raise FileExistsError(f"{folder}: is not empty: founding it again would forget what it promised")
    files.make_folder(folder / "log")
    data = msgspec.msgpack.encode(StoreState(int(now_ms), True, "", boot))
    snapshot.publish(files, folder / STORE, snapshot.seal(STORE_KIND, 1, 1, data))
