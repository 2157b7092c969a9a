"""What is left behind at the exit is found: a request without an answer, a connection, a task."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import pytest
from planning import PlannerHarness

from flintshift.core import attempts as at
from flintshift.lifecycle.leftovers import NOTHING, Leftovers, leftovers

pytestmark = pytest.mark.anyio


def attempt(node: PlannerHarness, request: str) -> at.Attempt:
    return at.Attempt(request, "look", node.now_ms, 10.0, 1, b"")


def found(fronts: list, node: PlannerHarness) -> Leftovers:
    """Without the tasks of the test's own runner."""
    left = leftovers(fronts, node.decisions)
    own = sum("TestRunner" in repr(task) for task in asyncio.all_tasks() - {asyncio.current_task()})
    return replace(left, tasks=left.tasks - own)


async def test_nothing_is_left_where_all_was_answered():
    node = PlannerHarness()
    node.submit("a")
    node.decisions.handle(at.RunFinished("a", at.Outcome.OK, 1.0, b"x"))
    node.submit("b")
    node.disconnect_caller("b")
    node.decisions.mailbox.offer(at.Tick("tick"))  # no request waits for it
    assert found([], node) == NOTHING


async def test_a_request_without_an_answer_is_left_wherever_it_stands():
    node = PlannerHarness()
    node.submit("runs")
    node.decisions.mailbox.offer(at.Submitted(attempt(node, "waits in the mailbox")))
    assert found([], node) == Leftovers(2, 0, 0)


async def test_connections_and_tasks_are_left_until_they_end():
    node, front = PlannerHarness(), SimpleNamespace(connections={1, 2})
    task = asyncio.ensure_future(asyncio.sleep(60))
    assert found([front], node) == Leftovers(0, 2, 1)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert found([], node) == NOTHING
