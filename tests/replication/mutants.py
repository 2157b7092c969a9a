"""Deliberately broken versions of the replication rules. The checks must detect each of them."""

from __future__ import annotations

from msgspec.structs import replace

from flintshift.replication.messages import Step, Verdict
from flintshift.replication.proposals import Proposals
from flintshift.replication.registers import Registers


class VotesBeforeRefill(Registers):
    """A store that lost its disk votes before it is refilled."""

    def can_vote_on(self, now_ms, holders):
        return True


class NoStoreCheck(Registers):
    """A proposer that relies on a lost store gets a vote."""

    def vote(self, now_ms, ask):
        stores = tuple(self.stores.get(name, 0) for name in self.placement.holders(ask.key))
        return super().vote(now_ms, replace(ask, stores=stores))


class MinorityDecides(Proposals):
    """The acceptance of a single holder counts as a majority."""

    def _evaluate_votes(self, now_ms, key, proposal):
        if proposal.step is Step.ACCEPT and any(vote.verdict is Verdict.OK for vote in proposal.votes.values()):
            return self._handle_chosen(now_ms, key, proposal, proposal.value, proposal.ballot[0] + 1)
        return super()._evaluate_votes(now_ms, key, proposal)


class MajorityDecidesFastRound(Proposals):
    """Two of three holders decide round 0, though another claim may get the third holder and one of the two."""

    def _evaluate_votes(self, now_ms, key, proposal):
        granting = [vote for vote in proposal.votes.values() if vote.verdict is Verdict.OK]
        if proposal.step is Step.FIRST and len(granting) >= self.placement.majority:
            return self._handle_chosen(now_ms, key, proposal, proposal.value, 1)
        return super()._evaluate_votes(now_ms, key, proposal)
