"""Leftovers at the exit are counted: requests without an answer, connections, tasks."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import pytest
from planning import PlannerHarness

from flintshift.core import attempts as at
from flintshift.lifecycle.leftovers import NO_LEFTOVERS, Leftovers, count_leftovers

pytestmark = pytest.mark.anyio


def attempt(node: PlannerHarness, request: str) -> at.Attempt:
    return at.Attempt(request, "look", node.now_ms, 10.0, 1, b"")


def leftovers_of(fronts: list, node: PlannerHarness) -> Leftovers:
    """Count the leftovers, without the tasks of the test's own runner."""
    leftovers = count_leftovers(fronts, node.decisions)
    own_tasks = sum("TestRunner" in repr(task) for task in asyncio.all_tasks() - {asyncio.current_task()})
    return replace(leftovers, tasks=leftovers.tasks - own_tasks)


async def test_nothing_is_left_if_all_requests_were_answered():
    node = PlannerHarness()
    node.submit("a")
    node.decisions.handle(at.RunFinished("a", at.Outcome.OK, 1.0, b"x"))
    node.submit("b")
    node.disconnect_caller("b")
    node.decisions.mailbox.offer(at.Tick("tick"))  # no request waits for its answer
    assert leftovers_of([], node) == NO_LEFTOVERS


async def test_a_request_without_an_answer_is_counted_in_each_state():
    node = PlannerHarness()
    node.submit("runs")
    node.decisions.mailbox.offer(at.Submitted(attempt(node, "waits in the mailbox")))
    assert leftovers_of([], node) == Leftovers(2, 0, 0)


async def test_connections_and_tasks_are_counted_until_they_end():
    node, front = PlannerHarness(), SimpleNamespace(connections={1, 2})
    task = asyncio.ensure_future(asyncio.sleep(60))
    assert leftovers_of([front], node) == Leftovers(0, 2, 1)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert leftovers_of([], node) == NO_LEFTOVERS
