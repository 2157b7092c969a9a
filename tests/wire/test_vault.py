"""Calls to the vault: corrupt replies, connections that the vault dropped, and calls that may be repeated."""

from __future__ import annotations

import base64
import time

import anyio
import pytest

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.interface import Outcome
from flintshift.lab.standins import Journal, Vault
from flintshift.wire.vault import VaultLink

pytestmark = pytest.mark.anyio


REPLIES = [  # the vault's reply, the outcome of the call, and how many connections two calls then take
    (b"%b yes 5\r\nreply\r\n", Outcome.OK, 1),
    (b"%b notnow\r\n", Outcome.REJECTED, 1),
    (b"0000 yes 2\r\nno\r\n%b yes 5\r\nreply\r\n", Outcome.OK, 1),  # preceded by a reply with an unknown id
    (b"%b yes 5\r\nreply\r\nff yes 5\r\nreply\r\n", Outcome.OK, 2),  # followed by more data
    (b"%b yes 3\r\nreply\r\n", Outcome.INTERRUPTED, 2),
    (b"%b yes 9\r\nreply\r\n", Outcome.INTERRUPTED, 2),
    (b"%b yes 3000000000\r\n" + b"x" * 70_000, Outcome.INTERRUPTED, 2),
    (b"%b tea\r\n", Outcome.INTERRUPTED, 2),
    (b"x" * 70_000, Outcome.INTERRUPTED, 2),
    (b"\xff\x00", Outcome.INTERRUPTED, 2),
    (b"%b yes -5\r\n", Outcome.INTERRUPTED, 2),
    (b"0000 notnow\r\n" * 99, Outcome.INTERRUPTED, 2),
    (b"", Outcome.TIMED_OUT, 2),
    (None, Outcome.INTERRUPTED, 2),
]


@pytest.mark.parametrize(("reply", "outcome", "connections"), REPLIES)
async def test_a_corrupt_reply_fails_its_own_call_only(reply, outcome, connections):
    vault, reports, counters = Vault(keep_journal=True), Journal(), Counters()
    vault.reply = reply
    await vault.start()
    limits = Limits(vault_reply_timeout_ms=100.0, call_grace_ms=5.0, max_vault_idle_ms=60_000.0)
    link = VaultLink(("127.0.0.1", vault.port), limits, counters, reports.add, lambda: time.time() * 1000)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        assert link.start_call("a1", 50.0 if reply == b"" else 5000.0, b"body", False)
        assert (await reports.wait_for(lambda report: report.request == "a1"))[0].outcome is outcome
        vault.reply = b"%b yes 4\r\nmore\r\n"
        assert link.start_call("b2", 5000.0, b"", False)
        report = (await reports.wait_for(lambda report: report.request == "b2"))[0]
        assert (report.outcome, report.reply) == (Outcome.OK, b"more")
        # A duplicate of a request's first reply must not be taken for the reply to its second call.
        assert link.start_call("b2", 5000.0, b"", False)
        await reports.wait_for(lambda report: report.request == "b2", 2)
        assert counters["vault.links"] == connections + 1
        tasks.cancel_scope.cancel()
    await vault.stop()


async def test_a_dropped_connection_fails_no_call():
    vault, reports, counters = Vault(keep_journal=True), Journal(), Counters()
    await vault.start()
    link = VaultLink(
        ("127.0.0.1", vault.port), Limits(max_vault_idle_ms=60_000.0), counters, reports.add, lambda: time.time() * 1000
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        for count, (request, once) in enumerate([("a1", False), ("b2", False), ("c3", True)], 1):
            vault.links_to_reset = set(vault.links)  # each open connection is reset at its next call
            assert link.start_call(request, 5000.0, b"", once)
            await reports.wait_for(lambda report, request=request: report.request == request)
            assert counters["vault.links"] == count
        tasks.cancel_scope.cancel()
    await vault.stop()
    assert [report.outcome for report in reports.entries] == [Outcome.OK] * 3
    # Only the call that may be made twice is repeated; the one that may not used a new connection at once.
    assert counters["vault.made_again"] == 1


async def test_a_cancelled_call_closes_its_connection_and_idle_connections_are_closed():
    vault, reports = Vault(keep_journal=True), Journal()
    await vault.start()
    link = VaultLink(
        ("127.0.0.1", vault.port), Limits(max_vault_idle_ms=50.0), Counters(), reports.add, lambda: time.time() * 1000
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        assert link.start_call("a1", 5000.0, b"", False)
        await vault.closed_links.wait_for(lambda _: True)  # idle
        vault.reply = b""
        assert link.start_call("b2", 5000.0, b"", False)
        await vault.log.wait_for(lambda entry: entry[1] == "b2")
        link.cancel_call("b2")
        await vault.closed_links.wait_for(lambda _: True, 2)
        tasks.cancel_scope.cancel()
    await vault.stop()
    assert [report.request for report in reports.entries] == ["a1"]


@pytest.mark.parametrize(
    ("reply", "status", "call_count"),
    [
        (b"%b yes 5\r\n\x00\r\n\xffx\r\n", 200, 1),
        (b"%b notnow\r\n", 500, 3),
        (b"%b failed\r\n", 500, 1),
        (None, 500, 1),
    ],
)
async def test_calls_are_transferred_unchanged_and_repeated_only_if_they_certainly_did_not_run(
    harness, reply, status, call_count
):
    harness.vault.reply, harness.pool.plan = reply, {"submit-time": ("blocked", {"b64": "AP8="})}
    assert (await harness.ask("http")).status == status
    calls = [entry for entry in harness.vault.log.entries if entry[0] == "ask"]
    assert len(calls) == call_count and calls[0][2] == b"\x00\xff"
    supplied = [base64.b64decode(entry["b64"]) for entry in harness.pool.log.entries if entry["t"] == "supply"]
    assert supplied == ([b"\x00\r\n\xffx"] if status == 200 else [])


async def test_a_refused_connection_proves_that_the_call_never_ran(harness):
    await harness.vault.stop()
    harness.pool.plan = {"submit-time": ("blocked", {"b64": ""})}
    assert (await harness.ask("http")).status == 500
    assert (await harness.counters())["vault.refused"] == 3
