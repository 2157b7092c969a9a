"""The link to the worker pool: what a broken or silent link may have lost, and notices that are junk."""

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
from flintshift.lab.peers import Journal, Pool
from flintshift.wire import pool_codec as codec
from flintshift.wire.pool import PoolLink
from flintshift.wire.pool_recovery import JunkNotices, Silence, Unheard

SPAWN = codec.spawn(Attempt("s1", "look", 0.0, 1.0, 1, b"body"))
PASS = codec.go_on("p1", 7)
SUPPLY = codec.supply("y1", 8, b"reply")
UNSURE_MS = 100.0


def queued(*commands, heard_ms=0.0):
    unheard = Unheard(UNSURE_MS, 2000)
    for command in commands:
        unheard.queued(command, heard_ms)
    return unheard


# Command, written at (None: it still waits), the link's last word before its break, whether it is unsure.
BREAKS = [
    (SPAWN, 1000.0, 5000.0, True),  # nothing was heard of it, however long ago
    (SPAWN, None, 5000.0, False),  # it leaves on the next link: sent twice, it might meet its own end
    (PASS, 4950.0, 5000.0, True),
    (PASS, 4850.0, 5000.0, False),  # the link spoke so long after it that it has arrived
    (PASS, None, 5000.0, False),
    (SUPPLY, 4950.0, 5000.0, True),
    (SUPPLY, None, 5000.0, False),
    (SUPPLY, 9000.0, 5000.0, True),  # written on a link that had fallen silent long before
]


@pytest.mark.parametrize(("command", "written_ms", "heard_ms", "unsure"), BREAKS)
def test_what_a_broken_link_may_have_lost(command, written_ms, heard_ms, unsure):
    unheard = queued(command)
    if written_ms is not None:
        unheard.written(command, written_ms)
    unheard.broke(heard_ms)
    assert unheard.unsure() == [command] * unsure
    unheard.heard(command.request)
    assert unheard.unsure() == [] and not unheard.still(command)


def test_a_second_break_before_all_is_made_good_forgets_nothing_of_the_first():
    unheard = queued(PASS)
    unheard.written(PASS, 1000.0)
    unheard.broke(1010.0)
    assert unheard.unsure() == [PASS]
    for count in range(8):  # other work goes on meanwhile
        unheard.queued(codec.go_on(f"q{count}", count), 3000.0)
    unheard.broke(3000.0)
    assert PASS in unheard.unsure() and unheard.still(PASS)
    unheard.settled()
    unheard.broke(3000.0)
    assert PASS not in unheard.unsure()


def test_commands_of_which_nothing_is_ever_heard_are_known_in_a_bounded_number():
    unheard = Unheard(UNSURE_MS, 10)
    for count in range(50):
        unheard.queued(codec.spawn(Attempt(f"s{count}", "look", 0.0, 1.0, 1, b"")), 0.0)
        unheard.queued(codec.go_on(f"p{count}", count), 0.0)
    assert list(unheard.spawns) == [f"s{count}" for count in range(40, 50)] and len(unheard.resumed) == 10


def test_commands_that_have_arrived_are_forgotten_as_others_come():
    unheard = Unheard(UNSURE_MS, 2000)
    for count in range(1000):
        command = codec.go_on(f"r{count}", count)
        unheard.queued(command, heard_ms=count * 10.0)
        unheard.written(command, count * 10.0)
    assert len(unheard.resumed) < 20


LOOKS = [  # what happens between two looks, and at which look the link is made anew
    ([], None),
    (["ask"], 3),
    (["ask", "look", "hear"], None),
    (["look", "look", "look", "ask"], 6),  # time in which nothing was owed does not count
    (["ask", "look", "look", "hear", "ask"], 5),
]


@pytest.mark.parametrize(("before", "at"), LOOKS)
def test_a_link_is_silent_after_so_many_looks_in_a_row_at_which_an_answer_is_owed(before, at):
    silence, looks = Silence(3), 0
    for step in [*before, *["look"] * 9]:
        if step == "look":
            looks += 1
            if silence.looked():
                break
        else:
            {"ask": silence.asked, "hear": silence.heard}[step]()
    else:
        looks = None
    assert looks == at


@pytest.mark.parametrize(
    ("numbers", "passed"), [([5, 5], [False, True]), ([5, 6, 5], [False] * 3), ([0, 0], [False] * 2)]
)
def test_a_notice_is_passed_over_where_it_was_junk_on_the_link_before_too(numbers, passed):
    junk = JunkNotices()
    assert [junk.met(number) for number in numbers] == passed


NOTICES = [
    ({"t": "finished", "no": 3, "rid": "a", "status": "fine", "time_ms": 4, "b64": "eA=="}, (Outcome.OK, 4.0, b"x")),
    ({"t": "finished", "no": 3, "rid": "a", "status": "fault", "time_ms": math.inf}, (Outcome.ERROR, 0.0, b"")),
    ({"t": "finished", "no": 3, "rid": "a", "status": "late", "time_ms": math.nan}, (Outcome.MOOT, 0.0, b"")),
    ({"t": "finished", "no": 3, "rid": "a", "status": "fine", "time_ms": -1}, (Outcome.OK, 0.0, b"")),
    ({"t": "finished", "no": 3, "rid": "a", "status": "fine", "time_ms": "soon"}, (Outcome.OK, 0.0, b"")),
]


@pytest.mark.parametrize(("message", "told"), NOTICES)
def test_a_time_that_is_no_time_is_not_known(message, told):
    notice = codec.notice_of(json.dumps(message).encode(), 4096)
    assert (notice.outcome, notice.took_ms, notice.result) == told


