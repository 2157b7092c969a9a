"""The key table: which keyed requests are held here or have run, for how long, and with what result."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from flintshift.core.attempts import Attempt
from flintshift.core.limits import Limits
from flintshift.interface import Outcome


class Stage(IntEnum):
    """Where a key stands: here, at the other process of an upgrade, and at the holders of its copies."""

    CLAIMED = 1  # a try of it may run, or may have run
    FINISHED = 2  # it ran, and how it ended is known; or nobody can know any more, which is Outcome.ERROR
    FREE = 3  # it never ran; a table holds no entry of such a key


@dataclass(slots=True, eq=False)
class KeyEntry:
    owner: str  # the attempt that is held or has run
    live_until_ms: float  # repeats that came to the machine before belong to it
    digest: bytes  # of its tenant and body, which all tries of one request share
    outcome: Outcome | None = None  # of its run, once over
    result: bytes = b""
    followers: list[str] = field(default_factory=list)  # attempts that wait for that run
    foreign: bool = False  # the owner is an attempt of another process

    @property
    def stage(self) -> Stage:
        return Stage.CLAIMED if self.outcome is None else Stage.FINISHED

    @property
    def runs_here(self) -> bool:
        """Nobody else may say how it ends."""
        return self.stage is Stage.CLAIMED and not self.foreign

    @property
    def runs_in_other_process(self) -> bool:
        return self.stage is Stage.CLAIMED and self.foreign


def fingerprint(attempt: Attempt) -> bytes:
    return hashlib.blake2b(f"{attempt.tenant}\n".encode() + attempt.body, digest_size=16).digest()


class KeyTable:
    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.entries: dict[tuple[str, str], KeyEntry] = {}  # by class and key: keys are scoped by class
        # Bytes of results: the largest for each whose run is not over, so that what has started finds room.
        self.reserved_bytes = 0

    def find(self, attempt: Attempt) -> KeyEntry | None:
        """The entry that this attempt repeats, by when it came to the machine and not by when it was read. A try that
        is still open here is repeated however long ago it came: a window may be shorter than a deadline."""
        entry = self.entries.get((attempt.class_name, attempt.request_key or ""))
        if entry is None or (attempt.arrival_ms > entry.live_until_ms and not entry.runs_here):
            return None
        return entry

    def is_full(self) -> bool:
        """No further keyed work may start: a live key is never forgotten to make room."""
        most = self.limits.max_key_result_bytes - self.limits.max_result_bytes
        return len(self.entries) >= self.limits.max_keys or self.reserved_bytes > most

    def claim(self, attempt: Attempt, until_ms: float) -> None:
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
        entry = self.entries.get((attempt.class_name, attempt.request_key or ""))
        return entry if entry is not None and entry.owner == attempt.id else None

    def record_outcome(self, entry: KeyEntry, outcome: Outcome, result: bytes) -> list[str]:
        """The owner's run is over: keep how, and return the attempts that waited for it."""
        if entry.stage is Stage.CLAIMED:
            self.reserved_bytes += len(result) - self.limits.max_result_bytes
            entry.outcome, entry.result = outcome, result
        waiting, entry.followers = entry.followers, []
        return waiting

    def release(self, attempt: Attempt) -> list[str]:
        """The owner never ran: drop its entry and return the attempts that waited for it."""
        entry = self.owned(attempt)
        if entry is None:
            return []
        self._drop((attempt.class_name, attempt.request_key or ""))
        return entry.followers

    # What other processes tell: the node's other one in an upgrade, and holders of copies.

    def adopt(self, key: tuple[str, str], entry: KeyEntry, now_ms: float) -> list[str]:
        """Hold what another process holds; returns attempts that waited under an entry that this replaces. What runs
        here, and is not past ``now_ms``, stays: what another tells of it is older."""
        before = self.entries.get(key)
        if before is not None and before.runs_here and before.live_until_ms >= now_ms:
            return []
        if before is not None:
            self._drop(key)
            if before.owner == entry.owner:
                entry.followers, before.followers = before.followers, []
        self.entries[key] = entry
        self.reserved_bytes += self._room(entry)
        return before.followers if before is not None else []

    def foreign_entry(self, key: tuple[str, str], owner: str) -> KeyEntry | None:
        entry = self.entries.get(key)
        return entry if entry is not None and entry.foreign and entry.owner == owner else None

    def release_foreign(self, key: tuple[str, str], owner: str) -> list[str]:
        """The other's attempt never ran: drop its entry and return the attempts that waited for it."""
        entry = self.foreign_entry(key, owner)
        if entry is None:
            return []
        self._drop(key)
        return entry.followers

    def fail_foreign_runs(self) -> list[str]:
        """The other process has ended. How its runs ended that were not over is known by nobody: they have failed,
        and are never run again. Returns the attempts that waited for them."""
        waiting: list[str] = []
        for entry in self.entries.values():
            if entry.runs_in_other_process:
                waiting += self.record_outcome(entry, Outcome.ERROR, b"")
            entry.foreign = False
        return waiting

    def _drop(self, key: tuple[str, str]) -> None:
        entry = self.entries.pop(key)
        self.reserved_bytes -= self._room(entry)

    def _room(self, entry: KeyEntry) -> int:
        """Bytes booked for its result."""
        return self.limits.max_result_bytes if entry.stage is Stage.CLAIMED else len(entry.result)

    def purge(self, now_ms: float, open_: Iterator[str]) -> None:
        """Drop entries whose window has passed, but none whose owner is still open."""
        live, past = set(open_), now_ms - self.limits.max_repeat_delay_ms
        for key in [
            key
            for key, entry in self.entries.items()
            if entry.live_until_ms < past and entry.owner not in live and not entry.runs_in_other_process
        ]:
            self._drop(key)
