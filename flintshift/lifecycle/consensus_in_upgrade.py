"""Claims during the upgrade of a member whose keys are agreed with other members.

The two processes share sockets and limits. Each of them asks the holders of a key, of which their own member is one, as
any two members do. Imported only if the control socket and replication are both on.
"""

from __future__ import annotations

from typing import Any

from flintshift.core.attempts import Attempt
from flintshift.interface import Outcome
from flintshift.lifecycle.replicated_claims import ReplicatedClaims
from flintshift.lifecycle.upgrade import Upgrade


class ConsensusInUpgrade:
    """Implements ``core.ports.Claims``: sends claims to the holders of a key, and what concerns the other process to
    the upgrade."""

    required = True

    def __init__(self, upgrade: Upgrade, claims: ReplicatedClaims) -> None:
        self.upgrade, self.claims = upgrade, claims
        upgrade.keys_replicated = True

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

    def on_message(self, message: Any) -> None:
        if isinstance(message, tuple):  # a message of the other process, and the link on which it arrived
            self.upgrade.on_message(message)
        else:
            self.claims.on_message(message)

    def tick(self) -> None:
        self.upgrade.tick()
