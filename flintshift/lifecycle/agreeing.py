"""An upgrade of a member whose keys are agreed with the fleet: the two processes share sockets and limits, and ask the
holders of a key, of whom their member is one, as any two members do. Imported only where both are on.
"""

from __future__ import annotations

from typing import Any

from flintshift.core.attempts import Attempt
from flintshift.interface import Outcome
from flintshift.lifecycle.copied_claims import CopiedClaims
from flintshift.lifecycle.upgrade import Upgrade


class Agreeing:
    """The decision planner's port (``core.ports.Claims``)."""

    needed = True

    def __init__(self, upgrade: Upgrade, claims: CopiedClaims) -> None:
        self.upgrade, self.claims = upgrade, claims
        upgrade.keys_elsewhere = True

    def unsure(self, attempt: Attempt) -> bool:
        return self.claims.unsure(attempt)

    def ask(self, attempt: Attempt) -> None:
        self.claims.ask(attempt)

    def departed(self, request: str) -> None:
        self.claims.departed(request)

    def kept(self, attempt: Attempt) -> None:
        self.claims.kept(attempt)

    def keeps(self, attempt: Attempt, outcome: Outcome, result: bytes) -> bool:
        return self.claims.keeps(attempt, outcome, result)

    def over(self, attempt: Attempt) -> None:
        self.claims.over(attempt)

    def freed(self, attempt: Attempt) -> None:
        self.claims.freed(attempt)

    def heard(self, word: Any) -> None:
        if isinstance(word, tuple):  # of the other process, with the link it came by
            self.upgrade.heard(word)
        else:
            self.claims.heard(word)

    def tick(self) -> None:
        self.upgrade.tick()
