"""Counts what a process of the node leaves behind at its exit: nothing, if each part ended what it had begun."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from flintshift.core.decisions import Decisions
from flintshift.wire.front import Front


@dataclass(frozen=True, slots=True)
class Leftovers:
    """The numbers of objects that are left behind, by their kind."""

    requests: int  # that were read, are not answered, and whose callers still wait
    connections: int  # of callers, that their front still has
    tasks: int  # of the event loop, except the task that counts them

    @property
    def is_empty(self) -> bool:
        return self == NO_LEFTOVERS


NO_LEFTOVERS = Leftovers(0, 0, 0)


def count_leftovers(fronts: Sequence[Front], decisions: Decisions) -> Leftovers:
    """Count what is left behind, once all tasks that serve have ended."""
    other_tasks = asyncio.all_tasks() - {asyncio.current_task()}
    return Leftovers(
        decisions.unanswered,
        sum(len(front.connections) for front in fronts),
        sum(not task.done() for task in other_tasks),
    )
