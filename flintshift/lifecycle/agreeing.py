"""An upgrade of a member whose keys are agreed with the fleet: the two processes share sockets and limits, and ask the
holders of a key, of whom their member is one, as any two members do. Imported only where both are on.
"""

from __future__ import annotations

from typing import Any

from flintshift.core.attempts import Attempt
from flintshift.interface import Outcome
from flintshift.lifecycle.copying import Copying
from flintshift.lifecycle.upgrade import Upgrade


class Agreeing:
    """The decision planner's port (``core.ports.Claims``)."""

    needed = True

    def __init__(self, upgrade: Upgrade, copying: Copying) -> None:
        self.upgrade, self.copying = upgrade, copying
        upgrade.keys_elsewhere = True

    def unsure(self, attempt: Attempt) -> bool:
        return self.copying.unsure(attempt)

    def ask(self, attempt: Attempt) -> None:
        self.copying.ask(attempt)

    def departed(self, request: str) -> None:
        self.copying.departed(request)

    def kept(self, attempt: Attempt) -> None:
        self.copying.kept(attempt)

    def keeps(self, attempt: Attempt, outcome: Outcome, result: bytes) -> bool:
        return self.copying.keeps(attempt, outcome, result)

    def over(self, attempt: Attempt) -> None:
        self.copying.over(attempt)

    def freed(self, attempt: Attempt) -> None:
        self.copying.freed(attempt)

    def heard(self, word: Any) -> None:
        if isinstance(word, tuple):  # of the other process, with the link it came by
            self.upgrade.heard(word)
        else:
            self.copying.heard(word)

    def tick(self) -> None:
        self.upgrade.tick()
