"""Who holds a key: rendezvous hashing over the members, with copies in different halls where there are enough.

Every member computes the same from the same list. When a member comes or goes, only keys move that it holds or is to
hold: of each copy, 1/n on average.
"""

from __future__ import annotations

import hashlib
from collections import Counter, OrderedDict
from collections.abc import Mapping

from flintshift.copies.vocabulary import Key

REMEMBERED = 4096  # keys whose holders are not computed anew


class Placement:
    """``halls`` maps each member to its hall."""

    def __init__(self, halls: Mapping[str, str], copies: int) -> None:
        self.halls = dict(sorted(halls.items()))
        self.copies = min(copies, len(halls))
        self.known: OrderedDict[Key, tuple[str, ...]] = OrderedDict()
        self._seeds = {name: hashlib.blake2b(name.encode(), digest_size=16).digest() for name in self.halls}

    @property
    def majority(self) -> int:
        return self.copies // 2 + 1

    @property
    def all_at_once(self) -> int:
        """Of the holders, so many must accept a claim of round 0 for it to be chosen: any majority then holds more of
        it than of any other."""
        return -(-3 * self.copies // 4)

    def holders(self, key: Key) -> tuple[str, ...]:
        found = self.known.get(key)
        if found is None:
            found = self.known[key] = self._computed(key)
            if len(self.known) > REMEMBERED:
                self.known.popitem(last=False)
        return found

    def _computed(self, key: Key) -> tuple[str, ...]:
        text = f"{key[0]}\n{key[1]}".encode()
        scores = sorted(((hashlib.blake2b(text, digest_size=8, key=seed).digest(), name)
                         for name, seed in self._seeds.items()), reverse=True)
        ranked = [name for _, name in scores]
        chosen: list[str] = []
        used: Counter[str] = Counter()
        while len(chosen) < self.copies:
            least = min(used[self.halls[name]] for name in ranked if name not in chosen)
            name = next(name for name in ranked if name not in chosen and used[self.halls[name]] == least)
            chosen.append(name)
            used[self.halls[name]] += 1
        return tuple(chosen)
