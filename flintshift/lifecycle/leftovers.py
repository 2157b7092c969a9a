"""What a process of the node leaves behind at its exit: nothing, where each part ended what it had begun."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from flintshift.core.decisions import Decisions
from flintshift.wire.front import Front


@dataclass(frozen=True, slots=True)
class Leftovers:
    requests: int  # read, and neither answered nor left by their callers
    connections: int  # of callers, that their front still holds
    tasks: int  # of the event loop, but for the one that looks

    @property
    def none(self) -> bool:
        return self == NOTHING


NOTHING = Leftovers(0, 0, 0)


def leftovers(fronts: Sequence[Front], decisions: Decisions) -> Leftovers:
    """Look once all tasks that serve have ended."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    return Leftovers(
        decisions.unanswered, sum(len(front.connections) for front in fronts), sum(not task.done() for task in others)
    )
