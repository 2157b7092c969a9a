"""Who holds a key: rendezvous hashing of its slot over the members, with copies in different halls where there are
enough.

Every member computes the same from the same list. When a member comes or goes, only keys move that it holds or is
to hold: of each copy, 1/n on average.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Mapping
from zlib import crc32

from flintshift.replication.messages import Key

SLOT_COUNT = 4096  # keys are spread over these, and slots over the members: a slot's holders are computed once


class Placement:
    """``halls`` maps each member to its hall."""

    def __init__(self, halls: Mapping[str, str], replica_count: int) -> None:
        self.halls = dict(sorted(halls.items()))
        self.replica_count = min(replica_count, len(halls))
        self.known: dict[int, tuple[str, ...]] = {}
        self.logs: dict[str, tuple[str, ...]] = {}
        seeds = {name: hashlib.blake2b(name.encode(), digest_size=16).digest() for name in self.halls}
        self._seeded = {name: hashlib.blake2b(digest_size=8, key=seed) for name, seed in seeds.items()}

    @property
    def majority(self) -> int:
        return self.replica_count // 2 + 1

    @property
    def fast_quorum(self) -> int:
        """Of the holders, so many must accept a claim of round 0 for it to be chosen: any majority then holds more of
        it than of any other."""
        return -(-3 * self.replica_count // 4)

    @staticmethod
    def slot(key: Key) -> int:
        return crc32(f"{key[0]}\n{key[1]}".encode()) % SLOT_COUNT

    def holders(self, key: Key) -> tuple[str, ...]:
        return self._of_slot(self.slot(key))

    def _of_slot(self, slot: int) -> tuple[str, ...]:
        found = self.known.get(slot)
        if found is None:
            found = self.known[slot] = self._compute_holders(slot.to_bytes(2, "big"))
        return found

    def log_holders(self, member: str) -> tuple[str, ...]:
        """Who holds the logs that this member writes: itself, and others as far from it as there are."""
        found = self.logs.get(member)
        if found is None:
            found = self.logs[member] = self._compute_holders(f"log of {member}".encode(), member)
        return found

    def holder_sets_with(self, member: str) -> set[tuple[str, ...]]:
        """All sets of holders that this member is one of."""
        every = {self._of_slot(slot) for slot in range(SLOT_COUNT)}
        return {holders for holders in every if member in holders}

    def _compute_holders(self, text: bytes, first: str | None = None) -> tuple[str, ...]:
        scores = []
        for name, seeded in self._seeded.items():
            score = seeded.copy()
            score.update(text)
            scores.append((score.digest(), name))
        ranked = [name for _, name in sorted(scores, reverse=True)]
        chosen = [first] if first is not None else []
        used: Counter[str] = Counter(self.halls[name] for name in chosen)
        while len(chosen) < self.replica_count:
            least = min(used[self.halls[name]] for name in ranked if name not in chosen)
            name = next(name for name in ranked if name not in chosen and used[self.halls[name]] == least)
            chosen.append(name)
            used[self.halls[name]] += 1
        return tuple(chosen)
