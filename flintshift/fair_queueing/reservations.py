"""Times to come back that are kept: a calendar of slots for each club, in fixed memory.

Whoever is turned away is told when the other clubs will have caught up with its own, and a place is set aside then.
The calendar is of slots, each with a bounded number of reservations_per_slot: it knows how much of a slot is given away and, by 32
bits of a keyed hash of the caller's number, to whom. Who comes at its time goes to the front of its club; who comes
before gains nothing, and where further tries are marked, a first one takes no place of its caller's. Of those who
come without a promise, one in 2**32 for each place that is kept then is taken for another. (Marks of six bits were
tried: newcomers took max_entries reservations_per_slot before their time.)
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

RESERVABLE_SHARE = 0.8  # of a slot that is given away: the rest is for those who come for the first time
LATE_SLOTS = 2  # a place is kept so long past its slot: callers are told times, and networks take some


@dataclass(frozen=True, slots=True)
class CalendarBounds:
    slot_ms: float = 50.0
    slots: int = 64  # ahead of now: no time further off is promised
    reservations_per_slot: int = 32  # of a slot

    @property
    def max_entries(self) -> int:
        """Entries that there can be: slots ahead, of now and kept for those who come late, each with its reservations_per_slot."""
        return (self.slots + LATE_SLOTS + 1) * (1 + self.reservations_per_slot)


@dataclass(slots=True)
class Slot:
    given_ms: float = 0.0
    reservations: int = 0  # given away
    marks: dict[int, int] = field(default_factory=dict)


class Calendar:
    """A club's."""

    def __init__(self, key: bytes, bounds: CalendarBounds | None = None) -> None:
        self.bounds, self.key = bounds or CalendarBounds(), key
        self.slots: dict[int, Slot] = {}
        self.now = 0  # the slot of now

    def reserve(
        self, now_ms: float, caller: int, cost_ms: float, from_ms: float, most_ms: float, draw: float
    ) -> float | None:
        """Set a place aside; returns the wait, or None where there is no room within ``most_ms``.

        ``cost_ms`` and ``from_ms`` are times at the club's share: what it will take, and what stands before it.
        ``draw`` from 0 to 1 spreads the callers of one slot, so that they do not come together.
        """
        self._advance(now_ms)
        slot_ms, room = self.bounds.slot_ms, RESERVABLE_SHARE * self.bounds.slot_ms
        last = min(int((now_ms + most_ms) / slot_ms) - 1, self.now + self.bounds.slots)
        for number in range(max(self.now + 1, int((now_ms + from_ms) / slot_ms) + 1), last + 1):
            slot = self.slots.get(number)
            if slot is None and len(self.slots) > self.bounds.slots + LATE_SLOTS:
                return None  # a clock that was set back: what was promised for later is still kept
            if slot is not None and (
                slot.given_ms + cost_ms > room or slot.reservations >= self.bounds.reservations_per_slot
            ):
                continue  # a request dearer than a slot has one for itself
            slot = self.slots.setdefault(number, Slot())
            slot.given_ms += cost_ms
            slot.reservations += 1
            mark = self._hash_caller(caller)
            slot.marks[mark] = slot.marks.get(mark, 0) + 1
            return (number + draw) * slot_ms - now_ms
        return None

    def claim(self, now_ms: float, caller: int) -> bool:
        """Whether a place is set aside for it now, which it takes by this."""
        self._advance(now_ms)
        mark = self._hash_caller(caller)
        for number in range(self.now - LATE_SLOTS, self.now + 1):
            slot = self.slots.get(number)
            if slot is not None and slot.marks.get(mark):
                slot.marks[mark] -= 1
                return True
        return False

    def _advance(self, now_ms: float) -> None:
        now = int(now_ms / self.bounds.slot_ms)
        if now != self.now:  # a clock that was set back keeps what was promised later
            self.now = now
            if self.slots:
                self.slots = {number: slot for number, slot in self.slots.items() if number >= now - LATE_SLOTS}

    def _hash_caller(self, caller: int) -> int:
        data = blake2b(caller.to_bytes(16, "big", signed=True), digest_size=4, key=self.key).digest()
        return int.from_bytes(data, "big")

    @property
    def open_reservations(self) -> int:
        """Places that are still to be taken."""
        return sum(sum(slot.marks.values()) for slot in self.slots.values())

    @property
    def entries(self) -> int:
        return sum(1 + len(slot.marks) for slot in self.slots.values())
