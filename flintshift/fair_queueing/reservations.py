"""Reserved retry times: a calendar of time slots for each club, in fixed memory.

A rejected caller is given the time at which the other clubs will have caught up with its own, and capacity is reserved
then. The calendar consists of slots with a bounded number of reservations. It knows how much of a slot is reserved and,
by a keyed hash of 32 bits of the caller's number, for whom. A caller that returns at its time goes to the front of its
club; one that returns early gains nothing, and where further tries are marked, a first try never claims a reservation
of its caller. A caller without a reservation is mistaken for the holder of an open one with a probability of 1 in 2**32
for each reservation that is open then. (Hashes of 6 bits let newcomers claim most reservations early.)
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

RESERVABLE_SHARE = 0.8  # of a slot; the rest is for callers that come for the first time
LATE_SLOTS = 2  # a reservation outlasts its slot by so many: callers are given times, and networks add a delay


@dataclass(frozen=True, slots=True)
class CalendarBounds:
    """The sizes of a calendar."""

    slot_ms: float = 50.0
    slots: int = 64  # ahead of the current one: no later time is reserved
    reservations_per_slot: int = 32

    @property
    def max_entries(self) -> int:
        """The maximum number of entries: future slots, the current one and those kept for late callers, each with its
        reservations."""
        return (self.slots + LATE_SLOTS + 1) * (1 + self.reservations_per_slot)


@dataclass(slots=True)
class Slot:
    """The reservations of one time slot."""

    reserved_ms: float = 0.0
    reservations: int = 0  # made so far
    unclaimed: dict[int, int] = field(default_factory=dict)  # reservations by the hash of the caller's number


class Calendar:
    """The reservations of one club."""

    def __init__(self, key: bytes, bounds: CalendarBounds | None = None) -> None:
        self.bounds, self.key = bounds or CalendarBounds(), key
        self.slots: dict[int, Slot] = {}
        self.current_slot = 0

    def reserve(
        self, now_ms: float, caller: int, cost_ms: float, earliest_ms: float, max_wait_ms: float, jitter: float
    ) -> float | None:
        """Reserve capacity for a caller; return the wait, or None where there is no capacity within ``max_wait_ms``.

        ``cost_ms``, the cost of the request, and ``earliest_ms``, the work that precedes it, are times at the club's
        share. ``jitter``, from 0 to 1, spreads the callers of one slot, so that they do not arrive together.
        """
        self._advance(now_ms)
        slot_ms, reservable_ms = self.bounds.slot_ms, RESERVABLE_SHARE * self.bounds.slot_ms
        last = min(int((now_ms + max_wait_ms) / slot_ms) - 1, self.current_slot + self.bounds.slots)
        for number in range(max(self.current_slot + 1, int((now_ms + earliest_ms) / slot_ms) + 1), last + 1):
            slot = self.slots.get(number)
            if slot is None and len(self.slots) > self.bounds.slots + LATE_SLOTS:
                return None  # the clock was set back: reservations at later times are still kept
            if slot is not None and (
                slot.reserved_ms + cost_ms > reservable_ms or slot.reservations >= self.bounds.reservations_per_slot
            ):
                continue  # a request that costs more than a slot has one to itself
            slot = self.slots.setdefault(number, Slot())
            slot.reserved_ms += cost_ms
            slot.reservations += 1
            caller_hash = self._hash_caller(caller)
            slot.unclaimed[caller_hash] = slot.unclaimed.get(caller_hash, 0) + 1
            return (number + jitter) * slot_ms - now_ms
        return None

    def claim(self, now_ms: float, caller: int) -> bool:
        """Use up a reservation that the caller has now; return whether it had one."""
        self._advance(now_ms)
        caller_hash = self._hash_caller(caller)
        for number in range(self.current_slot - LATE_SLOTS, self.current_slot + 1):
            slot = self.slots.get(number)
            if slot is not None and slot.unclaimed.get(caller_hash):
                slot.unclaimed[caller_hash] -= 1
                return True
        return False

    def _advance(self, now_ms: float) -> None:
        current_slot = int(now_ms / self.bounds.slot_ms)
        if current_slot != self.current_slot:  # a clock that was set back keeps the reservations at later times
            self.current_slot = current_slot
            if self.slots:
                self.slots = {
                    number: slot for number, slot in self.slots.items() if number >= current_slot - LATE_SLOTS
                }

    def _hash_caller(self, caller: int) -> int:
        digest = blake2b(caller.to_bytes(16, "big", signed=True), digest_size=4, key=self.key).digest()
        return int.from_bytes(digest, "big")

    @property
    def open_reservations(self) -> int:
        """The number of reservations that are not claimed yet."""
        return sum(sum(slot.unclaimed.values()) for slot in self.slots.values())

    @property
    def entries(self) -> int:
        """The number of entries of its tables."""
        return sum(1 + len(slot.unclaimed) for slot in self.slots.values())
