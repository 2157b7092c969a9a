"""An error that no list foresees, on one link or report: it is counted and told, and the node goes on.

What happened: a node exited with 1, and the record did not tell by what. One way to that end is an exception that the
guard of a link does not name: it ends the task group of the node, and every request that is open. The event loop raises
RuntimeError where a connection is closed in the moment of its use, and what else it may raise is in no list of ours.
"""

from __future__ import annotations

import random
from types import SimpleNamespace

import anyio
import pytest

from flintshift.core.attempts import Attempt, CallFinished, RunFinished
from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.interface import Outcome
from flintshift.wire import names, pool, uwsgi_apps, vault
from flintshift.wire.dnssd import Browser, Record

pytestmark = pytest.mark.anyio

LIMITS = Limits(backoff_ms=1.0, max_backoff_ms=2.0, browse_retry_delay_ms=1.0, browse_interval_ms=2.0)


class UnforeseenError(Exception):
    """Named in no list."""


class Refusing:
    """Raises it at each use."""

    def __init__(self):
        self.uses = 0

    async def __call__(self, *_):
        self.uses += 1
        raise UnforeseenError


@pytest.fixture
def refusing(monkeypatch):
    refusing = Refusing()
    for module in (names, pool, uwsgi_apps, vault):
        monkeypatch.setattr(module, "connect", refusing)
    return refusing


class Told:
    """What was reported to the decisions."""

    def __init__(self):
        self.reports = []

    async def __call__(self, report):
        self.reports.append(report)


async def until(true):
    with anyio.fail_after(5):
        while not true():
            await anyio.sleep(0.001)


async def test_the_link_to_the_worker_pool_is_made_anew(refusing):
    counters = Counters()
    link = pool.PoolLink(("127.0.0.1", 1), [], LIMITS, counters, Told())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        await until(lambda: refusing.uses >= 3)
        tasks.cancel_scope.cancel()
    assert counters["pool.faults"] >= 2


async def test_a_call_below_ends_as_one_that_may_have_run(refusing):
    counters, told = Counters(), Told()
    link = vault.VaultLink(("127.0.0.1", 1), LIMITS, counters, told, lambda: 0.0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        for request in ("a", "b"):
            link.start_call(request, 100.0, b"", True)
        await until(lambda: len(told.reports) == 2)
        tasks.cancel_scope.cancel()
    assert all(isinstance(report, CallFinished) and report.outcome is Outcome.INTERRUPTED for report in told.reports)
    assert counters["vault.faults"] == 2


async def test_a_run_on_an_app_server_ends_as_one_that_may_have_run(refusing):
    counters, told = Counters(), Told()
    browser = SimpleNamespace(servers=lambda class_name: [("127.0.0.1", 1)])
    apps = uwsgi_apps.AppServers(browser, LIMITS, counters, told, lambda: 0.0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(apps.run)
        for request in ("a", "b"):
            apps.spawn(Attempt(request, "look", 0.0, 1.0, 1, b""))
        await until(lambda: len(told.reports) == 2)
        tasks.cancel_scope.cancel()
    assert all(isinstance(report, RunFinished) and report.outcome is Outcome.INTERRUPTED for report in told.reports)
    assert counters["apps.faults"] == 2


async def test_a_report_to_the_name_service_is_one_that_was_not_taken(refusing):
    counters = Counters()
    service = names.NameService(("127.0.0.1", 1), "n1", LIMITS, counters)
    assert not await service.report(True)
    assert counters["names.faults"] == counters["names.not_taken"] == 1


async def test_a_look_at_the_app_servers_and_a_record_are_tried_again(refusing):
    counters = Counters()
    resolver = SimpleNamespace(find=refusing, exchange=refusing)
    browser = Browser(resolver, "_app._tcp", "example.", LIMITS, counters, random.uniform)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(browser.run)
        await until(lambda: refusing.uses >= 3)
        tasks.cancel_scope.cancel()
    record = Record(resolver, "_node._tcp", "example.", "n1", ("127.0.0.1", 1), LIMITS, counters, lambda: 0.0)
    assert not await record.report(True)
    assert counters["dns.faults"] >= 3
