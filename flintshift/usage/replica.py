"""A replica of another member's ledger: a ledger's folder, written with what the ledger's owner sends.

==============  ================================================================================
``COPY``        the ledger's member, the epoch that was promised and to whom, and whether the replica is complete
the rest        as in ``usage/folder.py``: a member that takes the ledger over continues in it
==============  ================================================================================

A replica has accounts of its own, so that a document is present here as soon as the record that makes it is, and so
that a segment can be removed once there is a snapshot of the accounts.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Mapping
from pathlib import Path

import msgspec

from flintshift.storage import snapshot
from flintshift.storage.files import Files
from flintshift.storage.log import Log, list_segments
from flintshift.storage.snapshot import DamagedError
from flintshift.usage import documents
from flintshift.usage.accounts import UsageAccounts
from flintshift.usage.folder import LedgerFolder, retire, snapshot_name, snapshot_sequences, unacknowledged
from flintshift.usage.records import Entry, Published, pack, unpack

STATE_FILE, STATE_KIND = "COPY", 34
GRANT_FILE, GRANT_KIND = "COPIED", 35


class ReplicaState(msgspec.Struct, frozen=True):
    """What a replica must remember across restarts."""

    member: str  # that began the ledger
    life: bytes  # id of the ledger
    promised: int  # highest epoch that was promised
    by: str  # the process that it was promised to
    sure: bool  # all that was acknowledged is present, unless the machine has rebooted since
    boot: str  # id of the machine's boot; empty after a clean close
    over: bool = False  # the ledger is finished, and the replica is empty


class EpochGrant(msgspec.Struct, frozen=True):
    """Whether a majority of replicas has granted the epoch under which this member writes its ledger.

    ``epoch`` and ``sequence`` are the position of the ledger's last record before that epoch.
    """

    life: bytes  # id of the ledger
    epoch: int
    sequence: int
    elected: bool
    granted_epoch: int = 0  # the epoch that was granted, if elected; 0: stored by a version that did not store it


def write_epoch_grant(files: Files, folder: Path, grant: EpochGrant) -> None:
    """Store a grant durably in the ledger's folder."""
    snapshot.publish(files, folder / GRANT_FILE, snapshot.seal(GRANT_KIND, 1, 1, msgspec.msgpack.encode(grant)))


def is_replicated(files: Files, folder: Path) -> bool:
    """Whether other members hold replicas of the ledger in this folder, so that its epochs are granted by them."""
    return GRANT_FILE in files.names(folder)


def is_replica(files: Files, folder: Path) -> bool:
    """Whether this folder is a replica of another member's ledger."""
    return STATE_FILE in files.names(folder)


def position_before_grant(
    files: Files, folder: Path, ledger_id: bytes, last_sequences: Mapping[int, int]
) -> tuple[int, int]:
    """Return the position of the ledger when its epoch was granted last, and store it before a new incarnation writes.

    ``last_sequences`` gives the last record of each epoch in the log, in ascending order. Records of an epoch that no
    majority granted don't count, whoever wrote them: another member may have taken the ledger over meanwhile.
    """
    position = max(last_sequences.items(), default=(0, 0))
    if is_replicated(files, folder):
        grant = msgspec.msgpack.decode(
            snapshot.unseal(folder / GRANT_FILE, files.read(folder / GRANT_FILE), GRANT_KIND).payload, type=EpochGrant
        )
        if grant.life == ledger_id:
            position = _last_granted_position(grant, last_sequences, position)
    write_epoch_grant(files, folder, EpochGrant(ledger_id, *position, False))
    return position


def _last_granted_position(
    grant: EpochGrant, last_sequences: Mapping[int, int], last: tuple[int, int]
) -> tuple[int, int]:
    """Return the position of the last record that was written under a granted epoch; ``last``: of the last record."""
    if not grant.elected:
        return grant.epoch, grant.sequence
    if not grant.granted_epoch:
        return last
    granted = [position for position in last_sequences.items() if position[0] <= grant.granted_epoch]
    return max(granted, default=(grant.epoch, grant.sequence))


class LedgerSnapshot(msgspec.Struct, array_like=True):
    """All that a replica needs to continue from a position."""

    accounts: bytes
    documents: list[tuple[str, bytes]]  # those that some sink does not have yet
    acks: list[tuple[str, str, bytes]]  # sink, name, digest: of these documents, which sinks have them


