"""Calls to the vault: replies that are spoilt, connections that are forgotten, what may be made again."""

from __future__ import annotations

import base64
import time

import anyio
import pytest

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.interface import Outcome
from flintshift.lab.peers import Journal, Vault
from flintshift.wire.vault import VaultLink

pytestmark = pytest.mark.anyio


REPLIES = [  # how the vault replies, how the call ends, and how many connections two calls then take
    (b"%b yes 5\r\nreply\r\n", Outcome.OK, 1),
    (b"%b notnow\r\n", Outcome.REJECTED, 1),
    (b"0000 yes 2\r\nno\r\n%b yes 5\r\nreply\r\n", Outcome.OK, 1),  # an unknown id ahead
    (b"%b yes 5\r\nreply\r\nff yes 5\r\nreply\r\n", Outcome.OK, 2),  # more than belongs to it
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


@pytest.mark.parametrize(("reply", "outcome", "links"), REPLIES)
async def test_a_spoilt_reply_costs_its_own_call_alone(reply, outcome, links):
    vault, told, counters = Vault(tells=True), Journal(), Counters()
    vault.reply = reply
    await vault.start()
    limits = Limits(vault_reply_timeout_ms=100.0, call_grace_ms=5.0, max_vault_idle_ms=60_000.0)
    link = VaultLink(("127.0.0.1", vault.port), limits, counters, told.add, lambda: time.time() * 1000)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        assert link.start_call("a1", 50.0 if reply == b"" else 5000.0, b"body", False)
        assert (await told.until(lambda over: over.request == "a1"))[0].outcome is outcome
        vault.reply = b"%b yes 4\r\nmore\r\n"
        assert link.start_call("b2", 5000.0, b"", False)
        over = (await told.until(lambda over: over.request == "b2"))[0]
        assert (over.outcome, over.reply) == (Outcome.OK, b"more")
        # A second copy of a request's first reply must not be taken for the reply to its second call.
        assert link.start_call("b2", 5000.0, b"", False)
        await told.until(lambda over: over.request == "b2", 2)
        assert counters["vault.links"] == links + 1
        tasks.cancel_scope.cancel()
    await vault.stop()


async def test_a_connection_that_was_forgotten_costs_no_call():
    vault, told, counters = Vault(tells=True), Journal(), Counters()
    await vault.start()
    link = VaultLink(
        ("127.0.0.1", vault.port), Limits(max_vault_idle_ms=60_000.0), counters, told.add, lambda: time.time() * 1000
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        for count, (request, once) in enumerate([("a1", False), ("b2", False), ("c3", True)], 1):
            vault.forgets = set(vault.links)  # all that is open is reset at its next call
            assert link.start_call(request, 5000.0, b"", once)
            await told.until(lambda over, request=request: over.request == request)
            assert counters["vault.links"] == count
        tasks.cancel_scope.cancel()
    await vault.stop()
    assert [over.outcome for over in told.entries] == [Outcome.OK] * 3
    assert counters["vault.made_again"] == 1  # the read; what must not be made twice took a new one at once


async def test_a_call_given_up_closes_its_connection_and_an_idle_one_is_closed():
    vault, told = Vault(tells=True), Journal()
    await vault.start()
    link = VaultLink(
        ("127.0.0.1", vault.port), Limits(max_vault_idle_ms=50.0), Counters(), told.add, lambda: time.time() * 1000
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        assert link.start_call("a1", 5000.0, b"", False)
        await vault.ended.until(lambda _: True)  # idle
        vault.reply = b""
        assert link.start_call("b2", 5000.0, b"", False)
        await vault.log.until(lambda entry: entry[1] == "b2")
        link.cancel_call("b2")
        await vault.ended.until(lambda _: True, 2)
        tasks.cancel_scope.cancel()
    await vault.stop()
    assert [over.request for over in told.entries] == ["a1"]


@pytest.mark.parametrize(
    ("reply", "status", "asked"),
    [
        (b"%b yes 5\r\n\x00\r\n\xffx\r\n", 200, 1),
        (b"%b notnow\r\n", 500, 3),
        (b"%b failed\r\n", 500, 1),
        (None, 500, 1),
    ],
)
async def test_calls_go_unchanged_and_are_repeated_only_when_proven_not_run(rig, reply, status, asked):
    rig.vault.reply, rig.pool.plan = reply, {"submit-time": ("blocked", {"b64": "AP8="})}
    assert (await rig.ask("http")).status == status
    asks = [entry for entry in rig.vault.log.entries if entry[0] == "ask"]
    assert len(asks) == asked and asks[0][2] == b"\x00\xff"
    supplied = [base64.b64decode(entry["b64"]) for entry in rig.pool.log.entries if entry["t"] == "supply"]
    assert supplied == ([b"\x00\r\n\xffx"] if status == 200 else [])


async def test_a_refused_vault_proves_that_the_call_never_ran(rig):
    await rig.vault.stop()
    rig.pool.plan = {"submit-time": ("blocked", {"b64": ""})}
    assert (await rig.ask("http")).status == 500
    assert (await rig.counters())["vault.refused"] == 3
