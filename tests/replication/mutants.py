"""The rules of the copies, each broken on purpose: whoever checks them must see it."""

from __future__ import annotations

from msgspec.structs import replace

from flintshift.replication.messages import Step, Verdict
from flintshift.replication.proposals import Proposals
from flintshift.replication.registers import Registers


class VotesWhileEmpty(Registers):
    """A store that lost its disk votes before it is filled."""

    def can_vote_on(self, now_ms, holders):
        return True


class NoStoreCheck(Registers):
    """Whoever counts on a store that is gone is heard."""

    def vote(self, now_ms, ask):
        stores = tuple(self.stores.get(name, 0) for name in self.placement.holders(ask.key))
        return super().vote(now_ms, replace(ask, stores=stores))


class MinorityEnds(Proposals):
    """One holder's acceptance counts as the word of all."""

    def _evaluate_votes(self, now_ms, key, proposal):
        if proposal.step is Step.ACCEPT and any(vote.verdict is Verdict.OK for vote in proposal.votes.values()):
            return self._handle_chosen(now_ms, key, proposal, proposal.value, proposal.ballot[0] + 1)
        return super()._evaluate_votes(now_ms, key, proposal)


class MajorityOfFirst(Proposals):
    """A claim of round 0 counts with two of three holders, though the third may tell another story with one of them."""

    def _evaluate_votes(self, now_ms, key, proposal):
        good = [vote for vote in proposal.votes.values() if vote.verdict is Verdict.OK]
        if proposal.step is Step.FIRST and len(good) >= self.placement.majority:
            return self._handle_chosen(now_ms, key, proposal, proposal.value, 1)
        return super()._evaluate_votes(now_ms, key, proposal)
