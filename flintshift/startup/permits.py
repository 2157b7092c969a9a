"""Start permits among members, without I/O: of a fleet that starts, a few at a time take callers, so that the services
below meet a few cold nodes and not hundreds.

A permit is a lease. Whoever wants one asks the member that is first in an order which all compute alike, of those in
its reach; that one grants as many as the fleet allows at once, in the order in which they were asked for. A permit
ends when its holder says so, when its process is known to be dead, or when its lease has passed without being asked
for again. Two members that both take themselves for the first (behind a cut, or after one died) grant twice as many
for a lease at most: permits are a pace, no promise, and nothing is unsafe without one.

Nobody waits for ever: without a member in reach a node goes on after `alone_ms`, and after `patience_ms` in any case.
A member that is in reach and does not answer for `alone_ms` (it hangs, or is of a release that knows no permits) is
passed over; after two of them the start goes on.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from flintshift.startup.backoff import Uniform


@dataclass(frozen=True, slots=True)
class PermitTiming:
    """Milliseconds."""

    lease_ms: float = 2000.0  # a permit that is not asked for again ends
    again_ms: float = 250.0  # between two questions of one that waits, drawn within half of it
    alone_ms: float = 1000.0  # without a member in reach: the most that a node alone is made slower
    patience_ms: float = 20_000.0
    most: int = 4096  # that wait or hold, at one granter


MUTE_MOST = 2  # members that do not answer, before nobody is asked any more


# Between members.


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """``number`` rises with each question of a process, so that an answer to an earlier one is known as such."""

    number: int
    holds: bool = False  # it has one and goes on with it, whoever granted it
    done: bool = False  # it needs none any more


@dataclass(frozen=True, slots=True)
class Permit:
    number: int  # of the question
    granted: bool


# Whoever wants one.


@dataclass(frozen=True, slots=True)
class SendPermitRequest:
    to: str  # a member
    word: PermitRequest


@dataclass(frozen=True, slots=True)
class Proceed:
    """The start goes on."""

    cause: str
    after_ms: float


Action = SendPermitRequest | Proceed


def granter_order(members: Iterable[str]) -> list[str]:
    """Who is asked first; the same at all members, whatever the order of their lists."""
    return sorted(members, key=lambda name: hashlib.blake2b(f"start {name}".encode(), digest_size=8).digest())


@dataclass(slots=True)
class PermitRequester:
    """``members``: all of the fleet, this one too. It asks itself as it asks the others."""

    me: str
    members: tuple[str, ...]
    uniform: Uniform
    pace: PermitTiming = field(default_factory=PermitTiming)
    wanted_ms: float | None = None
    proceeded: bool = False
    ended: bool = False
    number: int = 0
    next_ms: float = 0.0
    granter: str = ""
    answered_ms: float = 0.0  # the granter, or when it was first asked
    mute: set[str] = field(default_factory=set)  # members in reach that did not answer

    def request(self, now_ms: float, reached: set[str]) -> list[Action]:
        if self.wanted_ms is None:
            self.wanted_ms = self.next_ms = now_ms
        return self.tick(now_ms, reached)

    def tick(self, now_ms: float, reached: set[str]) -> list[Action]:
        """``reached``: the other members that this one has a link to."""
        if self.wanted_ms is None or self.ended:
            return []
        waited = now_ms - self.wanted_ms
        others = reached - {self.me}
        if not self.proceeded and not others and len(self.members) > 1:
            return self._go(now_ms, "no member is in reach") if waited >= self.pace.alone_ms else []
        if not self.proceeded and waited >= self.pace.patience_ms:
            return self._go(now_ms, "no permit came in time")
        if now_ms < self.next_ms:
            return []
        if not self.proceeded and self.granter and now_ms - self.answered_ms >= self.pace.alone_ms:
            self.mute.add(self.granter)
            if len(self.mute) >= MUTE_MOST:
                return self._go(now_ms, f"{' and '.join(sorted(self.mute))} do not answer")
        self.next_ms = now_ms + (
            self.pace.lease_ms / 3 if self.proceeded else self.pace.again_ms * self.uniform(0.5, 1.5)
        )
        self.number += 1
        first = next(name for name in granter_order(self.members) if name == self.me or name in others - self.mute)
        if first != self.granter:
            self.granter, self.answered_ms = first, now_ms
        return [SendPermitRequest(self.granter, PermitRequest(self.number, holds=self.proceeded))]

    def on_permit(self, now_ms: float, by: str, permit: Permit) -> list[Action]:
        """An answer to an earlier question, or of a member that is no longer the first in reach, grants nothing."""
        if by == self.granter:
            self.answered_ms = now_ms
        if permit.number != self.number or by != self.granter or not permit.granted or self.proceeded or self.ended:
            return []
        return self._go(now_ms, f"{by} has granted a permit")

    def _go(self, now_ms: float, cause: str) -> list[Action]:
        assert self.wanted_ms is not None
        self.proceeded, self.next_ms = True, now_ms + self.pace.lease_ms / 3
        return [Proceed(cause, now_ms - self.wanted_ms)]

    def finish(self) -> list[Action]:
        """The start is over."""
        if self.ended or self.wanted_ms is None:
            return []
        self.ended = True
        self.number += 1
        return [SendPermitRequest(self.granter, PermitRequest(self.number, done=True))] if self.granter else []


@dataclass(slots=True)
class Wish:
    since_ms: float
    asked_ms: float


class PermitGranter:
    """``at_once``: permits of the fleet. ``lives`` tells whether a process does."""

    def __init__(self, at_once: int, lives: Callable[[str], bool], pace: PermitTiming | None = None) -> None:
        self.at_once, self.lives, self.pace = at_once, lives, pace or PermitTiming()
        self.granted_until_ms: dict[str, float] = {}  # by process: until when
        self.waiting: dict[str, Wish] = {}

    def on_request(self, now_ms: float, by: str, word: PermitRequest) -> Permit | None:
        """None: there is nothing to answer."""
        self._lapse(now_ms)
        if word.done:
            self.granted_until_ms.pop(by, None)
            self.waiting.pop(by, None)
            return None
        if by in self.granted_until_ms or word.holds or self._turn(by) < self.at_once - len(self.granted_until_ms):
            if by in self.granted_until_ms or len(self.granted_until_ms) < self.pace.most:
                self.granted_until_ms[by] = now_ms + self.pace.lease_ms
            self.waiting.pop(by, None)
            return Permit(word.number, True)
        if by in self.waiting:
            self.waiting[by].asked_ms = now_ms
        elif len(self.waiting) < self.pace.most:
            self.waiting[by] = Wish(now_ms, now_ms)
        return Permit(word.number, False)

    def _turn(self, by: str) -> int:
        """How many wait since before this one."""
        known = self.waiting.get(by)
        return sum(one.since_ms < known.since_ms for one in self.waiting.values()) if known else len(self.waiting)

    def _lapse(self, now_ms: float) -> None:
        for by in [by for by, until in self.granted_until_ms.items() if until <= now_ms or not self.lives(by)]:
            del self.granted_until_ms[by]
        gone_ms = now_ms - 4 * self.pace.again_ms  # it asks a nearer one, or is dead
        for by in [by for by, one in self.waiting.items() if one.asked_ms < gone_ms or not self.lives(by)]:
            del self.waiting[by]
