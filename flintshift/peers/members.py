"""Failure detection among members by heartbeats, leases and accusations, without I/O.

Each process of a member sends heartbeats to its watchers, the three members after its own in a ring of all members that
alternates between halls; so a fleet sends three heartbeats for each member and period, whatever its size. A watcher
that receives nothing for a lease accuses the process to all members. If a majority of the watchers accuses it, and
this member has received nothing from it either, the process is considered dead: one watcher behind a network partition,
or one that is slow itself, declares no process dead. A process is known by its *identity*, the member's name and a
number drawn at its start (`n1#18f2c0a1`): after a restart it is another process, and the former one stays dead.

Safety never depends on a death being detected: a process that is considered dead and is not is fenced by the ballots of
`replication/`. A false detection costs an answer, and breaks no guarantee.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

WATCHER_COUNT = 3  # of each member
MAX_PROCESSES = 4096  # that are remembered; beyond that, the one whose last message is the oldest is dropped


@dataclass(frozen=True, slots=True)
class HeartbeatTiming:
    """Intervals and timeouts of the failure detection."""

    heartbeat_ms: float = 200.0
    lease_ms: float = 1200.0  # a process that sends nothing for this time is accused
    repeat_ms: float = 1000.0  # after which an accusation is sent again
    forget_ms: float = 600_000.0  # for which dead processes are remembered


# Events.


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Any message came from this process."""

    identity: str


@dataclass(frozen=True, slots=True)
class Accused:
    """A watcher reports that the lease of a process lapsed (or that it receives messages of the process again)."""

    by: str  # the watcher's member name
    identity: str
    lapsed: bool


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed: heartbeats and leases are to be checked."""

    pass


Event = MessageReceived | Accused | Tick


# Actions.


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat to this member."""

    to: str


@dataclass(frozen=True, slots=True)
class Accuse:
    """Send this accusation, or its withdrawal, to all members."""

    identity: str
    lapsed: bool


@dataclass(frozen=True, slots=True)
class Appeared:
    """The first message of a process has come."""

    identity: str


@dataclass(frozen=True, slots=True)
class Suspected:
    """This member receives nothing from the process."""

    identity: str
    silent_ms: float


@dataclass(frozen=True, slots=True)
class Died:
    """A majority of its watchers accuses the process, and this member receives nothing from it: it counts as dead."""

    identity: str
    silent_ms: float
    accusers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Returned:
    """A process that was suspected, or considered dead, has sent a message."""

    identity: str
    was_dead: bool


Action = SendHeartbeat | Accuse | Appeared | Suspected | Died | Returned


@dataclass(slots=True)
class Process:
    """What this member knows of another member's process."""

    last_heard_ms: float  # its last message to this member
    accused: bool = False  # by this member
    accusers: set[str] = field(default_factory=set)
    dead: bool = False
    last_accused_ms: float = 0.0  # this member's last accusation
    report_death: bool = True  # False for a process that was dead before this one began


def member_of(identity: str) -> str:
    """Return the member's name of a process."""
    return identity.rpartition("#")[0]


def ring(halls: Mapping[str, str]) -> list[str]:
    """Return all members with halls in turn, so that neighbours are in different halls where possible."""
    by_hall: dict[str, list[str]] = {}
    for name in sorted(halls):
        by_hall.setdefault(halls[name], []).append(name)
    rows = sorted(by_hall.values(), key=lambda names: (-len(names), names))
    return [names[index] for index in range(max(map(len, rows), default=0)) for names in rows if index < len(names)]


