"""The ledger's folder: log, snapshots and documents on disk, and the recovery of the accounts from them.

==================  =============================================================================
``LOCK``            locked by the process that writes here
``log/``            segments (``storage/log.py``)
``snapshots/``      the accounts when a segment began, named by the last sequence in them
``documents/``      closed periods and revisions, each written once
``acks/SINK/``      a file for each document that the sink has acknowledged, with its digest
``inbox/``          corrections that were submitted to the node; ``replies/`` their results
``taken-over/``     earlier ledgers of this member, which other members took over
==================  =============================================================================

This module decides nothing: ``policy.py`` decides what is written, and ``accounts.py`` adds it up.
"""

from __future__ import annotations

import gc
from dataclasses import dataclass, field
from pathlib import Path

from flintshift.proto import usage_pb2 as pb
from flintshift.storage import snapshot
from flintshift.storage.files import Files, Lock
from flintshift.storage.log import BrokenLogError, Log, LogPosition, list_segments, read_batches
from flintshift.storage.snapshot import DamagedError
from flintshift.usage import documents
from flintshift.usage.accounts import Bounds, UnpublishedDocument, UsageAccounts
from flintshift.usage.records import CLAIM_KIND, SNAPSHOT_KIND, Entry, Opened, pack, unpack, unpack_claim
from flintshift.usage.retention import Removal, StoredDocument, StoredSegment, plan_removal

SNAPSHOT_SUFFIX = ".snapshot"
TAKEN_OVER_FOLDER = "taken-over"
REPLY_RETENTION_MS = 86_400_000.0  # how long a correction's result is kept for its author to read


@dataclass(slots=True)
class Recovery:
    """Report of a recovery."""

    records: int = 0  # replayed
    from_snapshot: int = 0  # the last sequence in the snapshot that was used; 0: there was none
    truncated_bytes: int = 0  # cut from the end of the log
    in_doubt: int = 0
    warnings: list[str] = field(default_factory=list)
    last_sequences: dict[int, int] = field(default_factory=dict)  # last record that was read of each epoch, ascending


def snapshot_name(sequence: int) -> str:
    """Return the file name of the snapshot whose last record has this sequence."""
    return f"{sequence:016x}{SNAPSHOT_SUFFIX}"


def snapshot_sequences(files: Files, folder: Path) -> list[int]:
    """Return the sequences of the snapshots in the folder, newest first."""
    return sorted(
        (
            int(name[:16], 16)
            for name in files.names(folder / "snapshots")
            if name.endswith(SNAPSHOT_SUFFIX) and len(name) == 16 + len(SNAPSHOT_SUFFIX)
        ),
        reverse=True,
    )


def load(files: Files, folder: Path, bounds: Bounds | None = None) -> tuple[UsageAccounts, LogPosition, Recovery]:
    """Recover the accounts from the folder. Nothing is changed, so a folder in use can be read too.

    Raises:
        DamagedError: a file that was written completely has changed since.
    """
    gc_was_enabled = gc.isenabled()
    gc.disable()  # records form no reference cycles, and the search for cycles takes a third of the time
    try:
        return _load(files, folder, bounds)
    finally:
        if gc_was_enabled:
            gc.enable()


