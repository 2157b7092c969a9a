"""Times to come back that are kept: a calendar of slots for each club, in fixed memory.

Whoever is turned away is told when its club will have worked off what stands before it, at its share, and a place is set
aside then. The calendar holds sums and marks, not callers: a slot knows how much of it is given away and, by a keyed hash
of the caller's number, how many of its places each mark has. Who comes at its time is known by its mark and goes to the
front of its club; who comes before gains nothing. Two callers of one mark in one slot are taken for each other: each of
them still has a place.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

PART = 0.8  # of a slot that is given away: the rest is for those who come for the first time
LATE_SLOTS = 2  # a place is kept so long past its slot: callers are told times, and networks take some


@dataclass(frozen=True, slots=True)
class CalendarBounds:
    slot_ms: float = 50.0
    slots: int = 256  # ahead of now: no time further off is promised
    marks: int = 64  # of a slot


@dataclass(slots=True)
class Slot:
    given_ms: float = 0.0
    marks: dict[int, int] = field(default_factory=dict)


class Calendar:
    """A club's."""

    def __init__(self, key: bytes, bounds: CalendarBounds | None = None) -> None:
        self.bounds, self.key = bounds or CalendarBounds(), key
        self.slots: dict[int, Slot] = {}
        self.now = 0  # the slot of now

    def promise(self, now_ms: float, caller: int, cost_ms: float, from_ms: float, most_ms: float,
                draw: float) -> float | None:
        """Set a place aside; returns the wait, or None where there is no room within ``most_ms``.

        ``cost_ms`` and ``from_ms`` are times at the club's share: what it will take, and what stands before it. ``draw``
        from 0 to 1 spreads the callers of one slot, so that they do not come together.
        """
        self._pass(now_ms)
        slot_ms, room = self.bounds.slot_ms, PART * self.bounds.slot_ms
        last = min(int((now_ms + most_ms) / slot_ms) - 1, self.now + self.bounds.slots)
        for number in range(max(self.now + 1, int((now_ms + from_ms) / slot_ms) + 1), last + 1):
            slot = self.slots.get(number)
            given = slot.given_ms if slot is not None else 0.0
            if given and given + cost_ms > room:  # a request dearer than a slot has one for itself
                continue
            slot = self.slots.setdefault(number, Slot())
            slot.given_ms += cost_ms
            mark = self._mark(caller)
            slot.marks[mark] = slot.marks.get(mark, 0) + 1
            return (number + draw) * slot_ms - now_ms
        return None

    def keeps(self, now_ms: float, caller: int) -> bool:
        """Whether a place is set aside for it now, which it takes by this."""
        self._pass(now_ms)
        mark = self._mark(caller)
        for number in range(self.now - LATE_SLOTS, self.now + 1):
            slot = self.slots.get(number)
            if slot is not None and slot.marks.get(mark):
                slot.marks[mark] -= 1
                return True
        return False

    def _pass(self, now_ms: float) -> None:
        now = int(now_ms / self.bounds.slot_ms)
        if now != self.now:  # a clock that was set back keeps what was promised later
            self.now = now
            if self.slots:
                self.slots = {number: slot for number, slot in self.slots.items() if number >= now - LATE_SLOTS}

    def _mark(self, caller: int) -> int:
        data = blake2b(caller.to_bytes(16, "big", signed=True), digest_size=4, key=self.key).digest()
        return int.from_bytes(data, "big") % self.bounds.marks

    @property
    def places(self) -> int:
        return sum(1 + len(slot.marks) for slot in self.slots.values())
