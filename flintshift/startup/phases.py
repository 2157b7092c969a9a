"""A start as phases, without I/O: what a node waits for in each, how long that may take, and what it may say of itself.

    ALONE ---- its addresses listen --------------------> BOUND
    BOUND ---- the worker pool is linked ---------------> RESTORED
    RESTORED - a start permit, and a report was taken -----> LISTED
    LISTED --- the node is cold, as its settings tell ----> RAMPING - that time has passed -> STEADY
    LISTED --- it is not -------------------------------------------------------------------> STEADY

A phase that takes longer than its bound is told once, with what it waits for; nothing is given up for that: a node
without its pool has nothing better to do than to go on trying at its own pace. Stores are read before ALONE ends;
copies that are still filled keep no member from serving, as further holders vote in its place.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Phase(IntEnum):
    ALONE = 0
    BOUND = 1
    RESTORED = 2
    LISTED = 3
    RAMPING = 4
    STEADY = 5


SERVICES = (
    ("worker pool", Phase.BOUND),
    ("members", Phase.BOUND),
    ("list service", Phase.RESTORED),
    ("vault", Phase.LISTED),
)  # that a node asks for anything, and from which phase on


def services_in_use(phase: Phase) -> list[str]:
    """Whom a node in this phase asks."""
    return [service for service, since in SERVICES if phase >= since]


@dataclass(frozen=True, slots=True)
class PhaseBounds:
    """Milliseconds until a phase that has not ended is told. The sum up to LISTED is the 30 s that the platform gives
    a node to be ready."""

    bind_ms: float = 6000.0
    restore_ms: float = 20_000.0
    list_ms: float = 4000.0


@dataclass(frozen=True, slots=True)
class NodeState:
    """How the node stands."""

    bound: bool
    pool: bool
    reported: bool
    permitted: bool = True  # the other members let it take callers


@dataclass(frozen=True, slots=True)
class PhaseEntered:
    phase: Phase
    after_ms: float  # in the phase before
    waited_for: tuple[str, ...]  # what that one waited for last


@dataclass(frozen=True, slots=True)
class PhaseOverdue:
    phase: Phase
    after_ms: float
    waits_for: tuple[str, ...]


Action = PhaseEntered | PhaseOverdue


@dataclass(slots=True)
class Phases:
    """``cold_ms``: how long the node is cold once it is listed, by its settings; 0: it is not."""

    began_ms: float
    cold_ms: float = 0.0
    bounds: PhaseBounds = field(default_factory=PhaseBounds)
    phase: Phase = Phase.ALONE
    since_ms: float = 0.0
    waited_for: tuple[str, ...] = ()
    told_late: bool = False

    def __post_init__(self) -> None:
        self.since_ms = self.began_ms

    @property
    def ready(self) -> bool:
        """What a health answer says by this."""
        return self.phase >= Phase.RESTORED

    def handle(self, now_ms: float, seen: NodeState) -> list[Action]:
        actions: list[Action] = []
        while self.phase is not Phase.STEADY:
            waits_for = self._waits_for(now_ms, seen)
            if waits_for:
                self.waited_for = waits_for
                most = {
                    Phase.ALONE: self.bounds.bind_ms,
                    Phase.BOUND: self.bounds.restore_ms,
                    Phase.RESTORED: self.bounds.list_ms,
                }.get(self.phase)
                if most is not None and now_ms - self.since_ms > most and not self.told_late:
                    self.told_late = True
                    actions.append(PhaseOverdue(self.phase, now_ms - self.since_ms, waits_for))
                break
            entered = Phase(self.phase + 1)
            if entered is Phase.RAMPING and not self.cold_ms:
                entered = Phase.STEADY
            actions.append(PhaseEntered(entered, now_ms - self.since_ms, self.waited_for))
            self.phase, self.since_ms, self.waited_for, self.told_late = entered, now_ms, (), False
        return actions

    def _waits_for(self, now_ms: float, seen: NodeState) -> tuple[str, ...]:
        match self.phase:
            case Phase.ALONE:
                return () if seen.bound else ("its addresses",)
            case Phase.BOUND:
                return () if seen.pool else ("the worker pool",)
            case Phase.RESTORED:
                if not seen.permitted:
                    return ("a start permit",)
                return () if seen.reported else ("a list service that takes a report",)
            case Phase.RAMPING:
                return () if now_ms - self.since_ms >= self.cold_ms else ("the time in which it is cold",)
        return ()