def _load(files: Files, folder: Path, bounds: Bounds | None) -> tuple[UsageAccounts, LogPosition, Recovery]:
    accounts, recovery, epoch = UsageAccounts(bounds or Bounds()), Recovery(), 0
    for sequence in snapshot_sequences(files, folder):
        path = folder / "snapshots" / snapshot_name(sequence)
        try:
            record = snapshot.unseal(path, files.read(path), SNAPSHOT_KIND)
            accounts, epoch = UsageAccounts.load(record.payload, bounds), record.epoch
        except (DamagedError, ValueError) as error:
            recovery.warnings.append(f"{error}; an older one is used")
            continue
        recovery.from_snapshot = sequence
        recovery.last_sequences[epoch] = sequence
        break
    else:
        if recovery.warnings:
            raise DamagedError(f"{folder}: no snapshot can be used: {'; '.join(recovery.warnings)}")
    reach = LogPosition(accounts.state.sequence + 1, max(accounts.state.epoch, epoch))
    apply_claim, decode = accounts.apply_claim, unpack_claim
    for batch in read_batches(files, folder / "log", reach.next_sequence, reach):
        try:
            for sequence, epoch, kind, payload in batch:
                if kind == CLAIM_KIND:  # nearly all records are claims; this short path halves the recovery time
                    apply_claim(sequence, decode(payload))
                else:
                    accounts.apply(sequence, epoch, unpack(kind, payload))
        except ValueError as error:
            raise DamagedError(f"{folder}: record {sequence} can't be used: {error}") from error
        accounts.state.sequence = sequence
        recovery.records += len(batch)
        if batch[0][1] != epoch:  # records of several epochs
            recovery.last_sequences |= {record_epoch: last_sequence for last_sequence, record_epoch, _, _ in batch}
        recovery.last_sequences[epoch] = sequence
    if reach.next_sequence == 1 and any(name.endswith(documents.SUFFIX) for name in files.names(folder / "documents")):
        raise DamagedError(f"{folder}: documents are present, but the log and the snapshots are missing")
    recovery.truncated_bytes = reach.truncated_bytes
    return accounts, reach, recovery


class LedgerFolder:
    """The ledger's folder, locked by the one process that writes in it."""

    def __init__(self, files: Files, folder: Path, bounds: Bounds | None = None) -> None:
        self.files, self.folder = files, folder
        self.granted_position = (0, 0)  # epoch and sequence of a replicated ledger when its epoch was granted last
        for name in ("", "log", "snapshots", "documents", "inbox", "replies", "acks"):
            files.make_folder(folder / name)
        self.lock: Lock = files.lock(folder / "LOCK")
        try:
            for name in ("", "snapshots", "documents"):
                snapshot.remove_unfinished(files, folder / name)
            self.accounts, self.reach, self.recovery = load(files, folder, bounds)
            self.recovery.in_doubt = len(self.accounts.state.waiting)
            self.log = Log(files, folder / "log", self.reach.epoch + 1, self.reach.next_sequence)
            self.log.resume(self.reach)
        except BaseException:
            self.lock.close()
            raise

    def reload(self) -> None:
        """Recover again from the disk and continue at the end of the log.

        For an owner that does not know what an operation left behind that the disk refused.

        Raises:
            OSError, DamagedError: the folder can't be read, or the log can't be continued.
        """
        self.log.close()
        self.accounts, self.reach, self.recovery = load(self.files, self.folder, self.accounts.bounds)
        self.log = Log(self.files, self.folder / "log", max(self.log.epoch, self.reach.epoch), self.reach.next_sequence)
        self.log.resume(self.reach)

    def open(
        self, node: str, new_ledger_id: bytes, period_ms: int, clubs: list[str], classes: list[str], now_ms: int
    ) -> None:
        """Begin an incarnation. Claims of the one before that have no mark are in doubt from here on.

        ``new_ledger_id`` is used if the ledger has no id yet.
        """
        ledger_id = self.accounts.state.life or new_ledger_id
        self.append([Opened(node, ledger_id, period_ms, clubs, classes, now_ms)])
        self.log.sync()

    def set_aside(self) -> Path:
        """Make room for a new ledger, because another process continues this one; return where it was moved.

        The files are kept for operators to inspect.
        """
        self.log.close()
        state = self.accounts.state
        archive = self.folder / TAKEN_OVER_FOLDER / f"{state.life.hex()}.e{state.epoch}"
        self.files.make_folder(archive)
        for name in ("log", "snapshots", "documents", "acks"):
            if name in self.files.names(self.folder):
                self.files.rename(self.folder / name, archive / name)
        self.files.sync_folder(self.folder)
        self.lock.close()
        return archive

    def append(self, entries: list[Entry]) -> None:
        """Write records, then apply them.

        Raises:
            OSError, BrokenLogError: the disk refused; nothing was applied.
        """
        first = self.log.append([pack(entry) for entry in entries])
        self.apply(first, entries)

    def apply(self, first: int, entries: list[Entry]) -> None:
        """Apply records that were written from the sequence ``first`` on."""
        for offset, entry in enumerate(entries):
            self.accounts.apply(first + offset, self.log.epoch, entry)

    def snapshot_now(self) -> bytes:
        """Return the contents of a snapshot of the current state."""
        state = self.accounts.state
        return snapshot.seal(SNAPSHOT_KIND, self.log.epoch, state.sequence, self.accounts.dump())

    def write_snapshot(self, sequence: int, data: bytes) -> None:
        """Write a snapshot that ``snapshot_now`` made."""
        snapshot.publish(self.files, self.folder / "snapshots" / snapshot_name(sequence), data)

    def write_documents(self, unpublished: list[UnpublishedDocument]) -> int:
        """Write documents to files of their own; return the number of the last one."""
        for document in unpublished:
            snapshot.publish(self.files, self.folder / "documents" / document.name, document.data)
        return unpublished[-1].number

    def close(self) -> None:
        """Sync the log if possible, and unlock the folder."""
        try:
            if not self.log.broken and self.log.file is not None:
                self.log.sync()
        except (OSError, BrokenLogError):
            pass  # claims that are lost here are in doubt at the next start
        finally:
            self.log.close()
            self.lock.close()


