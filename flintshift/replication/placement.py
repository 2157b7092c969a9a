"""Placement of keys on members: rendezvous hashing of a key's slot, with replicas in different halls where possible.

Every member computes the same placement from the same list of members. When a member joins or leaves, only the keys
that it holds, or is to hold, move: 1/n of all replicas on average.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Mapping
from functools import cached_property
from zlib import crc32

from flintshift.replication.messages import Key

SLOT_COUNT = 4096  # keys are hashed to slots and slots to members, so that a slot's holders are computed only once


class Placement:
    """Maps keys and logs to the members that hold them. ``halls`` maps each member to its hall."""

    def __init__(self, halls: Mapping[str, str], replica_count: int) -> None:
        self.halls = dict(sorted(halls.items()))
        self.replica_count = min(replica_count, len(halls))
        self.holders_by_slot: dict[int, tuple[str, ...]] = {}
        self.holders_by_writer: dict[str, tuple[str, ...]] = {}
        hash_keys = {name: hashlib.blake2b(name.encode(), digest_size=16).digest() for name in self.halls}
        self._member_hashes = {name: hashlib.blake2b(digest_size=8, key=key) for name, key in hash_keys.items()}

    @cached_property
    def digest(self) -> bytes:
        """A digest of all that the placement is computed from."""
        members = "".join(f"{name} {hall}\n" for name, hall in self.halls.items())
        return hashlib.blake2b(f"{self.replica_count}\n{members}".encode(), digest_size=8).digest()

    @property
    def majority(self) -> int:
        """The number of holders that make a majority."""
        return self.replica_count // 2 + 1

    @property
    def fast_quorum(self) -> int:
        """The number of holders that must accept a claim in round 0 for it to be chosen.

        With that many, any majority holds more acceptances of this claim than of any other.
        """
        return -(-3 * self.replica_count // 4)

    @staticmethod
    def slot(key: Key) -> int:
        """The slot of a key; keys of one slot have the same holders."""
        return crc32(f"{key[0]}\n{key[1]}".encode()) % SLOT_COUNT

    def holders(self, key: Key) -> tuple[str, ...]:
        """The members that hold replicas of a key."""
        return self._slot_holders(self.slot(key))

    def _slot_holders(self, slot: int) -> tuple[str, ...]:
        holders = self.holders_by_slot.get(slot)
        if holders is None:
            holders = self.holders_by_slot[slot] = self._compute_holders(slot.to_bytes(2, "big"))
        return holders

    def log_holders(self, member: str) -> tuple[str, ...]:
        """The holders of this member's own logs: the member itself, then others in as many halls as possible.

        A log of a member that is not listed any more may be held by any of the others, since an earlier list placed it.
        """
        if member not in self.halls:
            return tuple(self.halls)
        holders = self.holders_by_writer.get(member)
        if holders is None:
            holders = self.holders_by_writer[member] = self._compute_holders(f"log of {member}".encode(), member)
        return holders

    def holder_sets_with(self, member: str) -> set[tuple[str, ...]]:
        """All sets of holders that include this member."""
        holder_sets = {self._slot_holders(slot) for slot in range(SLOT_COUNT)}
        return {holders for holders in holder_sets if member in holders}

    def _compute_holders(self, subject: bytes, first: str | None = None) -> tuple[str, ...]:
        """The holders of what ``subject`` names; ``first`` is a holder in any case."""
        scores = []
        for name, member_hash in self._member_hashes.items():
            score = member_hash.copy()
            score.update(subject)
            scores.append((score.digest(), name))
        ranked = [name for _, name in sorted(scores, reverse=True)]
        chosen = [first] if first is not None else []
        replicas_by_hall: Counter[str] = Counter(self.halls[name] for name in chosen)
        while len(chosen) < self.replica_count:
            fewest = min(replicas_by_hall[self.halls[name]] for name in ranked if name not in chosen)
            name = next(name for name in ranked if name not in chosen and replicas_by_hall[self.halls[name]] == fewest)
            chosen.append(name)
            replicas_by_hall[self.halls[name]] += 1
        return tuple(chosen)
