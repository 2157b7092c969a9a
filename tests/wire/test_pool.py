"""The link to the worker pool: commands that a broken or silent link may have lost, and malformed notices."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import math

import anyio
import pytest

from flintshift.core.attempts import Attempt, CallRequested, ReplyInDoubt, RunFinished, WorkersUp
from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.interface import Outcome
from flintshift.lab.standins import Journal, Pool
from flintshift.wire import pool_codec as codec
from flintshift.wire.pool import PoolLink
from flintshift.wire.pool_recovery import MalformedNotices, SilenceDetector, UnconfirmedCommands

SPAWN = codec.encode_spawn(Attempt("s1", "look", 0.0, 1.0, 1, b"body"))
PASS = codec.encode_pass("p1", 7)
SUPPLY = codec.encode_supply("y1", 8, b"reply")
IN_DOUBT_MS = 100.0


def unconfirmed_with(*commands, last_received_ms=0.0):
    unconfirmed = UnconfirmedCommands(IN_DOUBT_MS, 2000)
    for command in commands:
        unconfirmed.on_queued(command, last_received_ms)
    return unconfirmed


# The command, when it was written (None: it is still queued), when the link last received something, and whether the
# command is in doubt.
BREAKS = [
    (SPAWN, 1000.0, 5000.0, True),  # no notice about it came, however long ago it was written
    (SPAWN, None, 5000.0, False),  # it leaves on the next link: sent twice, it might meet the end of its own run
    (PASS, 4950.0, 5000.0, True),
    (PASS, 4850.0, 5000.0, False),  # the link received something so long after it that it has arrived
    (PASS, None, 5000.0, False),
    (SUPPLY, 4950.0, 5000.0, True),
    (SUPPLY, None, 5000.0, False),
    (SUPPLY, 9000.0, 5000.0, True),  # written on a link that had fallen silent long before
]


@pytest.mark.parametrize(("command", "written_ms", "last_received_ms", "in_doubt"), BREAKS)
def test_commands_in_doubt_after_a_broken_link(command, written_ms, last_received_ms, in_doubt):
    unconfirmed = unconfirmed_with(command)
    if written_ms is not None:
        unconfirmed.on_written(command, written_ms)
    unconfirmed.on_link_lost(last_received_ms)
    assert unconfirmed.in_doubt() == [command] * in_doubt
    unconfirmed.on_response(command.request)
    assert unconfirmed.in_doubt() == [] and not unconfirmed.is_unconfirmed(command)


def test_a_second_break_before_the_recovery_keeps_the_commands_in_doubt_of_the_first():
    unconfirmed = unconfirmed_with(PASS)
    unconfirmed.on_written(PASS, 1000.0)
    unconfirmed.on_link_lost(1010.0)
    assert unconfirmed.in_doubt() == [PASS]
    for count in range(8):  # other commands are queued meanwhile
        unconfirmed.on_queued(codec.encode_pass(f"q{count}", count), 3000.0)
    unconfirmed.on_link_lost(3000.0)
    assert PASS in unconfirmed.in_doubt() and unconfirmed.is_unconfirmed(PASS)
    unconfirmed.finish_recovery()
    unconfirmed.on_link_lost(3000.0)
    assert PASS not in unconfirmed.in_doubt()


def test_the_number_of_tracked_commands_that_are_never_confirmed_is_bounded():
    unconfirmed = UnconfirmedCommands(IN_DOUBT_MS, 10)
    for count in range(50):
        unconfirmed.on_queued(codec.encode_spawn(Attempt(f"s{count}", "look", 0.0, 1.0, 1, b"")), 0.0)
        unconfirmed.on_queued(codec.encode_pass(f"p{count}", count), 0.0)
    assert list(unconfirmed.spawns) == [f"s{count}" for count in range(40, 50)] and len(unconfirmed.resumed) == 10


def test_commands_that_have_arrived_are_discarded_as_others_are_queued():
    unconfirmed = UnconfirmedCommands(IN_DOUBT_MS, 2000)
    for count in range(1000):
        command = codec.encode_pass(f"r{count}", count)
        unconfirmed.on_queued(command, last_received_ms=count * 10.0)
        unconfirmed.on_written(command, count * 10.0)
    assert len(unconfirmed.resumed) < 20


CHECKS = [  # what happens, and at which check the link counts as silent
    ([], None),
    (["query"], 3),
    (["query", "check", "receive"], None),
    (["check", "check", "check", "query"], 6),  # checks without a pending reply do not count
    (["query", "check", "check", "receive", "query"], 5),
]


@pytest.mark.parametrize(("steps", "silent_at"), CHECKS)
def test_a_link_is_silent_after_several_checks_in_a_row_with_a_pending_reply(steps, silent_at):
    detector, checks = SilenceDetector(3), 0
    for step in [*steps, *["check"] * 9]:
        if step == "check":
            checks += 1
            if detector.check():
                break
        else:
            {"query": detector.on_query_sent, "receive": detector.on_received}[step]()
    else:
        checks = None
    assert checks == silent_at


@pytest.mark.parametrize(
    ("numbers", "skipped"), [([5, 5], [False, True]), ([5, 6, 5], [False] * 3), ([0, 0], [False] * 2)]
)
def test_a_notice_is_skipped_if_it_was_malformed_on_the_previous_link_too(numbers, skipped):
    malformed = MalformedNotices()
    assert [malformed.record(number) for number in numbers] == skipped


NOTICES = [
    ({"t": "finished", "no": 3, "rid": "a", "status": "fine", "time_ms": 4, "b64": "eA=="}, (Outcome.OK, 4.0, b"x")),
    ({"t": "finished", "no": 3, "rid": "a", "status": "fault", "time_ms": math.inf}, (Outcome.ERROR, 0.0, b"")),
    ({"t": "finished", "no": 3, "rid": "a", "status": "late", "time_ms": math.nan}, (Outcome.MOOT, 0.0, b"")),
    ({"t": "finished", "no": 3, "rid": "a", "status": "fine", "time_ms": -1}, (Outcome.OK, 0.0, b"")),
    ({"t": "finished", "no": 3, "rid": "a", "status": "fine", "time_ms": "soon"}, (Outcome.OK, 0.0, b"")),
]


@pytest.mark.parametrize(("message", "expected"), NOTICES)
def test_an_invalid_duration_is_decoded_as_zero(message, expected):
    notice = codec.decode_notice(json.dumps(message).encode(), 4096)
    assert (notice.outcome, notice.took_ms, notice.result) == expected


MALFORMED_LINES = [
    (b"[]", 0), (b"7", 0), (b"\xff", 0), (b"[" * 9000, 0), (b'{"t":"tea"}', 0), (b'{"t":[]}', 0),
    (b'{"t":"finished","no":1e999,"rid":"a","status":"fine"}', 0),
    (b'{"t":"finished","no":0,"rid":"a","status":"fine"}', 0),
    (b'{"t":"finished","no":-4,"rid":"a","status":"fine"}', 0),
    (b'{"t":"finished","no":' + b"9" * 30 + b',"rid":"a","status":"fine"}', 0),
    (b'{"t":"finished","no":5,"rid":"a","status":"odd"}', 5),
    (b'{"t":"finished","no":5,"rid":"a","status":[]}', 5),
    (b'{"t":"finished","no":5,"rid":"a","status":"fine","b64":"%%"}', 5),
    (b'{"t":"finished","no":5,"rid":"a","status":"fine","b64":"' + b"eHh4" * 2000 + b'"}', 5),
    (b'{"t":"blocked","no":6}', 6),
]  # fmt: skip


@pytest.mark.parametrize(("line", "number"), MALFORMED_LINES)
def test_an_invalid_notice_is_rejected_with_its_number_if_it_has_one(line, number):
    with pytest.raises(codec.NoticeError) as found:
        codec.decode_notice(line, 4096)
    assert found.value.number == number


@pytest.mark.parametrize("values", [None, "x", [None], [1, math.nan], [math.inf], [10**400], [["a"]]])
def test_invalid_gauges_are_decoded_as_none_or_rejected(values):
    line = json.dumps({"t": "polled", "mark": "m", "v": values}).encode()
    try:
        assert codec.decode_notice(line, 4096) == codec.Polled("m", None)
    except codec.NoticeError:
        assert values == [10**400]


@contextlib.asynccontextmanager
async def linked(**limits):
    """A link to a stand-in worker pool, and the reports of the link."""
    pool, reports, counters = Pool(keep_journal=True, auto_finish=False), Journal(), Counters()
    await pool.start()
    link = PoolLink(("127.0.0.1", pool.port), ["busy"], Limits(**limits), counters, reports.add, lambda low, high: low)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        await reports.wait_for(lambda report: isinstance(report, WorkersUp))
        yield pool, link, reports, counters
        tasks.cancel_scope.cancel()
    await pool.stop()


def attempt(request):
    return Attempt(request, "look", 0.0, 1.0, 1, b"body")


def spawn_entries(pool, request):
    return [entry for entry in pool.log.entries if entry["t"] == "spawn" and entry["rid"] == request]


@pytest.mark.anyio
async def test_a_queued_spawn_is_sent_once_on_the_next_link_and_a_written_one_is_sent_again():
    for _ in range(50):
        async with linked() as (pool, link, reports, _):
            assert link.spawn(attempt("left"))
            await pool.log.wait_for(lambda entry: entry.get("rid") == "left")
            pool.abort_links()
            while link.bound:
                await asyncio.sleep(0)
            assert link.spawn(attempt("waits"))  # between two links
            await pool.log.wait_for(lambda entry: entry.get("rid") == "left", 2)
            pool.finish("waits")
            await reports.wait_for(lambda report: isinstance(report, RunFinished))
            assert len(spawn_entries(pool, "waits")) == 1 and len(spawn_entries(pool, "left")) == 2


@pytest.mark.anyio
async def test_a_silent_link_is_replaced_and_the_commands_written_on_it_are_recovered():
    async with linked(pool_check_interval_ms=20.0, max_silent_pool_checks=5, pool_in_doubt_ms=20.0) as (
        pool,
        link,
        reports,
        counters,
    ):
        old_links, pool.drop_replies = set(pool.links), True
        assert link.spawn(attempt("run"))
        await pool.log.wait_for(lambda entry: entry.get("rid") == "run")
        pool.send_notice("run", "blocked", {"b64": ""})
        call = (await reports.wait_for(lambda report: isinstance(report, CallRequested)))[0]
        send = pool.send
        pool.send = lambda writer, message: None if writer in old_links else send(writer, message)
        assert link.supply("run", call.notice, b"reply") and link.spawn(attempt("next"))
        with anyio.move_on_after(0.01):
            await link.poll()
        await reports.wait_for(lambda report: isinstance(report, ReplyInDoubt))
        await pool.log.wait_for(lambda entry: entry.get("rid") == "next", 2)
        assert counters["pool.silent"] == 1


@pytest.mark.anyio
async def test_an_idle_link_without_a_pending_reply_is_kept():
    async with linked(pool_check_interval_ms=5.0, max_silent_pool_checks=3) as (_, link, _, counters):
        assert await link.poll() is not None
        assert link.spawn(attempt("long"))
        await asyncio.sleep(0.2)
        assert link.bound and not counters["pool.silent"] and not counters["pool.links_lost"]


@pytest.mark.anyio
async def test_a_link_whose_bind_is_never_answered_is_replaced():
    async with linked(pool_bind_timeout_ms=50.0) as (pool, _, reports, _):
        send = pool.send
        pool.send = lambda writer, message: None
        pool.abort_links()
        await pool.log.wait_for(lambda entry: entry["t"] == "bind", 4)
        pool.send = send
        await reports.wait_for(lambda report: isinstance(report, WorkersUp), 2)


@pytest.mark.anyio
async def test_a_notice_that_is_malformed_each_time_it_is_sent_does_not_block_the_link():
    async with linked() as (pool, link, reports, counters):
        assert link.spawn(attempt("run"))
        await pool.log.wait_for(lambda entry: entry.get("rid") == "run")
        pool.notices.append({"t": "finished", "no": next(pool.notice_numbers), "rid": "old", "status": "odd"})
        for writer in list(pool.links):
            pool.send(writer, pool.notices[-1])
        pool.finish("run")
        finished = (await reports.wait_for(lambda report: isinstance(report, RunFinished)))[0]
        assert finished.request == "run" and counters["pool.passed_over"] == 1
        assert counters["pool.junk"] == 2


@pytest.mark.anyio
async def test_payloads_and_bodies_are_transferred_unchanged():
    body = bytes(range(256))
    async with linked() as (pool, link, reports, _):
        link.spawn(Attempt("run", "look", 0.0, 1.0, 1, body))
        spawned = (await pool.log.wait_for(lambda entry: entry["t"] == "spawn"))[0]
        assert base64.b64decode(spawned["b64"]) == body
        pool.send_notice("run", "blocked", {"b64": base64.b64encode(body).decode()})
        call = (await reports.wait_for(lambda report: isinstance(report, CallRequested)))[0]
        assert call.call_payload == body
