"""Start permits among members, without I/O: when a whole fleet starts, only a few nodes at a time begin to take
callers, so that the services below meet a few cold nodes and not hundreds.

A permit is a lease. A member that wants one asks the granter: the first member, in an order that is the same on all
members, of those that it can reach. The granter grants as many permits as the fleet allows at once, in the order of
the requests. A permit ends when its holder gives it back, when its process is known to be dead, or when its lease has
expired without a new request. Two members may both act as granter (on the two sides of a network partition, or after
one died); then twice as many permits are granted, for one lease at most. Permits only limit the rate of starts: nothing
is unsafe without one.

No member waits for ever: a node that reaches no member proceeds after `no_member_ms`, and any node after `max_wait_ms`.
A member that is in reach and does not answer for `no_member_ms` (it hangs, or its version has no permits) is
skipped; after two of them the start proceeds.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from flintshift.startup.backoff import Uniform


@dataclass(frozen=True, slots=True)
class PermitTiming:
    """Times in milliseconds, and the size of a granter's tables."""

    lease_ms: float = 2000.0  # a permit ends unless it is requested again in this time
    retry_ms: float = 250.0  # between two requests of a waiting member, varied at random by up to half of it
    no_member_ms: float = 1000.0  # the wait without a member in reach, and so the longest delay of a single node
    max_wait_ms: float = 20_000.0
    max_entries: int = 4096  # processes that wait, and processes that hold a permit, at one granter


MAX_SILENT_MEMBERS = 2  # members that do not answer, before no further member is asked


# Messages between members.


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Asks a granter for a permit. ``number`` rises with each request of a process, so that late answers are known."""

    number: int
    holds: bool = False  # the sender has a permit and keeps it, whichever member granted it
    done: bool = False  # the sender needs no permit any more


@dataclass(frozen=True, slots=True)
class Permit:
    """A granter's answer to a request."""

    number: int  # of the request
    granted: bool


# Actions of a member that wants a permit.


@dataclass(frozen=True, slots=True)
class SendPermitRequest:
    """Send a request to a granter."""

    to: str  # a member
    request: PermitRequest


@dataclass(frozen=True, slots=True)
class Proceed:
    """The start may proceed."""

    cause: str
    after_ms: float


Action = SendPermitRequest | Proceed


def granter_order(members: Iterable[str]) -> list[str]:
    """Return the order in which members are asked, the same on all members, whatever the order of their lists."""
    return sorted(members, key=lambda name: hashlib.blake2b(f"start {name}".encode(), digest_size=8).digest())


