"""An upgrade of a member whose keys are agreed with the fleet: the two processes share sockets and limits, and ask the
holders of a key, of whom their member is one, as any two members do. Imported only where both are on.
"""

from __future__ import annotations

from typing import Any

from flintshift.core.attempts import Attempt
from flintshift.interface import Outcome
from flintshift.lifecycle.replicated_claims import ReplicatedClaims
from flintshift.lifecycle.upgrade import Upgrade


class ConsensusInUpgrade:
    """The decision planner's port (``core.ports.Claims``)."""

    required = True

    def __init__(self, upgrade: Upgrade, claims: ReplicatedClaims) -> None:
        self.upgrade, self.claims = upgrade, claims
        upgrade.keys_elsewhere = True

    def in_doubt(self, attempt: Attempt) -> bool:
        return self.claims.in_doubt(attempt)

    def request_claim(self, attempt: Attempt) -> None:
        self.claims.request_claim(attempt)

    def cancel_claim(self, request: str) -> None:
        self.claims.cancel_claim(request)

    def on_key_claimed(self, attempt: Attempt) -> None:
        self.claims.on_key_claimed(attempt)

    def record_outcome(self, attempt: Attempt, outcome: Outcome, result: bytes) -> bool:
        return self.claims.record_outcome(attempt, outcome, result)

    def on_run_ended(self, attempt: Attempt) -> None:
        self.claims.on_run_ended(attempt)

    def on_key_freed(self, attempt: Attempt) -> None:
        self.claims.on_key_freed(attempt)

    def on_message(self, word: Any) -> None:
        if isinstance(word, tuple):  # of the other process, with the link it came by
            self.upgrade.on_message(word)
        else:
            self.claims.on_message(word)

    def tick(self) -> None:
        self.upgrade.tick()
