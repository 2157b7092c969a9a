"""Reports to the name service: without an answer, and with a name that must be escaped."""

from __future__ import annotations

import random
import time

import anyio
import pytest

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.lab.standins import Names
from flintshift.startup.registration import Registration
from flintshift.wire.names import NameService

pytestmark = pytest.mark.anyio


async def test_a_report_without_an_answer_counts_and_does_not_delay_the_next():
    names, counters, limits = (
        Names(keep_journal=True),
        Counters(),
        Limits(report_timeout_ms=200.0, report_interval_ms=200.0),
    )
    names.unresponsive = True
    await names.start()
    service, started_s = NameService(("127.0.0.1", names.port), "n3", limits, counters), time.time()
    registration = Registration([service], limits, 1, random.Random(1).uniform)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(registration.run)
        registration.announce(True)
        while counters["names.unanswered"] < 3:
            await names.log.wait_for(lambda _: True, counters["names.unanswered"] + 1)
        tasks.cancel_scope.cancel()
    await names.stop()
    # It would take 1.0 s if each report were followed by a wait.
    assert time.time() - started_s < 0.95 and not counters["names.not_taken"]
    assert not await service.report(True) and counters["names.not_taken"] == 1


async def test_a_name_that_is_not_valid_in_a_target_is_escaped():
    names, counters = Names(keep_journal=True), Counters()
    await names.start()
    assert await NameService(("127.0.0.1", names.port), "desk 3/a", Limits(), counters).report(True)
    assert names.log.entries[-1] == ("/ns/hosts/desk%203/a", "yes")
    await names.stop()
