"""The phases of an upgrade as a state machine without I/O: which process accepts clients, and with what share of the
node's limits."""

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
    LeaveBegan,
    Left,
    LinkEnded,
    ListenForSuccessor,
    Load,
    OperatorCommand,
    PeerExited,
    Phase,
    PoolUp,
    Ready,
    Resumed,
    Send,
    SendEntries,
    Service,
    SetLimitShare,
    SetServiceState,
    StartAccepting,
    StopAccepting,
    TakeBack,
    UsageUpdate,
    Welcome,
    Yours,
)

# The minimum share of each limit that a predecessor keeps for requests on its open connections. It has the first value
# when the successor starts to accept clients, and falls with the number of connections, to the second at the lowest.
INITIAL_MIN_SHARE, LOWEST_MIN_SHARE = 0.5, 0.2
EXIT_REPORT_TIMEOUT_MS = 500.0  # from the end of the link to the report that its process has ended
TOTAL_CALL_SHARE = 0.95  # of the calls to the vault, for both; the rest allows for rounding of the reported share
WHOLE_LIMITS = Load(1.0, 1.0, 1.0, 0)


class UnexpectedMessageError(Exception):
    """The other process sent a message that is not valid in this phase."""


class PhaseMachine:
    """The state machine of one of the two processes, which starts alone or as a successor."""

    def __init__(self, has_predecessor: bool, run_lifetime_ms: float, call_lifetime_ms: float) -> None:
        """``run_lifetime_ms``: for so long after a crash of the other process, its runs may still use cores and memory.
        ``call_lifetime_ms``: for so long after it ended in any way, its calls to the vault count."""
        # When and why the link broke, if this process accepted no clients yet.
        self.link_loss: tuple[float, str] | None = None
        self.phase = Phase.ASKING if has_predecessor else Phase.ALONE
        self.run_lifetime_ms, self.call_lifetime_ms = run_lifetime_ms, call_lifetime_ms
        self.scheduled_shares: list[tuple[float, SetLimitShare]] = []  # what this process gets back, and when
        self.pool_up = False  # whether this process's worker pool is up
        self.out_of_service = False  # passed on to a successor
        self.peer_left = False  # the other process shuts down regularly and has sent the ends of all its runs
        self.leaving_share = WHOLE_LIMITS  # what the process that leaves keeps, in both processes
        self.leaves = False  # this process has received its shutdown notice
        self.predecessor_takes_back = False  # it can be asked to accept the clients again
        self.last_usage = WHOLE_LIMITS  # what this process used at the last update
        self.learned: Learned | None = None  # and what it had learned
        self.connections = 0  # the highest number since a successor accepts the clients

    @property
    def alone(self) -> bool:
        """Whether there is no other process."""
        return self.phase is Phase.ALONE

    @property
    def accepts_clients(self) -> bool:
        """Whether this process accepts clients."""
        return self.pool_up and self.phase in (Phase.ALONE, Phase.GIVING, Phase.SERVING, Phase.RESUMED)

    @property
    def claims_required(self) -> bool:
        """Whether a keyed run needs a claim that the other process granted."""
        return self.phase in (Phase.SHEDDING, Phase.SERVING, Phase.RESUMED, Phase.RETURNING)

    @property
    def accepts_successor(self) -> bool:
        """Whether a successor may connect; there is one at a time."""
        return self.phase is Phase.ALONE

    @property
    def reports_entries(self) -> bool:
        """Whether new entries are sent to the other process: while it copies the key table. Later, keys are claimed."""
        return self.phase is Phase.GIVING

    @property
    def reports_ends(self) -> bool:
        """Whether ends of runs are sent to the other process, whose key table may have their keys."""
        return self.phase is not Phase.ALONE

    @property
    def senior(self) -> bool:
        """Whether this process's claim wins if two claims for a key cross."""
        return self.phase in (Phase.SHEDDING, Phase.RESUMED)

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle an event and return the actions to take, in order.

        Raises:
            UnexpectedMessageError: the message is not valid in this phase, and the link must be ended.
        """
        phase = self.phase
        match event:
            case Hello(version) if phase is Phase.ALONE:
                if version != VERSION:  # the successor reads the version, reports it and ends
                    return [Send(self._welcome())]
                self.phase = Phase.GIVING
                return [Send(self._welcome()), SendEntries()]
            case Service(out_of_service):
                self.out_of_service = out_of_service
                return [SetServiceState(out_of_service)]
            case OperatorCommand(out_of_service):
                self.out_of_service = out_of_service
                return [Send(Service(out_of_service))] if phase in (Phase.GIVING, Phase.SHEDDING) else []
            case Welcome(version, out_of_service, _, takes_back) if phase is Phase.ASKING:
                if version != VERSION:
                    return [
                        AbortStart(
                            f"the process that serves uses version {version} of the handover, this one "
                            f"{VERSION}: drain it, stop it, then start this one"
                        )
                    ]
                self.phase, self.out_of_service = Phase.COPYING, out_of_service
                self.predecessor_takes_back = takes_back
                return []
            case Copied() if phase is Phase.COPYING:
                self.phase = Phase.COPIED
                return self._become_ready()
            case PoolUp():
                self.pool_up = True
                return (
                    self._become_ready()
                    if phase is Phase.COPIED
                    else ([StartAccepting()] if phase is Phase.ALONE else [])
                )
            case Ready() if phase is Phase.GIVING:
                self.scheduled_shares = []
                self.phase, self.leaving_share, self.connections = Phase.SHEDDING, WHOLE_LIMITS, 0
                learned_messages = [Send(self.learned)] if self.learned is not None else []
                return [StopAccepting(), *learned_messages, *self._shrink_share(self.last_usage), Send(Yours())]
            case Yours() if phase is Phase.WAITING:
                self.phase = Phase.SERVING
                return [self._remaining_share(), SetServiceState(self.out_of_service), StartAccepting()]
            case Load() if phase in (Phase.WAITING, Phase.SERVING, Phase.RESUMED):
                self.leaving_share = event
                return [self._remaining_share()] if phase is not Phase.WAITING else []
            case LeaveBegan():
                self.leaves = True
                return [Send(TakeBack())] if phase is Phase.SERVING and self.predecessor_takes_back else []
            case TakeBack() if phase is Phase.SHEDDING:
                return [] if self.leaves else self._resume()
            case Resumed() if phase is Phase.SERVING:
                self.phase, self.connections = Phase.RETURNING, 0
                self.leaving_share = self._complement()
                return [StopAccepting(), *self._shrink_share(self.last_usage)]
            case Learned() if phase is Phase.WAITING:
                return [ApplyEstimates(event)]
            case UsageUpdate(load, _) if phase in (Phase.SHEDDING, Phase.RETURNING):
                return self._shrink_share(load)
            case UsageUpdate(load, learned):
                self.last_usage, self.learned = load, learned
                if self.link_loss is not None and now_ms >= self.link_loss[0] + EXIT_REPORT_TIMEOUT_MS:
                    return [
                        AbortStart(f"the link to the process that serves ended ({self.link_loss[1]}), but it is alive")
                    ]
                return self._release_due_shares(now_ms)
            case LinkEnded(cause):
                if phase is Phase.GIVING:  # a successor without the whole key table accepts no clients
                    return self._on_peer_exit(now_ms)
                if phase in (Phase.ALONE, Phase.SHEDDING, Phase.SERVING, Phase.RESUMED, Phase.RETURNING):
                    return []  # until the other has ended, no key can be claimed, and clients stay where they are
                self.link_loss = now_ms, cause  # if the process has ended, that is reported soon
                return []
            case Left():
                self.peer_left = phase not in (Phase.ASKING, Phase.COPYING)
                return []
            case PeerExited():
                return self._on_peer_exit(now_ms)
            case _:
                raise UnexpectedMessageError(f"{type(event).__name__} is not valid in the phase {phase.value}")

    def _welcome(self) -> Welcome:
        return Welcome(VERSION, self.out_of_service, takes_back=True)

    def _become_ready(self) -> list[Action]:
        if not self.pool_up:
            return []
        self.phase = Phase.WAITING
        return [Send(Ready())]

    def _resume(self) -> list[Action]:
        """Accept the clients again, as the successor leaves. Its share is what this process does not have, until it
        tells what it keeps."""
        self.phase, self.leaving_share = Phase.RESUMED, self._complement()
        return [StartAccepting(), Send(Resumed())]

    def _complement(self) -> Load:
        """What the process that stays has, where ``leaving_share`` is what the other one keeps."""
        share = self.leaving_share
        return Load(1.0 - share.concurrency, 1.0 - share.memory, max(0.0, TOTAL_CALL_SHARE - share.calls), 0)

    def _shrink_share(self, used: Load) -> list[Action]:
        """Keep what is in use, and never more than before, so that both processes together never exceed the limits.
        This process releases a share before the other is informed."""
        share = self.leaving_share
        self.connections = max(self.connections, used.connections)
        min_share = (
            max(LOWEST_MIN_SHARE, INITIAL_MIN_SHARE * used.connections / self.connections) if used.connections else 0.0
        )
        self.leaving_share = Load(
            min(share.concurrency, max(used.concurrency, min_share)),
            min(share.memory, max(used.memory, min_share)),
            min(share.calls, max(used.calls, min_share)),
            used.connections,
        )
        return [
            SetLimitShare(self.leaving_share.concurrency, self.leaving_share.memory, self.leaving_share.calls),
            Send(self.leaving_share),
        ]

    def _remaining_share(self) -> SetLimitShare:
        """The shares of the process that stays: what the other one does not keep."""
        share = self._complement()
        return SetLimitShare(share.concurrency, share.memory, share.calls, self.leaving_share.connections)

    def _on_peer_exit(self, now_ms: float) -> list[Action]:
        """Go on alone, as the other process has ended."""
        previous_phase, self.phase = self.phase, Phase.ALONE
        if previous_phase is Phase.ALONE:
            return []
        stays = previous_phase in (Phase.SERVING, Phase.RESUMED)
        calls = self._remaining_share().calls if stays else self.leaving_share.calls
        self.scheduled_shares = [
            (now_ms + (0.0 if self.peer_left else self.run_lifetime_ms), SetLimitShare(1.0, 1.0, calls)),
            (now_ms + self.call_lifetime_ms, SetLimitShare(1.0, 1.0, 1.0)),
        ]
        self.link_loss = None
        was_successor = previous_phase not in (Phase.GIVING, Phase.SHEDDING, Phase.RESUMED)
        knows_all = previous_phase in (Phase.SERVING, Phase.RETURNING)
        partial = was_successor and not knows_all and not self.peer_left
        actions: list[Action] = [FailPeerRuns(partial)]
        if was_successor:
            actions.append(ListenForSuccessor())
        if self.pool_up and previous_phase in (
            Phase.WAITING,
            Phase.COPIED,
            Phase.COPYING,
            Phase.ASKING,
            Phase.SHEDDING,
            Phase.RETURNING,
        ):
            actions.append(StartAccepting())
        return [*actions, *self._release_due_shares(now_ms)]

    def _release_due_shares(self, now_ms: float) -> list[Action]:
        """Take back the shares whose time has come: nothing of the other process uses them any more."""
        due_shares = [share for at_ms, share in self.scheduled_shares if at_ms <= now_ms]
        self.scheduled_shares = self.scheduled_shares[len(due_shares) :]
        return [*due_shares[-1:]]