JUNK = [
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


@pytest.mark.parametrize(("line", "number"), JUNK)
def test_a_line_that_is_no_notice_is_told_with_its_number_if_it_has_one(line, number):
    with pytest.raises(codec.NoticeError) as found:
        codec.notice_of(line, 4096)
    assert found.value.number == number


@pytest.mark.parametrize("values", [None, "x", [None], [1, math.nan], [math.inf], [10**400], [["a"]]])
def test_gauges_that_are_none_are_told_as_such_or_as_junk(values):
    line = json.dumps({"t": "polled", "mark": "m", "v": values}).encode()
    try:
        assert codec.notice_of(line, 4096) == codec.Polled("m", None)
    except codec.NoticeError:
        assert values == [10**400]


@contextlib.asynccontextmanager
async def linked(**limits):
    """A link to a stand-in worker pool, and what the link reports."""
    pool, told, counters = Pool(tells=True, ends=False), Journal(), Counters()
    await pool.start()
    link = PoolLink(("127.0.0.1", pool.port), ["busy"], Limits(**limits), counters, told.add, lambda low, high: low)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        await told.until(lambda report: isinstance(report, WorkersUp))
        yield pool, link, told, counters
        tasks.cancel_scope.cancel()
    await pool.stop()


def attempt(name):
    return Attempt(name, "look", 0.0, 1.0, 1, b"body")


def spawns(pool, name):
    return [entry for entry in pool.log.entries if entry["t"] == "spawn" and entry["rid"] == name]


@pytest.mark.anyio
async def test_a_spawn_that_waits_for_a_link_leaves_once_on_the_next_and_one_that_left_is_sent_again():
    for _ in range(50):
        async with linked() as (pool, link, told, _):
            assert link.spawn(attempt("left"))
            await pool.log.until(lambda entry: entry.get("rid") == "left")
            pool.cut()
            while link.bound:
                await asyncio.sleep(0)
            assert link.spawn(attempt("waits"))  # between two links
            await pool.log.until(lambda entry: entry.get("rid") == "left", 2)
            pool.finish("waits")
            await told.until(lambda report: isinstance(report, RunFinished))
            assert len(spawns(pool, "waits")) == 1 and len(spawns(pool, "left")) == 2


@pytest.mark.anyio
async def test_a_silent_link_is_made_anew_and_what_was_written_on_it_made_good():
    async with linked(pool_check_interval_ms=20.0, max_silent_pool_checks=5, pool_in_doubt_ms=20.0) as (
        pool,
        link,
        told,
        counters,
    ):
        old, pool.deaf = set(pool.links), True
        assert link.spawn(attempt("run"))
        await pool.log.until(lambda entry: entry.get("rid") == "run")
        pool.tell("run", "blocked", {"b64": ""})
        wanted = (await told.until(lambda report: isinstance(report, CallRequested)))[0]
        whole = pool.say
        pool.say = lambda writer, message: None if writer in old else whole(writer, message)
        assert link.supply("run", wanted.notice, b"reply") and link.spawn(attempt("next"))
        with anyio.move_on_after(0.01):
            await link.poll()
        await told.until(lambda report: isinstance(report, ReplyInDoubt))
        await pool.log.until(lambda entry: entry.get("rid") == "next", 2)
        assert counters["pool.silent"] == 1


@pytest.mark.anyio
async def test_a_link_that_rests_and_owes_nothing_is_left_as_it_is():
    async with linked(pool_check_interval_ms=5.0, max_silent_pool_checks=3) as (_, link, _, counters):
        assert await link.poll() is not None
        assert link.spawn(attempt("long"))
        await asyncio.sleep(0.2)
        assert link.bound and not counters["pool.silent"] and not counters["pool.links_lost"]


@pytest.mark.anyio
async def test_a_pool_that_takes_a_new_link_and_never_answers_its_bind_is_linked_to_again():
    async with linked(pool_bind_timeout_ms=50.0) as (pool, _, told, _):
        whole = pool.say
        pool.say = lambda writer, message: None
        pool.cut()
        await pool.log.until(lambda entry: entry["t"] == "bind", 4)
        pool.say = whole
        await told.until(lambda report: isinstance(report, WorkersUp), 2)


@pytest.mark.anyio
async def test_a_notice_that_is_junk_each_time_it_is_told_does_not_keep_the_pool_away():
    async with linked() as (pool, link, told, counters):
        assert link.spawn(attempt("run"))
        await pool.log.until(lambda entry: entry.get("rid") == "run")
        pool.notices.append({"t": "finished", "no": next(pool.numbers), "rid": "old", "status": "odd"})
        for writer in list(pool.links):
            pool.say(writer, pool.notices[-1])
        pool.finish("run")
        over = (await told.until(lambda report: isinstance(report, RunFinished)))[0]
        assert over.request == "run" and counters["pool.passed_over"] == 1
        assert counters["pool.junk"] == 2


@pytest.mark.anyio
async def test_payloads_and_bodies_pass_unchanged():
    body = bytes(range(256))
    async with linked() as (pool, link, told, _):
        link.spawn(Attempt("run", "look", 0.0, 1.0, 1, body))
        spawned = (await pool.log.until(lambda entry: entry["t"] == "spawn"))[0]
        assert base64.b64decode(spawned["b64"]) == body
        pool.tell("run", "blocked", {"b64": base64.b64encode(body).decode()})
        wanted = (await told.until(lambda report: isinstance(report, CallRequested)))[0]
        assert wanted.call_payload == body
