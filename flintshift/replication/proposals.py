"""What this process proposes for keys, and how it comes to the holders' word. Without I/O.

One proposal for a key is under way at a time; what else is wanted of that key waits behind it. A proposal runs
through the steps of `messages.Step`, and ends when a value is *chosen*: no majority can ever hold another one
in its place but by going on from it. `_handle_chosen` is the one place that says so.

    FIRST ----- all accepted ------------------------------> chosen
      | another claim, or a holder that does not answer
    PREPARE --- a majority promised: go on from what it holds
    ACCEPT ---- a majority accepted -----------------------> chosen
"""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from msgspec.structs import replace

from flintshift.core.keys import Stage
from flintshift.interface import Outcome
from flintshift.replication.messages import (
    FIRST_CLASSIC_BALLOT_NUMBER,
    NO_BALLOT,
    Action,
    Ask,
    Ballot,
    CallerDeparted,
    Claim,
    ClaimedByOther,
    Ended,
    Event,
    Finish,
    Follow,
    FollowedKeyEnded,
    Free,
    Granted,
    Key,
    MajorityUnavailable,
    OutcomeOverdue,
    ReachabilityChanged,
    Send,
    Settled,
    Step,
    TakeOver,
    Tick,
    TookOver,
    Value,
    Verdict,
    Vote,
    Voted,
)
from flintshift.replication.placement import Placement

NO_MAJORITY = "no majority of the key's holders is in reach"
Intent = Claim | Finish | Free | TakeOver | Follow


@dataclass(frozen=True, slots=True)
class ProposalTiming:
    first_ms: float = 8.0  # a holder that has not answered round 0 by then is gone on without: this, or
    first_times: float = 8.0  # so many times what an answer takes of late, whichever is longer
    again_ms: float = 250.0  # what is not answered is asked again
    poll_ms: float = 400.0  # a followed key is looked at again, should a holder's word on its end be lost
    unsure_ms: float = 20.0  # the same, where its end is seen at a minority
    most: int = 4096  # proposals under way
    behind: int = 64  # that wait behind one of the same key


@dataclass(slots=True)
class Proposal:
    intent: Intent
    holders: tuple[str, ...]
    until_ms: float  # it is given up
    step: Step = Step.READ
    number: int = 0
    ballot: Ballot = NO_BALLOT
    value: Value | None = None  # that is proposed
    votes: dict[str, Vote] = field(default_factory=dict)
    stores: tuple[int, ...] = ()
    asked_ms: float = 0.0
    retry_at_ms: float = math.inf  # the step is taken again
    rounds: int = 0
    waiting_claims: dict[str, float] = field(default_factory=dict)  # tries that wait for a claim, and until when
    wrote: bool = False  # a holder may have accepted what it proposed
    abandoned: bool = False  # nobody waits for its end
    queued: deque[Intent] = field(default_factory=deque)
    seen: bool = False  # a holder knows of the key
    settles: Value | None = None  # what it proposes is the end of a claim whose runner is dead


