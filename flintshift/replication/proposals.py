"""The proposals of this process for keys, and how each one is agreed on with the key's holders. Without I/O.

At most one proposal for a key is active at a time; further intents for that key are queued behind it. A proposal runs
through the steps of `messages.Step` and ends when a value is *chosen*: from then on a majority can only hold another
value that was derived from it. `_handle_chosen` is called with each value that this process knows to be chosen.

    FIRST ----- all accepted ------------------------------> chosen
      | another claim, or a holder that doesn't answer
    PREPARE --- a majority promised: go on from its values
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
    """Timing and limits of proposals."""

    fast_round_ms: float = 8.0  # round 0 waits at least this long for its holders
    fast_round_factor: float = 8.0  # and at least this many times the mean answer time, but no longer than retry_ms
    retry_ms: float = 250.0  # until a request without an answer is sent again
    poll_ms: float = 400.0  # until a followed key is read again, in case the report of its end is lost
    uncertain_poll_ms: float = 20.0  # the same if its end was seen at a minority
    max_active: int = 4096
    max_queued: int = 64  # intents behind one active proposal


@dataclass(slots=True)
class Proposal:
    """An active proposal for one key."""

    intent: Intent
    holders: tuple[str, ...]
    expires_ms: float  # when it is abandoned
    step: Step = Step.READ
    request_number: int = 0  # of the current step
    ballot: Ballot = NO_BALLOT
    value: Value | None = None  # the proposed one
    votes: dict[str, Vote] = field(default_factory=dict)
    stores: tuple[int, ...] = ()
    sent_ms: float = 0.0  # when the step's requests were sent; -inf: the proposal waits for its next round
    retry_at_ms: float = math.inf
    rounds: int = 0
    waiting_claims: dict[str, float] = field(default_factory=dict)  # tries that wait for a claim, and their deadlines
    may_have_written: bool = False  # a holder may have accepted the proposed value
    abandoned: bool = False  # nobody waits for its end any more
    queued: deque[Intent] = field(default_factory=deque)
    key_is_known: bool = False  # a holder has a value for the key
    takeover_value: Value | None = None  # the proposed end of a claim whose runner is dead


class Proposals:
    """The proposals of one process.

    ``identity`` names this process and never another or earlier one. ``is_alive`` returns whether a runner is.
    """

    def __init__(
        self,
        identity: str,
        placement: Placement,
        is_alive: Callable[[str], bool],
        rng: random.Random,
        timing: ProposalTiming | None = None,
    ) -> None:
        self.identity, self.placement, self.is_alive, self.rng = identity, placement, is_alive, rng
        self.timing = timing or ProposalTiming()
        self.active: dict[Key, Proposal] = {}
        self.key_by_request: dict[int, Key] = {}
        self.owned_claims: dict[Key, tuple[str, Ballot]] = {}  # of this process: owner, and the ballot promised to it
        self.followed: dict[Key, tuple[str, float]] = {}  # claims of others: owner, and when the key is read next
        self.reachable_stores: dict[str, int] = {}  # store incarnations of the reachable holders
        self.known_stores: dict[str, int] = {}
        self.granted_claims: dict[Key, str] = {}  # tries that may run, until their end is settled
        self.last_request_number = 0
        # A process uses no ballot twice, and none that was promised to it with an acceptance.
        self.last_ballot_number = FIRST_CLASSIC_BALLOT_NUMBER - 1
        self.counts: Counter[str] = Counter()
        self.next_tick_ms = math.inf
        self.mean_answer_ms = 0.0  # moving average of the holders' answer times

    # Events.

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handles an event and returns the resulting actions."""
        if isinstance(event, ReachabilityChanged | Tick):  # these may concern any key
            actions = self._dispatch(now_ms, event)
            self.next_tick_ms = min(
                (self._key_due_ms(key) for key in self.active.keys() | self.followed.keys()), default=math.inf
            )
            return actions
        key = self.key_by_request.get(event.vote.number) if isinstance(event, Voted) else event.key
        actions = self._dispatch(now_ms, event)
        if key is not None:
            self.next_tick_ms = min(self.next_tick_ms, self._key_due_ms(key))
        return actions

    def _dispatch(self, now_ms: float, event: Event) -> list[Action]:
        match event:
            case Claim(key) if key in self.active and isinstance(self.active[key].intent, Claim):
                proposal = self.active[key]
                proposal.waiting_claims[event.owner] = event.deadline_ms  # it gets the result of the first claim
                return []
            case Claim() | Finish() | Free() | TakeOver() | Follow():
                return self._begin(now_ms, event)
            case CallerDeparted(key, owner):
                proposal = self.active.get(key)  # type: ignore[assignment]
                if proposal is not None:
                    proposal.waiting_claims.pop(owner, None)
                return []
            case Voted(member, vote):
                return self._handle_vote(now_ms, member, vote)
            case Ended(key):
                if key in self.followed and key not in self.active:
                    return self._begin(now_ms, Follow(key, self.followed[key][0]))
                return []
            case ReachabilityChanged(member, reachable, store):
                return self._handle_reachability(now_ms, member, reachable, store)
            case Tick():
                return self._handle_tick(now_ms)

    def due_ms(self) -> float:
        """The time of the next necessary tick. It may be too early if something has ended since the last one."""
        return self.next_tick_ms

    def _key_due_ms(self, key: Key) -> float:
        due_ms = self.followed[key][1] if key in self.followed else math.inf
        proposal = self.active.get(key)
        if proposal is None:
            return due_ms
        due_ms = min(due_ms, proposal.retry_at_ms, *proposal.waiting_claims.values())
        if isinstance(proposal.intent, Finish) and not proposal.abandoned:
            due_ms = min(due_ms, proposal.intent.deadline_ms)
        return min([due_ms, *(intent.deadline_ms for intent in proposal.queued if isinstance(intent, Claim))])

    # The start of a proposal and its steps.

    def _begin(self, now_ms: float, intent: Intent) -> list[Action]:
        """Starts a proposal for the intent, or queues the intent behind the key's active proposal."""
        key = intent.key
        if isinstance(intent, Follow):
            self.followed[key] = intent.owner, now_ms + self.timing.poll_ms
        active_proposal = self.active.get(key)
        if active_proposal is not None:
            if isinstance(intent, Claim) and not self._is_majority_reachable(active_proposal.holders):
                return [
                    MajorityUnavailable(intent.owner, intent.may_be_repeat or active_proposal.key_is_known, NO_MAJORITY)
                ]
            if len(active_proposal.queued) < self.timing.max_queued and intent not in active_proposal.queued:
                active_proposal.queued.append(intent)
            elif isinstance(intent, Claim):
                return [MajorityUnavailable(intent.owner, True, "too many proposals for this key")]
            return []
        holders = self.placement.holders(key)
        if len(self.active) >= self.timing.max_active and isinstance(intent, Claim):
            return [MajorityUnavailable(intent.owner, intent.may_be_repeat, "too many proposals are under way")]
        expires_ms = intent.deadline_ms if isinstance(intent, Claim) else math.inf
        if isinstance(intent, Free | TakeOver | Finish):
            expires_ms = now_ms + (intent.retention_ms if isinstance(intent, Finish) else 60_000.0)
        proposal = self.active[key] = Proposal(intent, holders, expires_ms)
        if isinstance(intent, Claim):
            proposal.waiting_claims[intent.owner] = intent.deadline_ms
            if not self._is_majority_reachable(holders):
                return self._handle_no_majority(now_ms, key, proposal, NO_MAJORITY)
        return self._start(now_ms, key, proposal)

    def _start(self, now_ms: float, key: Key, proposal: Proposal) -> list[Action]:
        """Begins the first step, which depends on the intent."""
        intent, all_reachable = proposal.intent, all(name in self.reachable_stores for name in proposal.holders)
        if isinstance(intent, Claim) and not proposal.rounds:
            if intent.may_be_repeat:
                return self._begin_step(now_ms, key, proposal, Step.READ)
            if all_reachable:
                return self._begin_fast_round(now_ms, key, proposal)
        if isinstance(intent, Follow):
            return self._begin_step(now_ms, key, proposal, Step.READ)
        if isinstance(intent, Finish | Free) and not proposal.rounds:
            owned_claim = self.owned_claims.get(key)
            if owned_claim is not None and owned_claim[0] == intent.owner:
                proposal.ballot, proposal.value = owned_claim[1], self._value_after(intent, None)
                return self._begin_step(now_ms, key, proposal, Step.ACCEPT)
        return self._prepare(now_ms, key, proposal)

    def _begin_fast_round(self, now_ms: float, key: Key, proposal: Proposal) -> list[Action]:
        proposal.ballot, proposal.value = (0, self.identity), self._value_after(proposal.intent, None)
        return self._begin_step(now_ms, key, proposal, Step.FIRST)

    def _prepare(self, now_ms: float, key: Key, proposal: Proposal) -> list[Action]:
        highest_seen = max((max(vote.promised[0], vote.ballot[0]) for vote in proposal.votes.values()), default=0)
        number = max(highest_seen, self.last_ballot_number) + 1
        # An acceptance promises the next ballot number too, so that one is used up as well.
        proposal.ballot, self.last_ballot_number = (number, self.identity), number + 1
        return self._begin_step(now_ms, key, proposal, Step.PREPARE)

    def _begin_step(self, now_ms: float, key: Key, proposal: Proposal, step: Step) -> list[Action]:
        self.last_request_number += 1
        self.key_by_request.pop(proposal.request_number, None)
        proposal.request_number, proposal.step, proposal.votes = self.last_request_number, step, {}
        proposal.sent_ms, proposal.rounds = now_ms, proposal.rounds + 1
        fast_round_ms = min(
            max(self.timing.fast_round_ms, self.timing.fast_round_factor * self.mean_answer_ms), self.timing.retry_ms
        )
        proposal.retry_at_ms = now_ms + (fast_round_ms if step is Step.FIRST else self.timing.retry_ms)
        self.key_by_request[proposal.request_number] = key
        self.counts[step.name.lower()] += 1
        proposal.stores = tuple(self.known_stores.get(name, 0) for name in proposal.holders)
        return self._send_requests(key, proposal, proposal.holders)

    def _send_requests(self, key: Key, proposal: Proposal, holders: tuple[str, ...]) -> list[Action]:
        """Requests for votes from the reachable holders that have not answered this step."""
        writes = proposal.step in (Step.FIRST, Step.ACCEPT)
        ask = Ask(
            proposal.request_number,
            self.identity,
            proposal.step,
            key,
            proposal.ballot,
            proposal.stores,
            proposal.value if writes else None,
            isinstance(proposal.intent, Claim | Follow),
        )
        requests: list[Action] = [
            Send(name, ask) for name in holders if name in self.reachable_stores and name not in proposal.votes
        ]
        proposal.may_have_written = proposal.may_have_written or (writes and bool(requests))
        return requests

    # Votes.

    def _handle_vote(self, now_ms: float, member: str, vote: Vote) -> list[Action]:
        key = self.key_by_request.get(vote.number)
        if key is None:
            return []  # the step has ended
        proposal = self.active[key]
        for name, store in zip(proposal.holders, vote.stores, strict=False):
            if store > self.known_stores.get(name, 0):
                self.known_stores[name] = store
        if member in proposal.votes or member not in proposal.holders:
            return []
        proposal.votes[member] = vote
        if proposal.sent_ms > 0.0:
            self.mean_answer_ms += (now_ms - proposal.sent_ms - self.mean_answer_ms) / 16
        proposal.key_is_known = proposal.key_is_known or vote.value is not None
        return self._evaluate_votes(now_ms, key, proposal)

    def _evaluate_votes(self, now_ms: float, key: Key, proposal: Proposal) -> list[Action]:
        """Ends the step once its votes decide it."""
        votes, placement = list(proposal.votes.values()), self.placement
        granting = [vote for vote in votes if vote.verdict is Verdict.OK]
        outstanding = [
            name for name in proposal.holders if name not in proposal.votes and name in self.reachable_stores
        ]
        if (
            any(vote.verdict is Verdict.STALE for vote in votes)
            and len(granting) + len(outstanding) < placement.majority
        ):
            return self._schedule_retry(now_ms, proposal, self.rng.uniform(1.0, 5.0))  # the votes named the stores
        match proposal.step:
            case Step.FIRST:
                if len(granting) >= placement.fast_quorum:
                    return self._handle_chosen(now_ms, key, proposal, proposal.value, 1)
                if len(granting) + len(outstanding) < placement.fast_quorum and len(votes) >= placement.majority:
                    return self._handle_contested(now_ms, key, proposal, granting)
            case Step.ACCEPT:
                if len(granting) >= placement.majority:
                    return self._handle_chosen(now_ms, key, proposal, proposal.value, proposal.ballot[0] + 1)
                if len(granting) + len(outstanding) < placement.majority:
                    return self._handle_lost_round(now_ms, key, proposal)
            case Step.PREPARE:
                if len(granting) >= placement.majority:
                    return self._handle_promises(now_ms, key, proposal, granting)
                if len(granting) + len(outstanding) < placement.majority:
                    return self._handle_lost_round(now_ms, key, proposal)
            case Step.READ:
                if len(granting) >= placement.majority:
                    return self._handle_read(now_ms, key, proposal, granting, not outstanding)
                if len(granting) + len(outstanding) < placement.majority:
                    return self._handle_lost_round(now_ms, key, proposal)
        return []

    def _handle_contested(self, now_ms: float, key: Key, proposal: Proposal, granting: list[Vote]) -> list[Action]:
        """Round 0 did not choose this claim.

        If a holder accepted it, a classic round settles it. Otherwise the claim of another process is examined.
        """
        rejecting = [vote for vote in proposal.votes.values() if vote.verdict is Verdict.BEHIND]
        if not granting and rejecting:
            return self._handle_read(now_ms, key, proposal, rejecting, True)
        return self._prepare(now_ms, key, proposal)

    def _handle_read(
        self, now_ms: float, key: Key, proposal: Proposal, votes: list[Vote], all_answered: bool
    ) -> list[Action]:
        """Goes on from the values that a majority holds. Reading them changed nothing."""
        highest = max(votes, key=lambda vote: vote.ballot)
        matching = [vote for vote in votes if vote.ballot == highest.ballot]
        value = highest.value
        if value is None or value.stage is Stage.FREE:
            if isinstance(proposal.intent, Follow):
                return self._end(now_ms, key, proposal, value)
            if value is None and all(name in self.reachable_stores for name in proposal.holders):
                return self._begin_fast_round(now_ms, key, proposal)
            return self._prepare(now_ms, key, proposal)
        if highest.ballot[0] >= 1 and len(matching) >= self.placement.majority and value.stage is Stage.FINISHED:
            return self._handle_chosen(now_ms, key, proposal, value, None)
        if value.stage is Stage.CLAIMED and self.is_alive(value.runner) and value.runner != self.identity:
            return self._end(now_ms, key, proposal, value)  # the runner settles it
        if not all_answered:
            return []
        return self._prepare(now_ms, key, proposal)

    def _handle_promises(self, now_ms: float, key: Key, proposal: Proposal, granting: list[Vote]) -> list[Action]:
        """A majority has promised: proposes the value that follows from what may have been chosen already."""
        current = self._possibly_chosen(granting)
        if (
            current is not None
            and isinstance(proposal.intent, Claim | Follow)
            and current.stage is Stage.CLAIMED
            and not self.is_alive(current.runner)
        ):  # the request may have run, and nobody can find out any more
            proposed: Value | None = replace(current, stage=Stage.FINISHED, outcome=Outcome.ERROR)
        else:
            proposed = self._value_after(proposal.intent, current)
        if proposed is None:  # there is no value, and none to write
            return self._end(now_ms, key, proposal, None)
        if current != proposal.takeover_value:  # a value that this proposal wrote in an earlier round is its own
            ends_claim = current is not None and current.stage is Stage.CLAIMED and proposed.stage is Stage.FINISHED
            proposal.takeover_value = proposed if ends_claim and not isinstance(proposal.intent, Finish) else None
        proposal.value = proposed
        return self._begin_step(now_ms, key, proposal, Step.ACCEPT)

    def _possibly_chosen(self, votes: list[Vote]) -> Value | None:
        """The value that may have been chosen already, according to the votes of a majority."""
        highest = max((vote for vote in votes), key=lambda vote: vote.ballot)
        if highest.ballot[0] != 0:
            return highest.value
        acceptances = Counter(vote.ballot for vote in votes if vote.ballot[0] == 0)
        ((ballot, count),) = acceptances.most_common(1)
        if count >= self.placement.fast_quorum + len(votes) - self.placement.replica_count:
            return next(vote.value for vote in votes if vote.ballot == ballot)
        return None

    def _value_after(self, intent: Intent, current: Value | None) -> Value | None:
        """The value that the register is to hold after the intent. A value that the intent may not change stays."""
        match intent:
            case Claim(_, owner, fingerprint, retention_ms):
                if current is not None and current.stage is not Stage.FREE:
                    return current
                return Value(Stage.CLAIMED, owner, self.identity, fingerprint, retention_ms)
            case Finish(_, owner, fingerprint, retention_ms, _, outcome, result):
                if current is not None and (current.stage is not Stage.CLAIMED or current.owner != owner):
                    return current
                return Value(Stage.FINISHED, owner, self.identity, fingerprint, retention_ms, outcome, result)
            case Free(_, owner):
                if current is None:
                    return Value(Stage.FREE, owner, self.identity, b"", 60_000.0)
                if current.stage is not Stage.CLAIMED or current.owner != owner:
                    return current
                return replace(current, stage=Stage.FREE)
            case TakeOver(_, owner):
                if current is None or current.stage is not Stage.CLAIMED or current.owner != owner:
                    return current
                return replace(current, stage=Stage.FINISHED, outcome=Outcome.ERROR)
            case Follow():
                return current

    def _handle_lost_round(self, now_ms: float, key: Key, proposal: Proposal) -> list[Action]:
        """The current step can't get its majority any more."""
        unable = [vote for vote in proposal.votes.values() if vote.verdict in (Verdict.ABSENT, Verdict.FULL)]
        able_count = sum(name in self.reachable_stores for name in proposal.holders) - len(unable)
        if able_count < self.placement.majority:
            is_full = any(vote.verdict is Verdict.FULL for vote in unable)
            return self._handle_no_majority(
                now_ms,
                key,
                proposal,
                "the holders have no room for a further key"
                if is_full
                else "no majority of the key's holders can vote",
            )
        self.counts["rounds_lost"] += 1
        # A higher ballot was promised. A random delay keeps two concurrent proposers apart.
        return self._schedule_retry(now_ms, proposal, self.rng.uniform(0.5, 4.0) * min(proposal.rounds, 8))

    @staticmethod
    def _schedule_retry(now_ms: float, proposal: Proposal, delay_ms: float) -> list[Action]:
        proposal.retry_at_ms, proposal.sent_ms = now_ms + delay_ms, -math.inf
        return []

    # The end of a proposal.

    def _handle_chosen(
        self, now_ms: float, key: Key, proposal: Proposal, value: Value | None, next_ballot: int | None
    ) -> list[Action]:
        if (
            value is not None
            and value.stage is Stage.CLAIMED
            and value.runner == self.identity
            and next_ballot is not None
        ):
            self.owned_claims[key] = value.owner, (next_ballot, self.identity)
        return self._end(now_ms, key, proposal, value)

    def _end(self, now_ms: float, key: Key, proposal: Proposal, value: Value | None) -> list[Action]:
        """Ends the proposal with the value that was found or chosen, and begins the queued intents."""
        del self.active[key]
        self.key_by_request.pop(proposal.request_number, None)
        actions: list[Action] = []
        match proposal.intent:
            case Claim():
                actions += self._answer_claims(now_ms, key, proposal, value)
            case Finish(_, owner):
                self._release_claim(key, owner)
                if value is not None and value.owner == owner and value.outcome is not None:
                    is_own_outcome = (value.outcome, value.result) == (proposal.intent.outcome, proposal.intent.result)
                    actions.append(Settled(key, owner, value.outcome, value.result, is_own_outcome))
                else:
                    actions.append(Settled(key, owner, Outcome.ERROR, b"", False))
            case Free(_, owner):
                self._release_claim(key, owner)
            case TakeOver():
                pass
            case Follow():
                actions += self._update_followed(now_ms, key, value)
        if value is not None and value == proposal.takeover_value:  # also if a repeat settles it before the takeover
            actions.append(TookOver(key, value))
        if (
            value is not None
            and value.stage is not Stage.CLAIMED
            and key in self.followed
            and not isinstance(proposal.intent, Follow)
        ):
            actions += self._update_followed(now_ms, key, value)
        for intent in proposal.queued:
            actions += self._begin(now_ms, intent) if not isinstance(intent, Claim) else self.handle(now_ms, intent)
        return actions

    def _release_claim(self, key: Key, owner: str) -> None:
        if self.owned_claims.get(key, ("",))[0] == owner:
            del self.owned_claims[key]
        if self.granted_claims.get(key) == owner:
            del self.granted_claims[key]

    def _answer_claims(self, now_ms: float, key: Key, proposal: Proposal, value: Value | None) -> list[Action]:
        """Reports to the waiting tries which of them, or which other try, holds the claim."""
        waiting = tuple(proposal.waiting_claims)
        if value is None or value.stage is Stage.FREE:  # impossible: the claim would have been written
            return [MajorityUnavailable(owner, True, "the key's register is empty") for owner in waiting]
        runs_here = value.stage is Stage.CLAIMED and value.runner == self.identity
        if runs_here and value.owner not in waiting and self.granted_claims.get(key) != value.owner:
            # The caller disconnected, or was answered that there is no majority: the request does not run.
            proposal.queued.appendleft(Free(key, value.owner))
        others = tuple(owner for owner in waiting if not (runs_here and owner == value.owner))
        actions: list[Action] = []
        if runs_here and value.owner in waiting:
            self.granted_claims[key] = value.owner
            actions.append(Granted(value.owner))
        if others:
            actions.append(ClaimedByOther(others, key, value))
            if value.stage is Stage.CLAIMED:
                self.followed[key] = value.owner, now_ms + self.timing.poll_ms
        return actions

    def _update_followed(self, now_ms: float, key: Key, value: Value | None) -> list[Action]:
        """Reports the end of a followed key, or schedules the next read if it has not ended."""
        owner, _ = self.followed[key]
        if value is not None and value.stage is Stage.CLAIMED and value.owner == owner:
            self.followed[key] = owner, now_ms + self.timing.poll_ms
            return []
        del self.followed[key]
        if value is None:  # the register has expired everywhere: how the run ended is no longer known
            value = Value(Stage.FINISHED, owner, "", b"", 0.0, Outcome.ERROR)
        elif value.owner != owner:  # a later claim is possible only after this one was freed, or was never chosen
            value = Value(Stage.FREE, owner, "", b"", 0.0)
        return [FollowedKeyEnded(key, value)]

    def _handle_no_majority(self, now_ms: float, key: Key, proposal: Proposal, cause: str) -> list[Action]:
        """No majority can be had now. Reports that to whoever waits.

        What a minority may have accepted is settled later.
        """
        actions: list[Action] = []
        intent = proposal.intent
        if isinstance(intent, Claim):
            actions = [
                MajorityUnavailable(owner, proposal.key_is_known or intent.may_be_repeat, cause)
                for owner in proposal.waiting_claims
            ]
            proposal.waiting_claims.clear()
            if not proposal.may_have_written:
                del self.active[key]
                self.key_by_request.pop(proposal.request_number, None)
                for queued_intent in proposal.queued:
                    actions += self.handle(now_ms, queued_intent)
                return actions
            proposal.intent = Free(key, intent.owner)
            proposal.expires_ms = now_ms + intent.retention_ms
        elif isinstance(intent, Finish) and not proposal.abandoned:
            proposal.abandoned = True
            actions = [OutcomeOverdue(intent.owner)]
        self._schedule_retry(now_ms, proposal, self.timing.retry_ms)
        return actions

    # Time, and which holders are reachable.

    def _handle_tick(self, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        for key, proposal in list(self.active.items()):
            if self.active.get(key) is not proposal:
                continue
            intent = proposal.intent
            late = [owner for owner, deadline_ms in proposal.waiting_claims.items() if deadline_ms <= now_ms]
            for owner in late:
                del proposal.waiting_claims[owner]
                actions.append(MajorityUnavailable(owner, True, "the holders did not answer in time"))
            if late and not proposal.waiting_claims and isinstance(intent, Claim):
                actions += self._handle_no_majority(now_ms, key, proposal, "")
                continue
            if isinstance(intent, Finish) and not proposal.abandoned and intent.deadline_ms <= now_ms:
                proposal.abandoned = True
                actions.append(OutcomeOverdue(intent.owner))
            for late_claim in [
                queued_intent
                for queued_intent in proposal.queued
                if isinstance(queued_intent, Claim) and queued_intent.deadline_ms <= now_ms
            ]:
                proposal.queued.remove(late_claim)
                actions.append(MajorityUnavailable(late_claim.owner, True, "the holders did not answer in time"))
            if proposal.expires_ms <= now_ms and not isinstance(intent, Claim):
                self.counts["given_up"] += 1
                actions += self._end(now_ms, key, proposal, None)
            elif proposal.retry_at_ms <= now_ms:
                actions += self._retry(now_ms, key, proposal)
        for key, (owner, poll_at_ms) in list(self.followed.items()):
            if poll_at_ms <= now_ms and key not in self.active:
                actions += self._begin(now_ms, Follow(key, owner))
        return actions

    def _retry(self, now_ms: float, key: Key, proposal: Proposal) -> list[Action]:
        if proposal.step is Step.FIRST or proposal.sent_ms == -math.inf:
            if isinstance(proposal.intent, Follow):
                return self._begin_step(now_ms, key, proposal, Step.READ)
            return self._prepare(now_ms, key, proposal)
        proposal.retry_at_ms = now_ms + self.timing.retry_ms
        if not self._is_majority_reachable(proposal.holders):
            return self._handle_no_majority(now_ms, key, proposal, NO_MAJORITY)
        return self._send_requests(key, proposal, proposal.holders)

    def _handle_reachability(self, now_ms: float, member: str, reachable: bool, store: int) -> list[Action]:
        if reachable:
            self.reachable_stores[member] = store
            self.known_stores[member] = max(store, self.known_stores.get(member, 0))
        else:
            self.reachable_stores.pop(member, None)
        actions: list[Action] = []
        for key, proposal in list(self.active.items()):
            if member not in proposal.holders or self.active.get(key) is not proposal:
                continue
            if reachable:
                proposal.retry_at_ms = min(proposal.retry_at_ms, now_ms)
            elif not self._is_majority_reachable(proposal.holders):
                actions += self._handle_no_majority(now_ms, key, proposal, NO_MAJORITY)
            elif proposal.sent_ms != -math.inf:
                actions += self._evaluate_votes(now_ms, key, proposal)
        return actions

    def _is_majority_reachable(self, holders: tuple[str, ...]) -> bool:
        return sum(name in self.reachable_stores for name in holders) >= self.placement.majority