def earlier_ledgers(files: Files, folder: Path) -> list[Path]:
    """Return the folders of the earlier ledgers, which other members took over."""
    return [folder / TAKEN_OVER_FOLDER / name for name in files.names(folder / TAKEN_OVER_FOLDER)]


def read_documents(files: Files, folder: Path, name_part: str = "") -> dict[str, pb.UsageDocument]:
    """Read the published documents whose names contain ``name_part``; return them by name, ordered by their numbers.

    Raises:
        DamagedError: a document can't be read.
    """
    by_name = {}
    for name in files.names(folder / "documents"):
        if documents.NAME_PATTERN.fullmatch(name) and name_part in name:
            path = folder / "documents" / name
            try:
                by_name[name] = documents.parse(files.read(path))
            except documents.DocumentError as error:
                raise DamagedError(f"{path}: {error}") from error
    return dict(sorted(by_name.items(), key=lambda pair: pair[1].number))


def unacknowledged(files: Files, folder: Path, sinks: list[str]) -> dict[str, list[str]]:
    """Return for each sink the names of the published documents that it has not acknowledged."""
    published = [name for name in files.names(folder / "documents") if documents.NAME_PATTERN.fullmatch(name)]
    missing = {}
    for sink in sinks:
        acknowledged = set(files.names(folder / "acks" / sink))
        missing[sink] = [name for name in published if name not in acknowledged]
    return missing


def retire(
    files: Files, folder: Path, sinks: list[str], retention_ms: float, now_ms: float, closed_to_ms: int
) -> Removal:
    """Remove what ``plan_removal`` names, and results of corrections that were not read in time."""
    unexported = {name for names in unacknowledged(files, folder, sinks).values() for name in names}
    stored_documents = [
        StoredDocument(
            name,
            document.period_ms,
            document.first_sequence,
            files.age_ms(folder / "documents" / name, now_ms),
            name not in unexported,
        )
        for name, document in read_documents(files, folder).items()
    ]
    stored_segments = [
        StoredSegment(name, first, files.age_ms(folder / "log" / name, now_ms))
        for first, name in list_segments(files, folder / "log")
    ]
    removal = plan_removal(
        stored_documents, stored_segments, snapshot_sequences(files, folder), retention_ms, bool(sinks), closed_to_ms
    )
    # Documents are removed before their acknowledgements: a crash in between leaves only acknowledgements, which the
    # loop below removes.
    for name in removal.documents:
        files.remove(folder / "documents" / name)
    for sink in sinks:
        remaining = set(files.names(folder / "documents"))
        for name in files.names(folder / "acks" / sink):
            if name not in remaining:
                files.remove(folder / "acks" / sink / name)
    for sequence in removal.snapshots:
        files.remove(folder / "snapshots" / snapshot_name(sequence))
    for name in removal.segments:
        files.remove(folder / "log" / name)
    for name in files.names(folder / "replies"):
        if files.age_ms(folder / "replies" / name, now_ms) >= REPLY_RETENTION_MS:
            files.remove(folder / "replies" / name)
    return removal