class Proposals:
    """``me`` names this process, never another or earlier one. ``lives`` tells whether a runner does."""

    def __init__(
        self,
        me: str,
        placement: Placement,
        lives: Callable[[str], bool],
        draw: random.Random,
        pace: ProposalTiming | None = None,
    ) -> None:
        self.me, self.placement, self.lives, self.draw = me, placement, lives, draw
        self.pace = pace or ProposalTiming()
        self.active: dict[Key, Proposal] = {}
        self.by_number: dict[int, Key] = {}
        self.owned: dict[Key, tuple[str, Ballot]] = {}  # claims of this process, and the ballot promised to it
        self.followed: dict[Key, tuple[str, float]] = {}  # keys of others whose end is waited for: owner, next look
        self.stores: dict[str, int] = {}  # of holders in reach
        self.known_stores: dict[str, int] = {}
        self.granted_claims: dict[Key, str] = {}  # tries that may run, until their end is told
        self.numbers = 0
        self.top = (
            FIRST_CLASSIC_BALLOT_NUMBER - 1
        )  # no ballot is used twice by one process, and none that it was promised
        self.counts: Counter[str] = Counter()
        self.next_ms = math.inf  # a tick is due
        self.answer_ms = 0.0  # what a holder's answer takes of late

    # FollowedKeyEnded.

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        if isinstance(event, ReachabilityChanged | Tick):  # these may touch any key
            actions = self._handled(now_ms, event)
            self.next_ms = min(
                (self._due_of(key) for key in self.active.keys() | self.followed.keys()), default=math.inf
            )
            return actions
        key = self.by_number.get(event.vote.number) if isinstance(event, Voted) else event.key
        actions = self._handled(now_ms, event)
        if key is not None:
            self.next_ms = min(self.next_ms, self._due_of(key))
        return actions

    def _handled(self, now_ms: float, event: Event) -> list[Action]:
        match event:
            case Claim(key) if key in self.active and isinstance(self.active[key].intent, Claim):
                proposal = self.active[key]
                proposal.waiting_claims[event.owner] = event.deadline_ms  # it learns what becomes of the first
                return []
            case Claim() | Finish() | Free() | TakeOver() | Follow():
                return self._begin(now_ms, event)
            case CallerDeparted(key, owner):
                proposal = self.active.get(key)  # type: ignore[assignment]
                if proposal is not None:
                    proposal.waiting_claims.pop(owner, None)
                return []
            case Voted(member, vote):
                return self._voted(now_ms, member, vote)
            case Ended(key):
                if key in self.followed and key not in self.active:
                    return self._begin(now_ms, Follow(key, self.followed[key][0]))
                return []
            case ReachabilityChanged(member, up, store):
                return self._reach(now_ms, member, up, store)
            case Tick():
                return self._tick(now_ms)

    def due_ms(self) -> float:
        """When the next tick is needed at the latest. What ended since the last one may make it sooner than needed."""
        return self.next_ms

    def _due_of(self, key: Key) -> float:
        due = self.followed[key][1] if key in self.followed else math.inf
        proposal = self.active.get(key)
        if proposal is None:
            return due
        due = min(due, proposal.retry_at_ms, *proposal.waiting_claims.values())
        if isinstance(proposal.intent, Finish) and not proposal.abandoned:
            due = min(due, proposal.intent.deadline_ms)
        return min([due, *(intent.deadline_ms for intent in proposal.queued if isinstance(intent, Claim))])

    # A proposal.

    def _begin(self, now_ms: float, intent: Intent) -> list[Action]:
        key = intent.key
        if isinstance(intent, Follow):
            self.followed[key] = intent.owner, now_ms + self.pace.poll_ms
        known = self.active.get(key)
        if known is not None:
            if isinstance(intent, Claim) and not self._majority_in_reach(known.holders):
                return [MajorityUnavailable(intent.owner, intent.may_be_repeat or known.seen, NO_MAJORITY)]
            if len(known.queued) < self.pace.behind and intent not in known.queued:
                known.queued.append(intent)
            elif isinstance(intent, Claim):
                return [MajorityUnavailable(intent.owner, True, "too many proposals for this key")]
            return []
        holders = self.placement.holders(key)
        if len(self.active) >= self.pace.most and isinstance(intent, Claim):
            return [MajorityUnavailable(intent.owner, intent.may_be_repeat, "too many proposals are under way")]
        until = intent.deadline_ms if isinstance(intent, Claim) else math.inf
        if isinstance(intent, Free | TakeOver | Finish):
            until = now_ms + (intent.retention_ms if isinstance(intent, Finish) else 60_000.0)
        proposal = self.active[key] = Proposal(intent, holders, until)
        if isinstance(intent, Claim):
            proposal.waiting_claims[intent.owner] = intent.deadline_ms
            if not self._majority_in_reach(holders):
                return self._give_up(now_ms, key, proposal, NO_MAJORITY)
        return self._start(now_ms, key, proposal)

    def _start(self, now_ms: float, key: Key, proposal: Proposal) -> list[Action]:
        intent, all_up = proposal.intent, all(name in self.stores for name in proposal.holders)
        if isinstance(intent, Claim) and not proposal.rounds:
            if intent.may_be_repeat:
                return self._take(now_ms, key, proposal, Step.READ)
            if all_up:
                return self._first(now_ms, key, proposal)
        if isinstance(intent, Follow):
            return self._take(now_ms, key, proposal, Step.READ)
        if isinstance(intent, Finish | Free) and not proposal.rounds:
            mine = self.owned.get(key)
            if mine is not None and mine[0] == intent.owner:
                proposal.ballot, proposal.value = mine[1], self._after(intent, None)
                return self._take(now_ms, key, proposal, Step.ACCEPT)
        return self._prepare(now_ms, key, proposal)

    def _first(self, now_ms: float, key: Key, proposal: Proposal) -> list[Action]:
        proposal.ballot, proposal.value = (0, self.me), self._after(proposal.intent, None)
        return self._take(now_ms, key, proposal, Step.FIRST)

    def _prepare(self, now_ms: float, key: Key, proposal: Proposal) -> list[Action]:
        seen = max((max(vote.promised[0], vote.ballot[0]) for vote in proposal.votes.values()), default=0)
        number = max(seen, self.top) + 1
        proposal.ballot, self.top = (number, self.me), number + 1  # the next is promised with the acceptance
        return self._take(now_ms, key, proposal, Step.PREPARE)

    def _take(self, now_ms: float, key: Key, proposal: Proposal, step: Step) -> list[Action]:
        self.numbers += 1
        self.by_number.pop(proposal.number, None)
        proposal.number, proposal.step, proposal.votes = self.numbers, step, {}
        proposal.asked_ms, proposal.rounds = now_ms, proposal.rounds + 1
        first_ms = min(max(self.pace.first_ms, self.pace.first_times * self.answer_ms), self.pace.again_ms)
        proposal.retry_at_ms = now_ms + (first_ms if step is Step.FIRST else self.pace.again_ms)
        self.by_number[proposal.number] = key
        self.counts[step.name.lower()] += 1
        proposal.stores = tuple(self.known_stores.get(name, 0) for name in proposal.holders)
        return self._ask(key, proposal, proposal.holders)

    def _ask(self, key: Key, proposal: Proposal, holders: tuple[str, ...]) -> list[Action]:
        writes = proposal.step in (Step.FIRST, Step.ACCEPT)
        ask = Ask(
            proposal.number,
            self.me,
            proposal.step,
            key,
            proposal.ballot,
            proposal.stores,
            proposal.value if writes else None,
            isinstance(proposal.intent, Claim | Follow),
        )
        sent: list[Action] = [Send(name, ask) for name in holders if name in self.stores and name not in proposal.votes]
        proposal.wrote = proposal.wrote or (writes and bool(sent))
        return sent

    # Votes.

    def _voted(self, now_ms: float, member: str, vote: Vote) -> list[Action]:
        key = self.by_number.get(vote.number)
        if key is None:
            return []  # of a step that is over
        proposal = self.active[key]
        for name, store in zip(proposal.holders, vote.stores, strict=False):
            if store > self.known_stores.get(name, 0):
                self.known_stores[name] = store
        if member in proposal.votes or member not in proposal.holders:
            return []
        proposal.votes[member] = vote
        if proposal.asked_ms > 0.0:
            self.answer_ms += (now_ms - proposal.asked_ms - self.answer_ms) / 16
        proposal.seen = proposal.seen or vote.value is not None
        return self._evaluate_votes(now_ms, key, proposal)

    def _evaluate_votes(self, now_ms: float, key: Key, proposal: Proposal) -> list[Action]:
        votes, placement = list(proposal.votes.values()), self.placement
        good = [vote for vote in votes if vote.verdict is Verdict.OK]
        open_ = [name for name in proposal.holders if name not in proposal.votes and name in self.stores]
        if any(vote.verdict is Verdict.STALE for vote in votes) and len(good) + len(open_) < placement.majority:
            return self._later(now_ms, proposal, self.draw.uniform(1.0, 5.0))  # now it knows which stores there are
        match proposal.step:
            case Step.FIRST:
                if len(good) >= placement.fast_quorum:
                    return self._handle_chosen(now_ms, key, proposal, proposal.value, 1)
                if len(good) + len(open_) < placement.fast_quorum and len(votes) >= placement.majority:
                    return self._contested(now_ms, key, proposal, good)
            case Step.ACCEPT:
                if len(good) >= placement.majority:
                    return self._handle_chosen(now_ms, key, proposal, proposal.value, proposal.ballot[0] + 1)
                if len(good) + len(open_) < placement.majority:
                    return self._lost(now_ms, key, proposal)
            case Step.PREPARE:
                if len(good) >= placement.majority:
                    return self._promised(now_ms, key, proposal, good)
                if len(good) + len(open_) < placement.majority:
                    return self._lost(now_ms, key, proposal)
            case Step.READ:
                if len(good) >= placement.majority:
                    return self._read(now_ms, key, proposal, good, not open_)
                if len(good) + len(open_) < placement.majority:
                    return self._lost(now_ms, key, proposal)
        return []

    def _contested(self, now_ms: float, key: Key, proposal: Proposal, good: list[Vote]) -> list[Action]:
        """Round 0 did not choose this claim. Where a holder accepted it, it is settled; else another's is seen."""
        others = [vote for vote in proposal.votes.values() if vote.verdict is Verdict.BEHIND]
        if not good and others:
            return self._read(now_ms, key, proposal, others, True)
        return self._prepare(now_ms, key, proposal)

    def _read(self, now_ms: float, key: Key, proposal: Proposal, votes: list[Vote], all_told: bool) -> list[Action]:
        """What a majority holds, with nothing changed by looking."""
        top = max(votes, key=lambda vote: vote.ballot)
        same = [vote for vote in votes if vote.ballot == top.ballot]
        value = top.value
        if value is None or value.stage is Stage.FREE:
            if isinstance(proposal.intent, Follow):
                return self._end(now_ms, key, proposal, value)
            if value is None and all(name in self.stores for name in proposal.holders):
                return self._first(now_ms, key, proposal)
            return self._prepare(now_ms, key, proposal)
        if top.ballot[0] >= 1 and len(same) >= self.placement.majority and value.stage is Stage.FINISHED:
            return self._handle_chosen(now_ms, key, proposal, value, None)
        if value.stage is Stage.CLAIMED and self.lives(value.runner) and value.runner != self.me:
            return self._end(now_ms, key, proposal, value)  # whoever has it settles it
        if not all_told:
            return []
        return self._prepare(now_ms, key, proposal)

    def _promised(self, now_ms: float, key: Key, proposal: Proposal, good: list[Vote]) -> list[Action]:
        stands = self._recovered(good)
        if (
            stands is not None
            and isinstance(proposal.intent, Claim | Follow)
            and stands.stage is Stage.CLAIMED
            and not self.lives(stands.runner)
        ):  # it may have run, and nobody will know more
            after: Value | None = replace(stands, stage=Stage.FINISHED, outcome=Outcome.ERROR)
        else:
            after = self._after(proposal.intent, stands)
        if after is None:  # there is nothing, and nothing to write
            return self._end(now_ms, key, proposal, None)
        if stands != proposal.settles:  # what it wrote in an earlier round stays its own
            ends = stands is not None and stands.stage is Stage.CLAIMED and after.stage is Stage.FINISHED
            proposal.settles = after if ends and not isinstance(proposal.intent, Finish) else None
        proposal.value = after
        return self._take(now_ms, key, proposal, Step.ACCEPT)

    def _recovered(self, votes: list[Vote]) -> Value | None:
        """What may have been chosen already, by what this majority holds."""
        top = max((vote for vote in votes), key=lambda vote: vote.ballot)
        if top.ballot[0] != 0:
            return top.value
        held = Counter(vote.ballot for vote in votes if vote.ballot[0] == 0)
        ((ballot, count),) = held.most_common(1)
        if count >= self.placement.fast_quorum + len(votes) - self.placement.replica_count:
            return next(vote.value for vote in votes if vote.ballot == ballot)
        return None

    def _after(self, intent: Intent, stands: Value | None) -> Value | None:
        """What the register is to hold where this stands. A value that is not the intent's to change stays."""
        match intent:
            case Claim(_, owner, print_, for_ms):
                if stands is not None and stands.stage is not Stage.FREE:
                    return stands
                return Value(Stage.CLAIMED, owner, self.me, print_, for_ms)
            case Finish(_, owner, print_, for_ms, _, outcome, result):
                if stands is not None and (stands.stage is not Stage.CLAIMED or stands.owner != owner):
                    return stands
                return Value(Stage.FINISHED, owner, self.me, print_, for_ms, outcome, result)
            case Free(_, owner):
                if stands is None:
                    return Value(Stage.FREE, owner, self.me, b"", 60_000.0)
                if stands.stage is not Stage.CLAIMED or stands.owner != owner:
                    return stands
                return replace(stands, stage=Stage.FREE)
            case TakeOver(_, owner):
                if stands is None or stands.stage is not Stage.CLAIMED or stands.owner != owner:
                    return stands
                return replace(stands, stage=Stage.FINISHED, outcome=Outcome.ERROR)
            case Follow():
                return stands

    def _lost(self, now_ms: float, key: Key, proposal: Proposal) -> list[Action]:
        """This step can't get its majority."""
        absent = [vote for vote in proposal.votes.values() if vote.verdict in (Verdict.ABSENT, Verdict.FULL)]
        able = sum(name in self.stores for name in proposal.holders) - len(absent)
        if able < self.placement.majority:
            full = any(vote.verdict is Verdict.FULL for vote in absent)
            return self._give_up(
                now_ms,
                key,
                proposal,
                "the holders have no room for a further key" if full else "no majority of the key's holders can vote",
            )
        self.counts["rounds_lost"] += 1
        # A ballot above was promised: two that propose at once are drawn apart.
        return self._later(now_ms, proposal, self.draw.uniform(0.5, 4.0) * min(proposal.rounds, 8))

    @staticmethod
    def _later(now_ms: float, proposal: Proposal, wait_ms: float) -> list[Action]:
        proposal.retry_at_ms, proposal.asked_ms = now_ms + wait_ms, -math.inf
        return []

    # Ends.

    def _handle_chosen(
        self, now_ms: float, key: Key, proposal: Proposal, value: Value | None, next_ballot: int | None
    ) -> list[Action]:
        if value is not None and value.stage is Stage.CLAIMED and value.runner == self.me and next_ballot is not None:
            self.owned[key] = value.owner, (next_ballot, self.me)
        return self._end(now_ms, key, proposal, value)

    def _end(self, now_ms: float, key: Key, proposal: Proposal, value: Value | None) -> list[Action]:
        del self.active[key]
        self.by_number.pop(proposal.number, None)
        actions: list[Action] = []
        match proposal.intent:
            case Claim():
                actions += self._claimed(now_ms, key, proposal, value)
            case Finish(_, owner):
                self._let_go(key, owner)
                if value is not None and value.owner == owner and value.outcome is not None:
                    ours = (value.outcome, value.result) == (proposal.intent.outcome, proposal.intent.result)
                    actions.append(Settled(key, owner, value.outcome, value.result, ours))
                else:
                    actions.append(Settled(key, owner, Outcome.ERROR, b"", False))
            case Free(_, owner):
                self._let_go(key, owner)
            case TakeOver():
                pass
            case Follow():
                actions += self._looked(now_ms, key, value)
        if value is not None and value == proposal.settles:  # whatever led to it: a repeat may come before the takeover
            actions.append(TookOver(key, value))
        if (
            value is not None
            and value.stage is not Stage.CLAIMED
            and key in self.followed
            and not isinstance(proposal.intent, Follow)
        ):
            actions += self._looked(now_ms, key, value)
        for intent in proposal.queued:
            actions += self._begin(now_ms, intent) if not isinstance(intent, Claim) else self.handle(now_ms, intent)
        return actions

    def _let_go(self, key: Key, owner: str) -> None:
        if self.owned.get(key, ("",))[0] == owner:
            del self.owned[key]
        if self.granted_claims.get(key) == owner:
            del self.granted_claims[key]

    def _claimed(self, now_ms: float, key: Key, proposal: Proposal, value: Value | None) -> list[Action]:
        waiting = tuple(proposal.waiting_claims)
        if value is None or value.stage is Stage.FREE:  # can't be: a claim would have been written
            return [MajorityUnavailable(owner, True, "the key's register is empty") for owner in waiting]
        mine = value.stage is Stage.CLAIMED and value.runner == self.me
        if mine and value.owner not in waiting and self.granted_claims.get(key) != value.owner:
            proposal.queued.appendleft(Free(key, value.owner))  # its caller went, or was told no: it does not run
        others = tuple(owner for owner in waiting if not (mine and owner == value.owner))
        actions: list[Action] = []
        if mine and value.owner in waiting:
            self.granted_claims[key] = value.owner
            actions.append(Granted(value.owner))
        if others:
            actions.append(ClaimedByOther(others, key, value))
            if value.stage is Stage.CLAIMED:
                self.followed[key] = value.owner, now_ms + self.pace.poll_ms
        return actions

    def _looked(self, now_ms: float, key: Key, value: Value | None) -> list[Action]:
        owner, _ = self.followed[key]
        if value is not None and value.stage is Stage.CLAIMED and value.owner == owner:
            self.followed[key] = owner, now_ms + self.pace.poll_ms
            return []
        del self.followed[key]
        if value is None:  # its time is over, here and there: how it ended is not known any more
            value = Value(Stage.FINISHED, owner, "", b"", 0.0, Outcome.ERROR)
        elif value.owner != owner:  # a later claim could only be made once this one was free, or had not been chosen
            value = Value(Stage.FREE, owner, "", b"", 0.0)
        return [FollowedKeyEnded(key, value)]

    def _give_up(self, now_ms: float, key: Key, proposal: Proposal, cause: str) -> list[Action]:
        """No majority now. Whoever waits is told; what may stand at a minority is settled later."""
        actions: list[Action] = []
        intent = proposal.intent
        if isinstance(intent, Claim):
            actions = [
                MajorityUnavailable(owner, proposal.seen or intent.may_be_repeat, cause)
                for owner in proposal.waiting_claims
            ]
            proposal.waiting_claims.clear()
            if not proposal.wrote:
                del self.active[key]
                self.by_number.pop(proposal.number, None)
                for behind in proposal.queued:
                    actions += self.handle(now_ms, behind)
                return actions
            proposal.intent = Free(key, intent.owner)
            proposal.until_ms = now_ms + intent.retention_ms
        elif isinstance(intent, Finish) and not proposal.abandoned:
            proposal.abandoned = True
            actions = [OutcomeOverdue(intent.owner)]
        self._later(now_ms, proposal, self.pace.again_ms)
        return actions

    # Time, and who is in reach.

    def _tick(self, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        for key, proposal in list(self.active.items()):
            if self.active.get(key) is not proposal:
                continue
            intent = proposal.intent
            late = [owner for owner, until in proposal.waiting_claims.items() if until <= now_ms]
            for owner in late:
                del proposal.waiting_claims[owner]
                actions.append(MajorityUnavailable(owner, True, "the holders did not answer in time"))
            if late and not proposal.waiting_claims and isinstance(intent, Claim):
                actions += self._give_up(now_ms, key, proposal, "")
                continue
            if isinstance(intent, Finish) and not proposal.abandoned and intent.deadline_ms <= now_ms:
                proposal.abandoned = True
                actions.append(OutcomeOverdue(intent.owner))
            for behind in [one for one in proposal.queued if isinstance(one, Claim) and one.deadline_ms <= now_ms]:
                proposal.queued.remove(behind)
                actions.append(MajorityUnavailable(behind.owner, True, "the holders did not answer in time"))
            if proposal.until_ms <= now_ms and not isinstance(intent, Claim):
                self.counts["given_up"] += 1
                actions += self._end(now_ms, key, proposal, None)
            elif proposal.retry_at_ms <= now_ms:
                actions += self._again(now_ms, key, proposal)
        for key, (owner, at_ms) in list(self.followed.items()):
            if at_ms <= now_ms and key not in self.active:
                actions += self._begin(now_ms, Follow(key, owner))
        return actions

    def _again(self, now_ms: float, key: Key, proposal: Proposal) -> list[Action]:
        if proposal.step is Step.FIRST or proposal.asked_ms == -math.inf:
            if isinstance(proposal.intent, Follow):
                return self._take(now_ms, key, proposal, Step.READ)
            return self._prepare(now_ms, key, proposal)
        proposal.retry_at_ms = now_ms + self.pace.again_ms
        if not self._majority_in_reach(proposal.holders):
            return self._give_up(now_ms, key, proposal, NO_MAJORITY)
        return self._ask(key, proposal, proposal.holders)

    def _reach(self, now_ms: float, member: str, up: bool, store: int) -> list[Action]:
        if up:
            self.stores[member] = store
            self.known_stores[member] = max(store, self.known_stores.get(member, 0))
        else:
            self.stores.pop(member, None)
        actions: list[Action] = []
        for key, proposal in list(self.active.items()):
            if member not in proposal.holders or self.active.get(key) is not proposal:
                continue
            if up:
                proposal.retry_at_ms = min(proposal.retry_at_ms, now_ms)
            elif not self._majority_in_reach(proposal.holders):
                actions += self._give_up(now_ms, key, proposal, NO_MAJORITY)
            elif proposal.asked_ms != -math.inf:
                actions += self._evaluate_votes(now_ms, key, proposal)
        return actions

    def _majority_in_reach(self, holders: tuple[str, ...]) -> bool:
        return sum(name in self.stores for name in holders) >= self.placement.majority