class Membership:
    """Which processes of the fleet's members are alive, as this process sees it."""

    def __init__(self, identity: str, halls: Mapping[str, str], timing: HeartbeatTiming, now_ms: float) -> None:
        """``identity`` is this process's own; ``halls`` gives the hall of each member."""
        self.identity, self.name, self.timing, self.began_ms = identity, member_of(identity), timing, now_ms
        self.ring = ring(halls)
        self.watchers = {name: self._watchers_of(name) for name in self.ring}
        self.processes: dict[str, Process] = {}
        self.last_heartbeat_ms = -timing.heartbeat_ms

    def _watchers_of(self, name: str) -> tuple[str, ...]:
        index = self.ring.index(name)
        others = [self.ring[(index + step) % len(self.ring)] for step in range(1, len(self.ring))]
        return tuple(others[:WATCHER_COUNT])

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle an event; returns the actions to take."""
        match event:
            case MessageReceived(identity):
                return self._on_message(now_ms, identity)
            case Accused(by, identity, lapsed):
                return self._on_accusation(now_ms, by, identity, lapsed)
            case Tick():
                return self._on_tick(now_ms)

    def is_alive(self, identity: str, now_ms: float) -> bool:
        """Return whether to count on a process. One that never sent a message counts as alive for two leases from the
        start of this process."""
        if identity == self.identity:
            return True
        known = self.processes.get(identity)
        if known is None:
            return now_ms < self.began_ms + 2 * self.timing.lease_ms and member_of(identity) != self.name
        return not known.dead

    def live_processes(self) -> list[str]:
        """Return the identities of all other processes that are neither dead nor accused by this member."""
        return sorted(identity for identity, one in self.processes.items() if not (one.dead or one.accused))

    def _on_message(self, now_ms: float, identity: str) -> list[Action]:
        if identity == self.identity or member_of(identity) not in self.watchers:
            return []
        known = self.processes.get(identity)
        if known is None:
            self._remember(identity, now_ms)
            return [Appeared(identity)]
        known.last_heard_ms, known.report_death = now_ms, True
        if not (known.accused or known.dead):
            return []
        was_dead, was_accused = known.dead, known.accused
        known.accused = known.dead = False
        known.accusers.discard(self.name)
        actions: list[Action] = [Returned(identity, was_dead)]
        if was_accused:
            actions.append(Accuse(identity, False))
        return actions

    def _on_accusation(self, now_ms: float, by: str, identity: str, lapsed: bool) -> list[Action]:
        if by not in self.watchers.get(member_of(identity), ()) or identity == self.identity:
            return []
        known = self.processes.get(identity)
        if known is None:
            if not lapsed:
                return []
            known = self._remember(identity, now_ms - self.timing.lease_ms)
            known.report_death = now_ms >= self.began_ms + self.timing.lease_ms + self.timing.repeat_ms
        (known.accusers.add if lapsed else known.accusers.discard)(by)
        return self._check_death(now_ms, identity, known)

    def _remember(self, identity: str, last_heard_ms: float) -> Process:
        """Add a process. The number of processes is limited, as a member that restarts repeatedly is a new one each
        time."""
        if len(self.processes) >= MAX_PROCESSES:
            del self.processes[min(self.processes, key=lambda one: self.processes[one].last_heard_ms)]
        known = self.processes[identity] = Process(last_heard_ms)
        return known

    def _check_death(self, now_ms: float, identity: str, known: Process) -> list[Action]:
        watchers = self.watchers[member_of(identity)]
        silent_ms = now_ms - known.last_heard_ms
        if known.dead or len(known.accusers) < len(watchers) // 2 + 1 or silent_ms < self.timing.lease_ms:
            return []
        known.dead = True
        return [Died(identity, silent_ms, tuple(sorted(known.accusers)))] if known.report_death else []

    def _on_tick(self, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        if now_ms >= self.last_heartbeat_ms + self.timing.heartbeat_ms:
            self.last_heartbeat_ms = now_ms
            actions += [SendHeartbeat(name) for name in self.watchers[self.name]]
        for identity, known in list(self.processes.items()):
            silent_ms = now_ms - known.last_heard_ms
            watched = self.name in self.watchers[member_of(identity)]
            if (
                watched
                and silent_ms >= self.timing.lease_ms
                and now_ms >= known.last_accused_ms + self.timing.repeat_ms
                and (silent_ms < self.timing.forget_ms)
            ):
                known.last_accused_ms = now_ms
                if not known.accused and known.report_death:
                    actions.append(Suspected(identity, silent_ms))
                known.accused = True
                known.accusers.add(self.name)
                actions.append(Accuse(identity, True))
            actions += self._check_death(now_ms, identity, known)
            if known.dead and silent_ms >= self.timing.forget_ms:
                del self.processes[identity]
        return actions