@dataclass(slots=True)
class PermitRequester:
    """Obtains a permit for this member. It may ask itself, as it asks the others.

    ``members``: all members of the fleet, including this one."""

    name: str
    members: tuple[str, ...]
    uniform: Uniform
    timing: PermitTiming = field(default_factory=PermitTiming)
    requested_ms: float | None = None  # the first request
    proceeded: bool = False
    finished: bool = False
    number: int = 0
    next_request_ms: float = 0.0
    granter: str = ""
    answered_ms: float = 0.0  # the granter's last answer, or its first request if it has not answered
    silent: set[str] = field(default_factory=set)  # members in reach that did not answer

    def request_permit(self, now_ms: float, reached: set[str]) -> list[Action]:
        """Begin to request a permit, unless this has begun."""
        if self.requested_ms is None:
            self.requested_ms = self.next_request_ms = now_ms
        return self.tick(now_ms, reached)

    def tick(self, now_ms: float, reached: set[str]) -> list[Action]:
        """Request or renew a permit if that is due. ``reached``: the other members that this one has a link to."""
        if self.requested_ms is None or self.finished:
            return []
        waited_ms = now_ms - self.requested_ms
        others = reached - {self.name}
        if not self.proceeded and not others and len(self.members) > 1:
            return self._proceed(now_ms, "no member is in reach") if waited_ms >= self.timing.no_member_ms else []
        if not self.proceeded and waited_ms >= self.timing.max_wait_ms:
            return self._proceed(now_ms, "no permit came in time")
        if now_ms < self.next_request_ms:
            return []
        if not self.proceeded and self.granter and now_ms - self.answered_ms >= self.timing.no_member_ms:
            self.silent.add(self.granter)
            if len(self.silent) >= MAX_SILENT_MEMBERS:
                return self._proceed(now_ms, f"{' and '.join(sorted(self.silent))} do not answer")
        self.next_request_ms = now_ms + (
            self.timing.lease_ms / 3 if self.proceeded else self.timing.retry_ms * self.uniform(0.5, 1.5)
        )
        self.number += 1
        granter = next(
            name for name in granter_order(self.members) if name == self.name or name in others - self.silent
        )
        if granter != self.granter:
            self.granter, self.answered_ms = granter, now_ms
        return [SendPermitRequest(self.granter, PermitRequest(self.number, holds=self.proceeded))]

    def on_permit(self, now_ms: float, by: str, permit: Permit) -> list[Action]:
        """Handle an answer. Answers to earlier requests, or of a member that is no longer the granter, are ignored."""
        if by == self.granter:
            self.answered_ms = now_ms
        if permit.number != self.number or by != self.granter or not permit.granted or self.proceeded or self.finished:
            return []
        return self._proceed(now_ms, f"{by} has granted a permit")

    def _proceed(self, now_ms: float, cause: str) -> list[Action]:
        assert self.requested_ms is not None
        self.proceeded, self.next_request_ms = True, now_ms + self.timing.lease_ms / 3
        return [Proceed(cause, now_ms - self.requested_ms)]

    def finish(self) -> list[Action]:
        """Give the permit back, as the start is complete."""
        if self.finished or self.requested_ms is None:
            return []
        self.finished = True
        self.number += 1
        return [SendPermitRequest(self.granter, PermitRequest(self.number, done=True))] if self.granter else []


@dataclass(slots=True)
class WaitingProcess:
    """A process that has requested a permit and has none."""

    since_ms: float
    requested_ms: float  # its last request


class PermitGranter:
    """Grants permits to processes.

    ``at_once``: permits that the fleet allows at the same time; ``is_alive``: tells whether a process is alive."""

    def __init__(self, at_once: int, is_alive: Callable[[str], bool], timing: PermitTiming | None = None) -> None:
        self.at_once, self.is_alive, self.timing = at_once, is_alive, timing or PermitTiming()
        self.granted_until_ms: dict[str, float] = {}  # the end of each permit, by process
        self.waiting: dict[str, WaitingProcess] = {}

    def on_request(self, now_ms: float, by: str, request: PermitRequest) -> Permit | None:
        """Handle a request of a process; returns the answer, or None if there is none."""
        self._expire(now_ms)
        if request.done:
            self.granted_until_ms.pop(by, None)
            self.waiting.pop(by, None)
            return None
        if (
            by in self.granted_until_ms
            or request.holds
            or self._waiting_before(by) < self.at_once - len(self.granted_until_ms)
        ):
            if by in self.granted_until_ms or len(self.granted_until_ms) < self.timing.max_entries:
                self.granted_until_ms[by] = now_ms + self.timing.lease_ms
            self.waiting.pop(by, None)
            return Permit(request.number, True)
        if by in self.waiting:
            self.waiting[by].requested_ms = now_ms
        elif len(self.waiting) < self.timing.max_entries:
            self.waiting[by] = WaitingProcess(now_ms, now_ms)
        return Permit(request.number, False)

    def _waiting_before(self, by: str) -> int:
        """Return how many processes have waited for longer than this one."""
        known = self.waiting.get(by)
        return sum(other.since_ms < known.since_ms for other in self.waiting.values()) if known else len(self.waiting)

    def _expire(self, now_ms: float) -> None:
        for by in [by for by, until_ms in self.granted_until_ms.items() if until_ms <= now_ms or not self.is_alive(by)]:
            del self.granted_until_ms[by]
        # A process that has sent no request since then asks another member, or is dead.
        expired_ms = now_ms - 4 * self.timing.retry_ms
        for by in [
            by for by, process in self.waiting.items() if process.requested_ms < expired_ms or not self.is_alive(by)
        ]:
            del self.waiting[by]
