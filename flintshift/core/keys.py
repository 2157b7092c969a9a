"""The key table: which keyed requests are open here or have run, for how long they are known, and with what result."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from flintshift.core.attempts import Attempt
from flintshift.core.limits import Limits
from flintshift.interface import Outcome


class Stage(IntEnum):
    """The state of a key: here, at the other process of an upgrade, and at the holders of its replicas."""

    CLAIMED = 1  # a try of it may run, or may have run
    FINISHED = 2  # it ran, and its outcome is known, or can't be known any more: then Outcome.ERROR
    FREE = 3  # it never ran; a table holds no entry of such a key


@dataclass(slots=True, eq=False)
class KeyEntry:
    """What is known of one key: the attempt that runs or has run under it, and its outcome."""

    owner: str  # the attempt that is open or has run
    live_until_ms: float  # repeats that reached the machine before then belong to it
    digest: bytes  # of tenant and body, which are the same for all tries of one request
    outcome: Outcome | None = None  # of the owner's run, once that has ended
    result: bytes = b""
    followers: list[str] = field(default_factory=list)  # attempts that wait for the owner's run
    foreign: bool = False  # the owner is an attempt in another process

    @property
    def stage(self) -> Stage:
        """CLAIMED until the outcome is known, then FINISHED."""
        return Stage.CLAIMED if self.outcome is None else Stage.FINISHED

    @property
    def runs_here(self) -> bool:
        """Whether the owner's run is open in this process, which alone decides how it ends."""
        return self.stage is Stage.CLAIMED and not self.foreign

    @property
    def runs_in_other_process(self) -> bool:
        """Whether the owner's run is open in another process."""
        return self.stage is Stage.CLAIMED and self.foreign


def fingerprint(attempt: Attempt) -> bytes:
    """A digest that is equal for all tries of one request."""
    return hashlib.blake2b(f"{attempt.tenant}\n".encode() + attempt.body, digest_size=16).digest()


class KeyTable:
    """The entries of all keys that are known in this process, bounded in number and in bytes of results."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.entries: dict[tuple[str, str], KeyEntry] = {}  # by class and key, as keys are scoped by class
        # Bytes of results. Until a run has ended, the largest result is reserved for it, so that its result fits.
        self.reserved_bytes = 0

    def find(self, attempt: Attempt) -> KeyEntry | None:
        """The entry that this attempt repeats, judged by when it reached the machine and not by when it was read. A try
        that is still open here can be repeated at any age: a window may be shorter than a deadline."""
        entry = self.entries.get((attempt.class_name, attempt.request_key or ""))
        if entry is None or (attempt.arrival_ms > entry.live_until_ms and not entry.runs_here):
            return None
        return entry

    def is_full(self) -> bool:
        """Whether no further keyed work may start: a live key is never dropped to make room."""
        max_reserved_bytes = self.limits.max_key_result_bytes - self.limits.max_result_bytes
        return len(self.entries) >= self.limits.max_keys or self.reserved_bytes > max_reserved_bytes

    def claim(self, attempt: Attempt, until_ms: float) -> None:
        """Make the attempt the owner of its key until this time, or extend the time that it owns it."""
        key = (attempt.class_name, attempt.request_key or "")
        entry = self.entries.get(key)
        until_ms = max(until_ms, attempt.arrival_ms) + self.limits.key_margin_ms
        if entry is not None and entry.owner == attempt.id:
            entry.live_until_ms = max(entry.live_until_ms, until_ms)
            return
        if entry is not None:
            self._drop(key)
        self.entries[key] = KeyEntry(attempt.id, until_ms, fingerprint(attempt))
        self.reserved_bytes += self.limits.max_result_bytes

    def owned_entry(self, attempt: Attempt) -> KeyEntry | None:
        """The entry of the attempt's key, if the attempt owns it."""
        entry = self.entries.get((attempt.class_name, attempt.request_key or ""))
        return entry if entry is not None and entry.owner == attempt.id else None

    def record_outcome(self, entry: KeyEntry, outcome: Outcome, result: bytes) -> list[str]:
        """The owner's run has ended: store its outcome, and return the attempts that waited for it."""
        if entry.stage is Stage.CLAIMED:
            self.reserved_bytes += len(result) - self.limits.max_result_bytes
            entry.outcome, entry.result = outcome, result
        waiting, entry.followers = entry.followers, []
        return waiting

    def release(self, attempt: Attempt) -> list[str]:
        """The owner never ran: drop its entry and return the attempts that waited for it."""
        entry = self.owned_entry(attempt)
        if entry is None:
            return []
        self._drop((attempt.class_name, attempt.request_key or ""))
        return entry.followers

    # Reports of other processes: the node's other one in an upgrade, and the holders of replicas.

    def adopt(self, key: tuple[str, str], entry: KeyEntry, now_ms: float) -> list[str]:
        """Store an entry of another process; returns the attempts that waited under an entry which this one replaces.
        An entry whose run is open here, and which has not expired at ``now_ms``, stays: the other is older."""
        previous = self.entries.get(key)
        if previous is not None and previous.runs_here and previous.live_until_ms >= now_ms:
            return []
        if previous is not None:
            self._drop(key)
            if previous.owner == entry.owner:
                entry.followers, previous.followers = previous.followers, []
        self.entries[key] = entry
        self.reserved_bytes += self._result_bytes(entry)
        return previous.followers if previous is not None else []

    def foreign_entry(self, key: tuple[str, str], owner: str) -> KeyEntry | None:
        """The entry of the key, if this attempt of another process owns it."""
        entry = self.entries.get(key)
        return entry if entry is not None and entry.foreign and entry.owner == owner else None

    def release_foreign(self, key: tuple[str, str], owner: str) -> list[str]:
        """The other process's attempt never ran: drop its entry and return the attempts that waited for it."""
        entry = self.foreign_entry(key, owner)
        if entry is None:
            return []
        self._drop(key)
        return entry.followers

    def fail_foreign_runs(self) -> list[str]:
        """The other process has ended, so the outcome of its open runs can't be known: record them as failed, so that
        they never run again. Returns the attempts that waited for them."""
        waiting: list[str] = []
        for entry in self.entries.values():
            if entry.runs_in_other_process:
                waiting += self.record_outcome(entry, Outcome.ERROR, b"")
            entry.foreign = False
        return waiting

    def _drop(self, key: tuple[str, str]) -> None:
        entry = self.entries.pop(key)
        self.reserved_bytes -= self._result_bytes(entry)

    def _result_bytes(self, entry: KeyEntry) -> int:
        """Bytes reserved for its result."""
        return self.limits.max_result_bytes if entry.stage is Stage.CLAIMED else len(entry.result)

    def purge(self, now_ms: float, open_attempts: Iterator[str]) -> None:
        """Drop entries whose window has passed, except those whose owner is still open."""
        open_owners, expiry_ms = set(open_attempts), now_ms - self.limits.max_repeat_delay_ms
        for key in [
            key
            for key, entry in self.entries.items()
            if entry.live_until_ms < expiry_ms and entry.owner not in open_owners and not entry.runs_in_other_process
        ]:
            self._drop(key)
