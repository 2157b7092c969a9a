"""Who lives: beats, leases, suspicion. Without I/O.

Each process of a member beats to its watchers, the three members after its own in a ring of all that alternates
halls; so a fleet sends three beats for each member and period, whatever its size. A watcher that hears nothing for a
lease accuses, and tells all. Where a majority of the watchers accuses, and nothing is heard from it here either, the
process is dead: one watcher behind a cut, or one that is slow itself, kills nobody. A process is known by its
*identity*, the member's name and a number drawn at its start (`n1#18f2c0a1`): one that was started again is another
process, and the former one stays dead.

That somebody is dead is never needed for safety: whoever is taken for dead and is not is fenced by the ballots of
`copies/`. It costs an answer, no promise.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

WATCHERS = 3
MOST = 4096  # processes that are remembered; past that, the one that was heard longest ago is not


@dataclass(frozen=True, slots=True)
class HeartbeatTiming:
    beat_ms: float = 200.0
    lease_ms: float = 1200.0  # heard nothing for so long: accused
    tell_ms: float = 1000.0  # an accusation that stands is told again
    forget_ms: float = 600_000.0  # the dead are remembered so long


# Told.


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Anything came from this process."""

    identity: str


@dataclass(frozen=True, slots=True)
class Accused:
    """A watcher says of a process that its lease lapsed (or that it is heard again)."""

    by: str  # the watcher's member name
    identity: str
    lapsed: bool


@dataclass(frozen=True, slots=True)
class Tick:
    pass


Event = MessageReceived | Accused | Tick


# Answered.


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    to: str


@dataclass(frozen=True, slots=True)
class Accuse:
    """To all members."""

    identity: str
    lapsed: bool


@dataclass(frozen=True, slots=True)
class Appeared:
    identity: str


@dataclass(frozen=True, slots=True)
class Suspected:
    """This member hears nothing from it."""

    identity: str
    silent_ms: float


@dataclass(frozen=True, slots=True)
class Died:
    identity: str
    silent_ms: float
    accusers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Returned:
    """It was suspected, or taken for dead, and is heard."""

    identity: str
    was_dead: bool


Action = SendHeartbeat | Accuse | Appeared | Suspected | Died | Returned


@dataclass(slots=True)
class Process:
    last_heard_ms: float  # last, here
    accused: bool = False  # by this member
    accusers: set[str] = field(default_factory=set)
    dead: bool = False
    told_ms: float = 0.0
    news: bool = True  # its death is; not that of one which was dead before this process began


def member_of(identity: str) -> str:
    return identity.rpartition("#")[0]


def ring(halls: Mapping[str, str]) -> list[str]:
    """All members, halls in turn, so that the next ones stand elsewhere where they can."""
    by_hall: dict[str, list[str]] = {}
    for name in sorted(halls):
        by_hall.setdefault(halls[name], []).append(name)
    rows = sorted(by_hall.values(), key=lambda names: (-len(names), names))
    return [names[place] for place in range(max(map(len, rows), default=0)) for names in rows if place < len(names)]


class Membership:
    def __init__(self, me: str, halls: Mapping[str, str], pace: HeartbeatTiming, now_ms: float) -> None:
        """``me`` is this process's identity."""
        self.me, self.name, self.pace, self.began_ms = me, member_of(me), pace, now_ms
        self.ring = ring(halls)
        self.watchers = {name: self._after(name) for name in self.ring}
        self.processes: dict[str, Process] = {}
        self.beat_ms = -pace.beat_ms

    def _after(self, name: str) -> tuple[str, ...]:
        place = self.ring.index(name)
        others = [self.ring[(place + step) % len(self.ring)] for step in range(1, len(self.ring))]
        return tuple(others[:WATCHERS])

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        match event:
            case MessageReceived(identity):
                return self._heard(now_ms, identity)
            case Accused(by, identity, lapsed):
                return self._accused(now_ms, by, identity, lapsed)
            case Tick():
                return self._tick(now_ms)

    def is_alive(self, identity: str, now_ms: float) -> bool:
        """Whether to count on this process. One that was never heard of is given a lease from the start of this one."""
        if identity == self.me:
            return True
        known = self.processes.get(identity)
        if known is None:
            return now_ms < self.began_ms + 2 * self.pace.lease_ms and member_of(identity) != self.name
        return not known.dead

    def alive(self) -> list[str]:
        """The identities of processes that are neither dead nor accused by this member, but for this one's."""
        return sorted(identity for identity, one in self.processes.items() if not (one.dead or one.accused))

    def _heard(self, now_ms: float, identity: str) -> list[Action]:
        if identity == self.me or member_of(identity) not in self.watchers:
            return []
        known = self.processes.get(identity)
        if known is None:
            self._remember(identity, now_ms)
            return [Appeared(identity)]
        known.last_heard_ms, known.news = now_ms, True
        if not (known.accused or known.dead):
            return []
        was_dead, told = known.dead, known.accused
        known.accused = known.dead = False
        known.accusers.discard(self.name)
        actions: list[Action] = [Returned(identity, was_dead)]
        if told:
            actions.append(Accuse(identity, False))
        return actions

    def _accused(self, now_ms: float, by: str, identity: str, lapsed: bool) -> list[Action]:
        if by not in self.watchers.get(member_of(identity), ()) or identity == self.me:
            return []
        known = self.processes.get(identity)
        if known is None:
            if not lapsed:
                return []
            known = self._remember(identity, now_ms - self.pace.lease_ms)
            known.news = now_ms >= self.began_ms + self.pace.lease_ms + self.pace.tell_ms
        (known.accusers.add if lapsed else known.accusers.discard)(by)
        return self._judge(now_ms, identity, known)

    def _remember(self, identity: str, last_heard_ms: float) -> Process:
        """A member that is started again and again is a new process each time."""
        if len(self.processes) >= MOST:
            del self.processes[min(self.processes, key=lambda one: self.processes[one].last_heard_ms)]
        known = self.processes[identity] = Process(last_heard_ms)
        return known

    def _judge(self, now_ms: float, identity: str, known: Process) -> list[Action]:
        watchers = self.watchers[member_of(identity)]
        silent = now_ms - known.last_heard_ms
        if known.dead or len(known.accusers) < len(watchers) // 2 + 1 or silent < self.pace.lease_ms:
            return []
        known.dead = True
        return [Died(identity, silent, tuple(sorted(known.accusers)))] if known.news else []

    def _tick(self, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        if now_ms >= self.beat_ms + self.pace.beat_ms:
            self.beat_ms = now_ms
            actions += [SendHeartbeat(name) for name in self.watchers[self.name]]
        for identity, known in list(self.processes.items()):
            silent = now_ms - known.last_heard_ms
            watched = self.name in self.watchers[member_of(identity)]
            if (
                watched
                and silent >= self.pace.lease_ms
                and now_ms >= known.told_ms + self.pace.tell_ms
                and (silent < self.pace.forget_ms)
            ):
                known.told_ms = now_ms
                if not known.accused and known.news:
                    actions.append(Suspected(identity, silent))
                known.accused = True
                known.accusers.add(self.name)
                actions.append(Accuse(identity, True))
            actions += self._judge(now_ms, identity, known)
            if known.dead and silent >= self.pace.forget_ms:
                del self.processes[identity]
        return actions