def snapshot_ledger(files: Files, folder: Path, accounts: UsageAccounts, sinks: Iterable[str]) -> bytes:
    """Encode the current state of a ledger's folder for a replica."""
    missing = unacknowledged(files, folder, list(sinks))
    published = [name for name in files.names(folder / "documents") if documents.NAME_PATTERN.fullmatch(name)]
    names = sorted({name for sink_names in missing.values() for name in sink_names} if missing else published)
    acks = [
        (sink, name, files.read(folder / "acks" / sink / name))
        for sink in missing
        for name in names
        if name not in missing[sink]
    ]
    return msgspec.msgpack.encode(
        LedgerSnapshot(accounts.dump(), [(name, files.read(folder / "documents" / name)) for name in names], acks)
    )


def list_replicas(files: Files, folder: Path) -> list[tuple[Path, ReplicaState]]:
    """Return the replicas below a folder with their stored states."""
    replicas = []
    for name in files.names(folder):
        if STATE_FILE in files.names(folder / name):
            path = folder / name / STATE_FILE
            replicas.append(
                (
                    folder / name,
                    msgspec.msgpack.decode(
                        snapshot.unseal(path, files.read(path), STATE_KIND).payload, type=ReplicaState
                    ),
                )
            )
    return replicas


def remove_contents(files: Files, folder: Path) -> None:
    """Remove the ledger's files from a replica's folder; its state file remains."""
    acks = [f"acks/{sink}" for sink in files.names(folder / "acks")]
    for subfolder in ("log", "snapshots", "documents", "inbox", "replies", *acks):
        for name in files.names(folder / subfolder):
            files.remove(folder / subfolder / name)


def replica_folder_name(member: str, ledger_id: bytes) -> str:
    """Return the name of the folder that holds a replica of this ledger."""
    return f"{member}.{ledger_id.hex()}"


