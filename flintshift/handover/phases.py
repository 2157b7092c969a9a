"""The phases of an upgrade as a machine without I/O: who takes the clients, and which part of the limits is whose."""

from __future__ import annotations

from flintshift.handover.messages import (
    VERSION,
    AbortStart,
    Action,
    ApplyEstimates,
    Copied,
    Event,
    FailPeerRuns,
    Hello,
    Learned,
    Left,
    LinkEnded,
    ListenForSuccessor,
    Load,
    OperatorCommand,
    PeerExited,
    Phase,
    PoolUp,
    Ready,
    Send,
    SendEntries,
    Service,
    SetLimitShare,
    SetServiceState,
    StartAccepting,
    StopAccepting,
    UsageUpdate,
    Welcome,
    Yours,
)

FIRST, LEAST = 0.5, 0.2  # of each limit, kept by a predecessor for what its open connections bring: at first, at last
CUT_MS = 500.0  # from the end of the link to the word that its process has ended
CALLS_SUM = 0.95  # of the vault's share, by both: the rest is for the told figure's rounding
WHOLE = Load(1.0, 1.0, 1.0, 0)


class UnexpectedMessageError(Exception):
    """The other process said what does not fit the phase."""


class PhaseMachine:
    """One process's side. It starts alone, or asks the process that serves."""

    def __init__(self, asks: bool, runs_ms: float, calls_ms: float) -> None:
        """``runs_ms``: for so long after a sudden end, runs of the other process may be on the cores and in the memory;
        ``calls_ms``: for so long after any end, its calls count."""
        self.cut: tuple[float, str] | None = None  # the link broke before this process took clients: when, and how
        self.phase = Phase.ASKING if asks else Phase.ALONE
        self.runs_ms, self.calls_ms = runs_ms, calls_ms
        self.freed: list[tuple[float, SetLimitShare]] = []  # what is this process's again, and when
        self.pool_up = False  # the own worker pool
        self.out = False  # of service; handed on
        self.left = False  # the predecessor has told all
        self.kept = WHOLE  # the predecessor's parts, at either side
        self.used = WHOLE  # what this process used when it was last asked
        self.learned: Learned | None = None  # and had learned
        self.connections = 0  # the most that it held since a successor takes the clients

    @property
    def alone(self) -> bool:
        """There is no other process, and this one took over from none."""
        return self.phase is Phase.ALONE

    @property
    def accepts_clients(self) -> bool:
        return self.pool_up and self.phase in (Phase.ALONE, Phase.GIVING, Phase.SERVING)

    @property
    def claims_required(self) -> bool:
        """A keyed run begins on the other's word alone."""
        return self.phase in (Phase.SHEDDING, Phase.SERVING)

    @property
    def accepts_successor(self) -> bool:
        """A successor may come: one at a time."""
        return self.phase is Phase.ALONE

    @property
    def reports_entries(self) -> bool:
        """The other copies the keys, so it hears of each new one; later each is claimed."""
        return self.phase is Phase.GIVING

    @property
    def reports_ends(self) -> bool:
        """The other holds keys whose runs may end here."""
        return self.phase is not Phase.ALONE

    @property
    def senior(self) -> bool:
        """Of two claims at once, this process's wins."""
        return self.phase is Phase.SHEDDING

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """
        Raises:
            WordError: the other must not be listened to any more.
        """
        phase = self.phase
        match event:
            case Hello(version) if phase is Phase.ALONE:
                if version != VERSION:  # the successor reads it, says so and ends
                    return [Send(Welcome(VERSION, self.out))]
                self.phase = Phase.GIVING
                return [Send(Welcome(VERSION, self.out)), SendEntries()]
            case Service(out):
                self.out = out
                return [SetServiceState(out)]
            case OperatorCommand(out):
                self.out = out
                return [Send(Service(out))] if phase in (Phase.GIVING, Phase.SHEDDING) else []
            case Welcome(version, out) if phase is Phase.ASKING:
                if version != VERSION:
                    return [
                        AbortStart(
                            f"the process that serves speaks version {version} of the handover, this one "
                            f"{VERSION}: drain it, stop it, then start this one"
                        )
                    ]
                self.phase, self.out = Phase.COPYING, out
                return []
            case Copied() if phase is Phase.COPYING:
                self.phase = Phase.COPIED
                return self._ready()
            case PoolUp():
                self.pool_up = True
                return self._ready() if phase is Phase.COPIED else ([StartAccepting()] if phase is Phase.ALONE else [])
            case Ready() if phase is Phase.GIVING:
                self.freed = []
                self.phase, self.kept, self.connections = Phase.SHEDDING, WHOLE, 0
                taught = [Send(self.learned)] if self.learned is not None else []
                return [StopAccepting(), *taught, *self._shed(self.used), Send(Yours())]
            case Yours() if phase is Phase.WAITING:
                self.phase = Phase.SERVING
                return [self._rest(), SetServiceState(self.out), StartAccepting()]
            case Load() if phase in (Phase.WAITING, Phase.SERVING):
                self.kept = event
                return [self._rest()] if phase is Phase.SERVING else []
            case Learned() if phase is Phase.WAITING:
                return [ApplyEstimates(event)]
            case UsageUpdate(load, _) if phase is Phase.SHEDDING:
                return self._shed(load)
            case UsageUpdate(load, learned):
                self.used, self.learned = load, learned
                if self.cut is not None and now_ms >= self.cut[0] + CUT_MS:
                    return [AbortStart(f"the link to the process that serves ended ({self.cut[1]}), and it lives")]
                return self._past(now_ms)
            case LinkEnded(cause):
                if phase is Phase.GIVING:  # a successor that did not get all takes no clients
                    return self._alone(now_ms)
                if phase in (Phase.ALONE, Phase.SHEDDING, Phase.SERVING):
                    return []  # till the other has ended, no key is claimed, and clients stay where they are
                self.cut = now_ms, cause  # if it has ended, that is told soon
                return []
            case Left():
                self.left = phase not in (Phase.ASKING, Phase.COPYING)
                return []
            case PeerExited():
                return self._alone(now_ms)
            case _:
                raise UnexpectedMessageError(f"{type(event).__name__} does not fit the phase {phase.value}")

    def _ready(self) -> list[Action]:
        if not self.pool_up:
            return []
        self.phase = Phase.WAITING
        return [Send(Ready())]

    def _shed(self, used: Load) -> list[Action]:
        """Keep what is used, and never more than before: so the sum of both never passes the whole. What is given
        up is given up here before the other hears of it."""
        kept = self.kept
        self.connections = max(self.connections, used.connections)
        least = max(LEAST, FIRST * used.connections / self.connections) if used.connections else 0.0
        self.kept = Load(
            min(kept.concurrency, max(used.concurrency, least)),
            min(kept.memory, max(used.memory, least)),
            min(kept.calls, max(used.calls, least)),
            used.connections,
        )
        return [SetLimitShare(self.kept.concurrency, self.kept.memory, self.kept.calls), Send(self.kept)]

    def _rest(self) -> SetLimitShare:
        """The successor's parts: what its predecessor does not keep."""
        kept = self.kept
        return SetLimitShare(
            1.0 - kept.concurrency, 1.0 - kept.memory, max(0.0, CALLS_SUM - kept.calls), kept.connections
        )

    def _alone(self, now_ms: float) -> list[Action]:
        before, self.phase = self.phase, Phase.ALONE
        if before is Phase.ALONE:
            return []
        calls = self._rest().calls if before is Phase.SERVING else self.kept.calls
        self.freed = [
            (now_ms + (0.0 if self.left else self.runs_ms), SetLimitShare(1.0, 1.0, calls)),
            (now_ms + self.calls_ms, SetLimitShare(1.0, 1.0, 1.0)),
        ]
        self.cut = None
        was_successor = before not in (Phase.GIVING, Phase.SHEDDING)
        partial = was_successor and before is not Phase.SERVING and not self.left
        actions: list[Action] = [FailPeerRuns(partial)]
        if was_successor:
            actions.append(ListenForSuccessor())
        if self.pool_up and before in (Phase.WAITING, Phase.COPIED, Phase.COPYING, Phase.ASKING, Phase.SHEDDING):
            actions.append(StartAccepting())
        return [*actions, *self._past(now_ms)]

    def _past(self, now_ms: float) -> list[Action]:
        """What the other left behind is past: the parts that are this process's again."""
        due = [keep for at_ms, keep in self.freed if at_ms <= now_ms]
        self.freed = self.freed[len(due) :]
        return [*due[-1:]]
