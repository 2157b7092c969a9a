"""The program started and spoken to over sockets: one test for each rule, on both fronts."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import subprocess
import sys
import time
from collections import Counter
from types import SimpleNamespace

import anyio
import pytest
from standins import BYTES, ROOT, SETTINGS, Caller, http_bytes, job

from flintshift.__main__ import main
from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.core.ports import Posture
from flintshift.interface import Outcome
from flintshift.lab.peers import Journal, Names, Vault
from flintshift.startup.listing import Listing
from flintshift.wire.acceptor import Acceptor, listening
from flintshift.wire.front import Front
from flintshift.wire.http_front import HttpFront
from flintshift.wire.names import NameService
from flintshift.wire.uwsgi_front import UwsgiFront
from flintshift.wire.vault import VaultLink

FRONTS = list(BYTES)
pytestmark = pytest.mark.anyio


def finishing(rig):
    rig.pool.plan = dict.fromkeys(("race-results", "submit-time"), 0)


@pytest.mark.parametrize("front", FRONTS)
async def test_a_request_is_served_with_the_result_of_its_run_and_bodies_stay_as_they_came(rig, front):
    finishing(rig)
    body, fields = bytes(range(256)) * 8, job()
    reply = await rig.ask(front, body=body, fields=fields)
    assert reply.status == 200 and reply.body.endswith(f"result of {fields['X-Job-Id']}\n".encode())
    run = rig.runs()[0]
    assert (base64.b64decode(run["b64"]) if front == "http" else run["body"]) == body


@pytest.mark.parametrize("front", FRONTS)
async def test_an_answer_comes_by_the_due_time_though_the_run_does_not_end(rig, front):
    rig.apps.took_ms = 60_000
    began = time.time()
    reply = await rig.ask(front, "race-results")
    assert reply.status == 500 and time.time() - began <= 1.5 + 0.08
    assert (await rig.ask(front, path="/ping", method="GET")).status == 200


@pytest.mark.parametrize("front", FRONTS)
async def test_what_is_turned_away_is_told_at_once_when_to_come_back_and_never_runs(rig, front):
    rig.apps.took_ms = 60_000  # nothing ends: what is read past the first runs has no hope of its aim
    callers = [await rig.connect(front) for _ in range(40)]
    sent = [job("race-results") for _ in callers]
    for caller, fields in zip(callers, sent, strict=True):
        caller.send(BYTES[front]("race-results", b"", fields))
    began, early = time.time(), {}

    async def answered(caller, fields):
        early[fields["X-Job-Id"]] = await caller.reply(), time.time() - began

    await asyncio.gather(*map(answered, callers, sent))
    refused = {rid: got for rid, got in early.items() if got[0].status == 429}
    assert refused and all(int(reply.headers["x-wait-ms"]) > 0 for reply, _ in refused.values())
    assert min(after for _, after in refused.values()) < 0.75  # long before the due time
    assert not refused.keys() & {run["rid"] for run in rig.runs()}


@pytest.mark.parametrize(("first", "second"), [("http", "uwsgi"), ("uwsgi", "http"), ("http", "http")])
async def test_a_repeated_submit_time_runs_once_whichever_protocol_brings_it(rig, first, second):
    finishing(rig)
    original = await rig.ask(first, fields=job(**{"X-Unique": "k1"}))
    again = await rig.ask(second, fields=job(**{"X-Unique": "k1", "X-Again": "1"}))
    assert original.status == again.status == 200 and original.body == again.body
    assert len(rig.runs()) == 1
    assert (await rig.ask(second, fields=job(**{"X-Unique": "k2"}))).body != original.body
    assert len(rig.runs()) == 2


async def test_a_repeat_over_uwsgi_waits_for_the_run_its_first_try_began_over_http(rig):
    first, second = await rig.connect("http"), await rig.connect("uwsgi")
    fields = job(**{"X-Unique": "k1"})
    first.send(BYTES["http"]("submit-time", b"1", fields))
    await rig.pool.log.until(lambda entry: entry["t"] == "spawn")
    first.writer.transport.abort()  # its caller gives up: the write goes on
    second.send(BYTES["uwsgi"]("submit-time", b"1", job(**{"X-Unique": "k1"})))
    while (await rig.counters())["repeats"] < 1:
        pass
    rig.pool.finish(fields["X-Job-Id"])
    assert (await second.reply()).body == f"result of {fields['X-Job-Id']}\n".encode()
    assert len(rig.runs()) == 1


async def test_a_failed_write_is_not_run_again_nor_refused(rig):
    rig.pool.plan = {"submit-time": ("finished", {"status": "fault"})}
    for front in FRONTS:
        assert (await rig.ask(front, fields=job(**{"X-Unique": "k1"}))).status == 500
    assert len(rig.runs()) == 1


@pytest.mark.parametrize("half", FRONTS)
async def test_a_drain_answers_all_that_was_read_and_runs_nothing_past_the_grace(rig, half):
    running, cut, late = await rig.connect("http"), await rig.connect(half), await rig.connect(half)
    fields = job("race-results")
    running.send(BYTES["http"]("race-results", b"", fields))
    await rig.pool.log.until(lambda entry: entry["t"] == "spawn")
    cut.send(BYTES[half]("submit-time", b"12:01.5", job())[:-3])  # and never more of it
    past = {"X-Door-Time": str(int(time.time() * 1000) + 2000)}
    whole = BYTES[half]("submit-time", b"12:01.5", job(**past))
    late.send(whole[:40])
    await rig.leave()
    late.send(whole[40:])  # half read at the notice, and by its door time past the grace
    refused = await late.reply()
    assert refused.status == 503 and len(rig.runs()) == 1
    rig.pool.finish(fields["X-Job-Id"])
    assert (await running.reply()).status == 200
    assert (await cut.reply()).status == 503 and await cut.ended()
    assert await asyncio.wait_for(rig.process.wait(), 10) == 0
    assert json.loads((await rig.process.stderr.read()).splitlines()[-1])["counters"]["answered.served"] == 1
    assert len(rig.runs()) == 1
    records = [count for word, count in rig.dns.log.entries if word == "update"]
    assert records[0] == 8 and records[-1] == 4  # the app server's own four, and the node's until it left


async def test_runs_outlive_the_link_to_the_pool_and_notices_are_taken_once(rig):
    finishing(rig)
    await rig.ask("http")
    rig.pool.plan = {}
    fields, caller = job(), await rig.connect("http")
    caller.send(BYTES["http"]("submit-time", b"1", fields))
    await rig.pool.log.until(lambda entry: entry["t"] == "spawn", 2)
    rig.pool.cut()
    rig.pool.finish(fields["X-Job-Id"])  # told to nobody: it comes after the next bind
    rig.pool.notices.append({**rig.pool.notices[0], "no": 1})  # and one that was told before
    assert (await caller.reply()).body == f"result of {fields['X-Job-Id']}\n".encode()
    binds = await rig.pool.log.until(lambda entry: entry["t"] == "bind", 2)
    assert [bind["no"] for bind in binds] == [0, 1] and len(rig.runs()) == 2


async def test_what_may_never_have_reached_the_pool_is_sent_again_where_that_is_safe(rig):
    # A spawn does nothing where it runs and is `late` where it ran, so both classes have theirs again.
    tries = {"race-results": job("race-results"), "submit-time": job()}
    callers = [await rig.connect("http") for _ in tries]
    for caller, (class_name, fields) in zip(callers, tries.items(), strict=True):
        caller.send(BYTES["http"](class_name, b"", fields))
    await rig.pool.log.until(lambda entry: entry["t"] == "spawn", 2)
    rig.pool.cut()
    again = await rig.pool.log.until(lambda entry: entry["t"] == "spawn", 4)
    assert Counter(run["rid"] for run in again) == {fields["X-Job-Id"]: 2 for fields in tries.values()}
    # A pass names its call; a reply might meet the run's next one. So what may go on without goes on without.
    rig.pool.deaf = True
    for fields in tries.values():
        rig.pool.tell(fields["X-Job-Id"], "blocked", {"b64": ""})
    await rig.pool.log.until(lambda entry: entry["t"] == "supply", 2)
    rig.pool.cut()
    await rig.pool.log.until(lambda entry: entry["t"] == "pass")
    rig.pool.deaf = False
    rig.pool.cut()  # and the pass itself may be lost
    await rig.pool.log.until(lambda entry: entry["t"] == "pass", 2)
    assert (await callers[0].reply()).status == 200
    late = {"status": "late", "time_ms": 1.0}
    rig.pool.tell(tries["race-results"]["X-Job-Id"], "finished", late)  # to a spawn that crossed the end
    assert (await callers[1].reply()).status == 500
    sent = [entry for entry in rig.pool.log.entries if entry["t"] in ("supply", "pass")]
    assert Counter(entry["t"] for entry in sent) == {"supply": 2, "pass": 2}
    assert {entry["no"] for entry in sent if entry["t"] == "pass"} == {1}


async def test_a_report_without_an_answer_counts_and_does_not_delay_the_next():
    names, counters, limits = Names(tells=True), Counters(), Limits(report_wait_ms=200.0, report_every_ms=200.0)
    names.mute = True
    await names.start()
    service, began = NameService(("127.0.0.1", names.port), "n3", limits, counters), time.time()
    listing = Listing([service], limits, 1, random.Random(1).uniform)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listing.run)
        listing.say(True)
        while counters["names.unanswered"] < 3:
            await names.log.until(lambda _: True, counters["names.unanswered"] + 1)
        tasks.cancel_scope.cancel()
    await names.stop()
    assert time.time() - began < 0.95 and not counters["names.not_taken"]  # 1.0 s with a wait after each
    assert not await service.report(True) and counters["names.not_taken"] == 1


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
    limits = Limits(vault_rest_ms=100.0, call_grace_ms=5.0, vault_fresh_ms=60_000.0)
    link = VaultLink(("127.0.0.1", vault.port), limits, counters, told.add, lambda: time.time() * 1000)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        assert link.ask("a1", 50.0 if reply == b"" else 5000.0, b"body", False)
        assert (await told.until(lambda over: over.request == "a1"))[0].outcome is outcome
        vault.reply = b"%b yes 4\r\nmore\r\n"
        assert link.ask("b2", 5000.0, b"", False)
        over = (await told.until(lambda over: over.request == "b2"))[0]
        assert (over.outcome, over.reply) == (Outcome.OK, b"more")
        # A second copy of a request's first reply must not be taken for the reply to its second call.
        assert link.ask("b2", 5000.0, b"", False)
        await told.until(lambda over: over.request == "b2", 2)
        assert counters["vault.links"] == links + 1
        tasks.cancel_scope.cancel()
    await vault.stop()


async def test_a_connection_that_was_forgotten_costs_no_call():
    vault, told, counters = Vault(tells=True), Journal(), Counters()
    await vault.start()
    link = VaultLink(
        ("127.0.0.1", vault.port), Limits(vault_fresh_ms=60_000.0), counters, told.add, lambda: time.time() * 1000
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        for count, (request, once) in enumerate([("a1", False), ("b2", False), ("c3", True)], 1):
            vault.forgets = set(vault.links)  # all that is open is reset at its next call
            assert link.ask(request, 5000.0, b"", once)
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
        ("127.0.0.1", vault.port), Limits(vault_fresh_ms=50.0), Counters(), told.add, lambda: time.time() * 1000
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        assert link.ask("a1", 5000.0, b"", False)
        await vault.ended.until(lambda _: True)  # idle
        vault.reply = b""
        assert link.ask("b2", 5000.0, b"", False)
        await vault.log.until(lambda entry: entry[1] == "b2")
        link.give_up("b2")
        await vault.ended.until(lambda _: True, 2)
        tasks.cancel_scope.cancel()
    await vault.stop()
    assert [over.request for over in told.entries] == ["a1"]


async def test_a_new_configuration_under_load_moves_the_links_and_runs_go_on(rig):
    before, after = job("race-results"), job("race-results")
    callers = [await rig.connect("http"), await rig.connect("http")]
    callers[0].send(BYTES["http"]("race-results", b"", before))
    await rig.pool.log.until(lambda entry: entry["t"] == "spawn")
    rig.config.write_text("{")
    rig.process.send_signal(signal.SIGHUP)
    assert b"configuration stays" in await asyncio.wait_for(rig.process.stderr.readline(), 10)
    for peer in (rig.pool, rig.vault, rig.names):
        await peer.move()
    rig.configure()
    old = list(rig.pool.links)
    rig.process.send_signal(signal.SIGHUP)
    binds = await rig.pool.log.until(lambda entry: entry["t"] == "bind", 2)
    callers[1].send(BYTES["http"]("race-results", b"", after))
    await rig.pool.log.until(lambda entry: entry["t"] == "spawn", 2)
    rig.pool.tell(before["X-Job-Id"], "blocked", {"b64": ""})  # told on both links, taken once
    await rig.vault.log.until(lambda entry: entry[0] == "ask")
    rig.pool.finish(after["X-Job-Id"])
    for writer in old:
        writer.transport.abort()
    for caller, fields in zip(callers, (before, after), strict=True):
        assert (await caller.reply()).body == f"result of {fields['X-Job-Id']}\n".encode()
    assert [bind["no"] for bind in binds] == [0, 0]
    assert len({run["rid"] for run in rig.runs()}) == 2
    assert len([entry for entry in rig.vault.log.entries if entry[0] == "ask"]) == 1
    assert (await rig.ask("http", path="/ping", method="GET")).status == 200
    rig.pool.plan = {}
    (await rig.connect("http")).send(BYTES["http"]("race-results", b"", job("race-results")))
    await rig.leave()
    rig.process.send_signal(signal.SIGHUP)  # in a drain too
    assert await asyncio.wait_for(rig.process.wait(), 10) == 0


@pytest.mark.parametrize("front", FRONTS)
@pytest.mark.parametrize("other", [{"body": b"12:09.9"}, {"fields": {"X-Team": "sur-pacers"}}])
async def test_the_key_of_another_request_gets_no_result_of_it(rig, front, other):
    finishing(rig)
    assert (await rig.ask("http", fields=job(**{"X-Unique": "k1"}))).status == 200
    fields = job(**{"X-Unique": "k1", **other.get("fields", {})})
    assert (await rig.ask(front, body=other.get("body", b"12:01.5"), fields=fields)).status == 409
    assert len(rig.runs()) == 1


async def test_a_connection_that_cannot_be_accepted_does_not_end_the_front():
    class Listener:
        tries, closed, again = 0, False, anyio.Event()

        async def serve(self, handler, tasks):
            self.tries += 1
            if self.tries == 1:
                raise OSError("too many open files")
            self.again.set()
            await anyio.sleep_forever()

        def take_queued(self, handler, tasks):
            pass

        async def aclose(self):
            self.closed = True

    listener, counters = Listener(), Counters()
    front = Front(None, None, Limits(), counters, time.time, 1, None)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(front.serve, listener, tasks)
        await listener.again.wait()
        front.finish()
    assert listener.closed and counters["front.accept_failed"] == 1


class Desk:
    """A front alone, with nothing behind it but health checks."""

    def __init__(self, name="http", most=3, **limits):
        self.limits, self.counters = Limits(**limits), Counters()
        self.front = {"http": HttpFront, "uwsgi": UwsgiFront}[name](
            None,
            SimpleNamespace(posture=Posture(up=True)),
            self.limits,
            self.counters,
            lambda: time.time() * 1000,
            most,
            None,
        )
        self.ping = BYTES[name]("", b"", {}, method="GET", path="/ping")

    async def __aenter__(self):
        listener = Acceptor(listening(("127.0.0.1", 0), 64))
        self.port = listener.raw.getsockname()[1]
        self.tasks = await anyio.create_task_group().__aenter__()
        self.tasks.start_soon(self.front.serve, listener, self.tasks)
        return self

    async def __aexit__(self, *_):
        self.tasks.cancel_scope.cancel()
        await self.tasks.__aexit__(None, None, None)

    async def open(self, data=b""):
        caller = Caller(*await asyncio.open_connection("127.0.0.1", self.port))
        caller.send(data)
        if data == self.ping:
            assert (await caller.reply()).status == 200
        return caller


async def test_a_full_table_closes_the_idlest_for_a_newcomer_and_first_what_never_spoke():
    async with Desk(silent_ms=0.0, rested_ms=0.0, read_ms=60_000.0) as desk:
        kept, idler = await desk.open(desk.ping), await desk.open(desk.ping)
        silent = await desk.open()
        new = await desk.open(desk.ping)
        assert await silent.ended() and new
        kept.send(desk.ping)
        assert (await kept.reply()).status == 200
        busy = await desk.open(desk.ping[:9])  # half said: it stays, and so does what it displaces last
        assert await idler.ended()
        kept.send(desk.ping)
        assert (await kept.reply()).status == 200
        busy.send(desk.ping[9:])
        assert (await busy.reply()).status == 200
        assert desk.counters["http.connections_displaced"] == 2
    async with Desk(read_ms=60_000.0) as desk:  # none is idle for long enough: the newcomer goes
        kept = [await desk.open(desk.ping) for _ in range(3)]
        assert await (await desk.open()).ended() and desk.counters["http.connections_refused"] == 1
    async with Desk(most=16, silent_ms=0.0, rested_ms=0.0) as desk:  # too many close still
        kept, desk.front.most = [await desk.open(desk.ping) for _ in range(16)], 14
        assert await (await desk.open()).ended() and not desk.counters["http.connections_displaced"]


@pytest.mark.parametrize("front", FRONTS)
async def test_what_is_silent_half_said_or_dribbled_is_closed_in_time_but_not_what_is_kept_alive(front):
    async with Desk(front, read_ms=150.0) as desk:
        if front == "http":
            kept = await desk.open(desk.ping)
        assert await (await desk.open()).ended()
        half = await desk.open(desk.ping[:6])
        for place in range(6, 12):  # each piece comes in time, the whole does not
            await asyncio.sleep(0.04)
            half.send(desk.ping[place : place + 1])
        assert (await half.reply()).status == 408 and await half.ended()
        if front == "http":
            kept.send(desk.ping)
            assert (await kept.reply()).status == 200


@pytest.mark.parametrize("front", FRONTS)
async def test_a_caller_that_takes_no_answer_does_not_hold_its_connection(front):
    async with Desk(front, write_ms=50.0, sweep_ms=20.0, linger_ms=1.0) as desk:

        class Stuck:  # a stream whose peer reads nothing
            async def receive(self, most):
                return desk.ping

            async def send(self, data):
                await anyio.sleep_forever()

            async def __aenter__(self):
                return self

            async def __aexit__(self, *_):
                pass

        desk.tasks.start_soon(desk.front.sweep)
        with anyio.fail_after(10):
            await desk.front._accepted(Stuck())
        assert desk.counters[f"{front}.answers_not_taken"] == 1 and not desk.front.connections


JUNK = [
    b'{"t":"finished","no":1,"rid":"x","status":"odd"}',
    b"[" * 9000,
    b"7",
    b"\xff",
    b'{"t":"tea"}',
    b'{"t":"blocked","rid":"x","b64":""}',
    b"x" * 70_000,
]


async def test_junk_from_peers_is_counted_and_the_link_made_anew(rig):
    for count, junk in enumerate(JUNK, 2):
        for writer in rig.pool.links:
            writer.write(junk + b"\n")
        await rig.pool.log.until(lambda entry: entry["t"] == "bind", count)
    finishing(rig)
    rig.vault.reply = b"%b what\r\n"
    rig.pool.plan["race-results"] = ("blocked", {"b64": "eA=="})
    assert (await rig.ask("http", "race-results")).status == 200  # the call is left out
    counters = await rig.counters()
    assert counters["pool.links_lost"] == len(JUNK)
    assert (counters["vault.junk"], counters["skipped"]) == (2, 1)  # called twice


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


async def test_a_run_no_app_server_takes_is_refused_and_its_key_is_free(rig):
    await rig.apps.stop()
    finishing(rig)
    assert (await rig.ask("uwsgi", fields=job(**{"X-Unique": "k1"}))).status == 429
    assert (await rig.ask("http", fields=job(**{"X-Unique": "k1"}))).status == 200


BAD = [  # class, body, changed fields, the status, what the answer names
    ("nobody", b"", {}, 404, "class"),
    ("submit-time", b"x" * 2049, {}, 413, "body"),
    ("submit-time", b"", {"X-Job-Id": None}, 400, "X-Job-Id"),
    ("submit-time", b"", {"X-Job-Id": "short"}, 400, "X-Job-Id"),
    ("submit-time", b"", {"X-Door-Time": None}, 400, "X-Door-Time"),
    ("submit-time", b"", {"X-Door-Time": "9999999999999"}, 400, "X-Door-Time"),
    ("submit-time", b"", {"X-Sender": "-1"}, 400, "X-Sender"),
    ("submit-time", b"", {"X-Team": "nobody"}, 400, "X-Team"),
    ("submit-time", b"", {"X-Again": "maybe"}, 400, "X-Again"),
    ("submit-time", b"", {"X-Ram-Kb": "0"}, 400, "X-Ram-Kb"),
    ("submit-time", b"", {"X-Ram-Kb": "nan"}, 400, "X-Ram-Kb"),
    ("submit-time", b"", {"X-Precedence": "1"}, 400, "X-Precedence"),
    ("submit-time", b"", {"X-Unique": None}, 400, "X-Unique"),
    ("race-results", b"", {"X-Item": "zz"}, 400, "X-Item"),
]
BROKEN = {
    "http": [
        (b"what is this\r\n\r\n", 400),
        (b"POST /call/x HTTP/1.1\r\nHost: a\r\nContent-Length: z\r\n\r\n", 400),
        (b"POST /call/submit-time HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf", 400),
        (b"POST /call/submit-time HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (
            b"POST /call/race-results HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + http_bytes("race-results", b"", job("race-results")),
            400,
        ),
        (b"GET / HTTP/1.1\r\nX: " + b"x" * 20_000, 400),
    ],
    "uwsgi": [
        (b"\x05\x00\x00\x00", 400),
        (b"\x00\xff\xff\x00", 413),
        (b"\x00\x02\x00\x00\x09\x00", 400),
        (b"\x00\x09", 400),
        (b"\x00\x03\x00\x00\x01\x00a", 400),
    ],
}


@pytest.mark.parametrize("front", FRONTS)
async def test_bad_input_is_answered_plainly_runs_nothing_and_leaves_the_node_up(rig, front):
    finishing(rig)
    for class_name, body, changes, status, named in BAD:
        reply = await rig.ask(front, class_name, body, job(class_name, **changes))
        assert reply.status == status and named in json.loads(reply.body)["error"], (changes, reply)
    for data, status in BROKEN[front]:
        caller = await rig.connect(front)
        caller.send(data)
        caller.writer.write_eof()
        assert (await caller.reply()).status == status, data
        assert await caller.ended()
    assert not rig.runs() and (await rig.ask(front)).status == 200


@pytest.mark.parametrize(
    ("config", "text"),
    [
        (None, "LB_CONFIG"),
        ("{", "Expecting"),
        ('{"settings": {}, "stop_ms": 1}', "name is missing"),
        (json.dumps({"settings": SETTINGS, "stop_ms": 1, "name": "n"}), "listen is missing"),
        (json.dumps({"settings": SETTINGS, "stop_ms": 1, "name": "n", "listen": "nowhere"}), "listen: 'nowhere' is no"),
    ],
)
def test_a_bad_configuration_is_one_plain_line_and_no_start(tmp_path, config, text):
    path = tmp_path / "config.json"
    path.write_text(config or "")
    env = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}
    ended = subprocess.run(
        [sys.executable, "-m", "flintshift"],
        cwd=ROOT,
        check=False,
        text=True,
        env=env | ({"LB_CONFIG": str(path)} if config else {}),
        capture_output=True,
    )
    assert ended.returncode == 2 and text in ended.stderr and ended.stderr.count("\n") == 1


async def test_both_protocols_at_150_percent_load_lose_no_answer_and_write_nothing_twice(rig):
    rig.apps.took_ms, rig.pool.plan = 30, {"race-results": 30, "submit-time": 30}
    each_s, count = 0.03 / 2 / 1.5, 150  # two cores, 30 ms a run: half as much again as they can do
    outcomes = []

    async def request(turn):
        first, other = FRONTS if turn % 2 else FRONTS[::-1]
        class_name = "submit-time" if turn % 3 else "race-results"
        key = {"X-Unique": f"w{turn}"} if class_name == "submit-time" else {}
        for front, again in ((first, {}), (other, {"X-Again": "1"})):
            fields = job(class_name, **key, **again)
            outcomes.append((key.get("X-Unique"), fields["X-Job-Id"], await rig.ask(front, class_name, fields=fields)))

    async with asyncio.TaskGroup() as tasks:
        for turn in range(count):
            tasks.create_task(request(turn))
            await asyncio.sleep(each_s)
    ran = {run["rid"] for run in rig.runs()}
    assert len(outcomes) == 2 * count and len(ran) == len(rig.runs())
    assert {reply.status for _, _, reply in outcomes} >= {200, 429}
    for key in {key for key, _, _ in outcomes if key}:
        tries = [(rid, reply) for known, rid, reply in outcomes if known == key]
        assert sum(rid in ran for rid, _ in tries) <= 1
        assert len({reply.body for _, reply in tries if reply.status == 200}) <= 1
    assert not any(rid in ran for _, rid, reply in outcomes if reply.status in (429, 503))


def test_the_program_runs_on_uvloop_and_no_signal_can_end_its_start(monkeypatch):
    asked, before = {}, signal.pthread_sigmask(signal.SIG_BLOCK, ())
    monkeypatch.setattr(
        anyio, "run", lambda *_, **more: asked.update(more, held=signal.pthread_sigmask(signal.SIG_BLOCK, ()))
    )
    monkeypatch.setattr(sys, "argv", ["flintshift"])
    try:
        assert main() == 0
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
    assert asked["backend_options"] == {"use_uvloop": True}
    assert asked["held"] >= {signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1}