class Replica:
    """A replica's folder, locked by the one process that writes in it.

    Raises:
        OSError, LockedError, DamagedError: the folder can't be used.
    """

    def __init__(self, files: Files, folder: Path, state: ReplicaState, segment_bytes: int) -> None:
        self.files, self.folder, self.state, self.segment_bytes = files, folder, state, segment_bytes
        self.sync_failed = False  # the last writes can be read, but a power cut may lose them
        files.make_folder(folder)
        self.ledger = LedgerFolder(files, folder)

    @property
    def last(self) -> tuple[int, int]:
        """Epoch and sequence of the last record."""
        return self.ledger.reach.epoch, self.ledger.log.next_sequence - 1

    def save_state(self, **changes: object) -> None:
        """Change the stored state durably.

        ``state`` is what the disk has accepted: if the disk refuses, nothing has changed.
        """
        state = msgspec.structs.replace(self.state, **changes)
        snapshot.publish(
            self.files, self.folder / STATE_FILE, snapshot.seal(STATE_KIND, 1, 1, msgspec.msgpack.encode(state))
        )
        self.state = state

    @property
    def writable(self) -> bool:
        """The contents of the log are known, and it can be appended to."""
        log = self.ledger.log
        return log.file is not None and (not log.broken or log.append_failed)

    @property
    def complete(self) -> bool:
        """All that was acknowledged is present and can be continued."""
        return self.state.sure and self.writable and not self.sync_failed

    def mark_in_doubt(self) -> None:
        """Note that a sync failed, after which the system takes the pages for written.

        It is stored for the next process too, if the disk accepts it. Only a new snapshot from the owner makes the
        replica complete again.
        """
        self.sync_failed = True
        with contextlib.suppress(OSError):
            self.save_state(sure=False)

    def recover(self) -> None:
        """Read the disk again after it refused, where the contents of the log are not known.

        Raises:
            OSError, DamagedError: the log can't be read or continued; the replica must be filled anew.
        """
        if not self.state.over and not self.writable:
            self.ledger.reload()

    def append(self, epoch: int, first: int, records: Iterable[tuple[int, bytes]]) -> None:
        """Append records from the owner and apply them.

        Raises:
            OSError, BrokenLogError: the disk refused.
            DamagedError: the records can't be decoded, or do not follow the last one here.
        """
        items, log = list(records), self.ledger.log
        if first != log.next_sequence:
            raise DamagedError(f"{self.folder}: record {first} arrived where {log.next_sequence} was expected")
        try:
            entries = [unpack(kind, payload) for kind, payload in items]
        except ValueError as error:
            raise DamagedError(f"{self.folder}: records from {first} on: {error}") from error
        log.epoch = epoch
        begin = 0
        for index, entry in enumerate(entries):
            if isinstance(entry, Published):
                self._write_and_apply(items[begin:index], entries[begin:index])
                begin = index
                self._write_documents(entry)  # before the record that says that they are in files
        self._write_and_apply(items[begin:], entries[begin:])
        if log.size >= self.segment_bytes:
            self.rotate_segment()

    def _write_and_apply(self, items: list[tuple[int, bytes]], entries: list[Entry]) -> None:
        """Write records, then apply them."""
        if not items:
            return
        log = self.ledger.log
        first = log.append_with_retry(items)
        for offset, entry in enumerate(entries):
            self.ledger.accounts.apply(first + offset, log.epoch, entry)
        self.ledger.reach.epoch = log.epoch

    def _write_documents(self, published: Published) -> None:
        unpublished = [
            document for document in self.ledger.accounts.state.documents if document.number <= published.number
        ]
        if unpublished:
            self.ledger.write_documents(unpublished)

    def write(self, *entries: object) -> tuple[int, list[tuple[int, bytes]]]:
        """Append records of a member that took the ledger over.

        Returns the sequence of the first one, and the encoded records for the other replicas.
        """
        items = [pack(entry) for entry in entries]  # type: ignore[arg-type]
        first = self.ledger.log.next_sequence
        self.append(self.ledger.log.epoch, first, items)
        return first, items

    def rotate_segment(self) -> None:
        """Write a snapshot, begin a segment after it, and remove what is older."""
        sequence = self.ledger.accounts.state.sequence
        self.ledger.write_snapshot(sequence, self.ledger.snapshot_now())
        self.ledger.log.begin_segment()
        self._remove_all_but(sequence)

    def _remove_all_but(self, sequence: int) -> None:
        """Remove all snapshots but this one, and the segments that it makes unnecessary."""
        for first, name in list_segments(self.files, self.folder / "log"):
            if first <= sequence:
                self.files.remove(self.folder / "log" / name)
        for snapshot_sequence in snapshot_sequences(self.files, self.folder):
            if snapshot_sequence != sequence:
                self.files.remove(self.folder / "snapshots" / snapshot_name(snapshot_sequence))

    def install_snapshot(self, epoch: int, sequence: int, data: bytes) -> None:
        """Replace the ledger's contents by a snapshot from its owner.

        The replica counts as incomplete until the caller stores that it is complete.

        Raises:
            OSError: the disk refused.
            DamagedError: the data is no complete ledger.
        """
        try:
            received = msgspec.msgpack.decode(data, type=LedgerSnapshot)
            accounts = UsageAccounts.load(received.accounts)
        except (msgspec.DecodeError, ValueError) as error:
            raise DamagedError(f"{self.folder}: the received data is no ledger: {error}") from error
        self.save_state(sure=False)
        ledger, files, folder = self.ledger, self.files, self.folder
        ledger.log.close()
        for _, name in list_segments(files, folder / "log"):
            files.remove(folder / "log" / name)
        for name, document in received.documents:
            if documents.NAME_PATTERN.fullmatch(name):
                snapshot.publish(files, folder / "documents" / name, document)
        for sink, name, digest in received.acks:
            self.record_acknowledgement(sink, name, digest)
        ledger.accounts, ledger.reach.epoch = accounts, epoch
        ledger.log = Log(files, folder / "log", epoch, sequence + 1)
        ledger.write_snapshot(sequence, ledger.snapshot_now())
        ledger.log.begin_segment()
        self._remove_all_but(sequence)
        self.sync_failed = False

    def record_acknowledgement(self, sink: str, name: str, digest: bytes) -> None:
        """Store that a sink has this document."""
        if documents.NAME_PATTERN.fullmatch(name) and sink in ("folder", "http"):
            self.files.make_folder(self.folder / "acks" / sink)
            snapshot.publish(self.files, self.folder / "acks" / sink / name, digest)

    def retire(self, sinks: list[str], retention_ms: float, now_ms: float) -> None:
        """Remove what the retention allows."""
        retire(self.files, self.folder, sinks, retention_ms, now_ms, self.ledger.accounts.state.closed_to)

    def mark_finished(self, epoch: int) -> None:
        """Store that the ledger is finished, and remove its contents."""
        self.save_state(promised=epoch, over=True, sure=False)
        self.ledger.log.close()
        remove_contents(self.files, self.folder)

    def delete(self) -> None:
        """Remove the replica with its state."""
        self.close(clean=False)
        remove_contents(self.files, self.folder)
        self.files.remove(self.folder / STATE_FILE)

    def close(self, clean: bool = True) -> None:
        """Close the ledger. With ``clean``, store whether it stays complete through a restart of the machine."""
        self.ledger.close()
        if not clean or self.state.over:
            return
        if self.sync_failed:
            self.save_state(sure=False)
        elif not self.ledger.log.broken:
            self.save_state(boot="")
