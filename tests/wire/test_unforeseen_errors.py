"""An unforeseen exception on one link or report is counted and written to standard error, and the node goes on.

Failure: a node exited with 1, and its records did not say why. A possible cause is an exception that the handler of a
link does not list: it ends the task group of the node and all open requests. The event loop raises RuntimeError if a
connection is closed while it is being used, and what else it may raise is not known in full.
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
    """An exception that no handler lists."""


class FailingConnect:
    """Raises an unforeseen error at each use."""

    def __init__(self):
        self.uses = 0

    async def __call__(self, *_):
        self.uses += 1
        raise UnforeseenError


@pytest.fixture
def failing_connect(monkeypatch):
    failing_connect = FailingConnect()
    for module in (names, pool, uwsgi_apps, vault):
        monkeypatch.setattr(module, "connect", failing_connect)
    return failing_connect


class RecordingReporter:
    """Keeps the reports to the decisions."""

    def __init__(self):
        self.reports = []

    async def __call__(self, report):
        self.reports.append(report)


async def wait_until(condition):
    with anyio.fail_after(5):
        while not condition():
            await anyio.sleep(0.001)


async def test_the_link_to_the_worker_pool_is_reconnected(failing_connect):
    counters = Counters()
    link = pool.PoolLink(("127.0.0.1", 1), [], LIMITS, counters, RecordingReporter())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        await wait_until(lambda: failing_connect.uses >= 3)
        tasks.cancel_scope.cancel()
    assert counters["pool.faults"] >= 2


async def test_a_call_to_the_vault_ends_as_one_that_may_have_run(failing_connect):
    counters, reporter = Counters(), RecordingReporter()
    link = vault.VaultLink(("127.0.0.1", 1), LIMITS, counters, reporter, lambda: 0.0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        for request in ("a", "b"):
            link.start_call(request, 100.0, b"", True)
        await wait_until(lambda: len(reporter.reports) == 2)
        tasks.cancel_scope.cancel()
    assert all(
        isinstance(report, CallFinished) and report.outcome is Outcome.INTERRUPTED for report in reporter.reports
    )
    assert counters["vault.faults"] == 2


async def test_a_run_on_an_app_server_ends_as_one_that_may_have_run(failing_connect):
    counters, reporter = Counters(), RecordingReporter()
    browser = SimpleNamespace(servers=lambda class_name: [("127.0.0.1", 1)])
    apps = uwsgi_apps.AppServers(browser, LIMITS, counters, reporter, lambda: 0.0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(apps.run)
        for request in ("a", "b"):
            apps.spawn(Attempt(request, "look", 0.0, 1.0, 1, b""))
        await wait_until(lambda: len(reporter.reports) == 2)
        tasks.cancel_scope.cancel()
    assert all(isinstance(report, RunFinished) and report.outcome is Outcome.INTERRUPTED for report in reporter.reports)
    assert counters["apps.faults"] == 2


async def test_a_report_to_the_name_service_counts_as_not_taken(failing_connect):
    counters = Counters()
    service = names.NameService(("127.0.0.1", 1), "n1", LIMITS, counters)
    assert not await service.report(True)
    assert counters["names.faults"] == counters["names.not_taken"] == 1


async def test_queries_for_app_servers_and_record_updates_are_retried(failing_connect):
    counters = Counters()
    resolver = SimpleNamespace(find=failing_connect, exchange=failing_connect)
    browser = Browser(resolver, "_app._tcp", "example.", LIMITS, counters, random.uniform)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(browser.run)
        await wait_until(lambda: failing_connect.uses >= 3)
        tasks.cancel_scope.cancel()
    record = Record(resolver, "_node._tcp", "example.", "n1", ("127.0.0.1", 1), LIMITS, counters, lambda: 0.0)
    assert not await record.report(True)
    assert counters["dns.faults"] >= 3
