"""The core with stand-ins for its ports: the guards that no bench is needed to see, and the parsers."""

from __future__ import annotations

from dataclasses import replace

import anyio
import pytest
from planning import Planner

from flintshift import benchlink
from flintshift.core import attempts as at
from flintshift.core.attempts import Answer, Attempt, Verdict
from flintshift.core.gauges import GaugePlanner
from flintshift.core.keys import KeyTable
from flintshift.core.limits import Limits
from flintshift.core.mailbox import Mailbox
from flintshift.interface import Outcome
from flintshift.settings.platform import flat
from flintshift.settings.units import address
from flintshift.wire import uwsgi
from flintshift.wire.fields import RequestError
from flintshift.wire.outcomes import OUTCOMES


def test_there_is_one_final_answer_whatever_follows():
    node = Planner()
    node.submit("a")
    node.planner.handle(at.RunFinished("a", Outcome.OK, 1.0, b"x"))
    node.planner.handle(at.RunFinished("a", Outcome.ERROR))
    node.leave("a")
    assert node.told["a"] == [Answer(Verdict.SERVED, b"x")]
    attempt = node.submit("b")
    node.leave("b")
    node.planner.handle(at.RunFinished("b", Outcome.OK))
    assert "b" not in node.told and not attempt.settle(Answer(Verdict.FAILED), 0.0)


def test_the_grace_of_a_drain_counts_from_when_the_notice_was_given_not_heard():
    node = Planner(max_notice_delay_ms=200.0)  # of the grace of 300 ms
    node.planner.handle(at.ShutdownNotice(3000.0))
    node.now += 150.0
    node.submit("late")
    node.submit("early", arrival_ms=node.now - 100.0)
    assert node.spawned() == ["early"] and node.verdicts("late") == [Verdict.REFUSED]


@pytest.mark.parametrize(
    ("after_ms", "runs"), [(-250.0, True), (-1.0, True), (0.0, True), (1.0, False), (50.0, False), (2000.0, False)]
)
@pytest.mark.parametrize("read_late_ms", [0.0, 30.0])
def test_what_comes_on_either_side_of_the_grace_runs_or_is_refused_by_its_door_time(after_ms, runs, read_late_ms):
    node = Planner(max_notice_delay_ms=0.0)
    grace_ms = 300.0  # of the planner's settings
    notice_ms = node.now
    node.planner.handle(at.ShutdownNotice(6000.0))
    door_ms = notice_ms + grace_ms + after_ms
    node.now = door_ms + read_late_ms
    node.submit("a", arrival_ms=door_ms)
    assert node.spawned() == (["a"] if runs else [])
    assert node.verdicts("a") == ([] if runs else [Verdict.REFUSED])


def test_a_class_that_was_dropped_for_good_while_its_request_waited_is_refused_and_ends_nothing():
    node = Planner()
    late = Attempt(
        "late",
        "pay",
        node.now,
        10.0,
        1,
        b"",
        request_key="k",
        on_answer=lambda answer: node.told["late"].append(answer),
    )
    node.told["late"] = []
    settings = node.planner.catalogue.settings
    assert node.planner.change(replace(settings, classes=settings.classes[:1])) is None
    node.now += 60_000.0
    node.planner.handle(at.Tick("tick"))
    node.planner.handle(at.Submitted(late))
    assert node.verdicts("late") == [Verdict.REFUSED]


def test_what_has_run_is_never_turned_away():
    told = []
    attempt = Attempt("a", "pay", 0.0, 1.0, 1, b"", ran=True, on_answer=told.append)
    assert attempt.settle(Answer(Verdict.REFUSED, retry_after_ms=5.0), 1.0)
    assert told == [Answer(Verdict.FAILED)]


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.MOOT, Outcome.UNREACHABLE])
def test_a_run_proven_not_begun_is_refused_and_frees_its_key_and_its_followers(outcome):
    node = Planner()
    node.submit("a", "pay", request_key="k")
    node.submit("b", "pay", request_key="k")
    node.planner.handle(at.RunFinished("a", outcome))
    assert node.verdicts("a") == node.verdicts("b") == [Verdict.REFUSED]
    assert node.told["a"][0].retry_after_ms == 800.0
    node.submit("c", "pay", request_key="k")
    assert node.spawned() == ["a", "c"]


def test_a_command_that_no_worker_takes_refuses_the_request_and_starts_nothing():
    node = Planner()
    node.ports.room = False
    node.submit("a", "pay", request_key="k")
    assert node.verdicts("a") == [Verdict.REFUSED] and not node.planner.keys.entries


def test_a_call_that_is_not_taken_never_ran():
    node = Planner()
    node.submit("a")
    node.ports.room = False
    node.planner.handle(at.CallRequested("a", 7, b""))
    assert ("pass", "a", 7) in node.ports.sent


def test_a_caller_that_goes_while_held_leaves_its_key_free():
    node = Planner()
    held = [f"r{turn}" for turn in range(4)]
    for request in held:
        node.submit(request, "pay", request_key=request)
    waiting = next(request for request in held if request not in node.spawned())
    node.leave(waiting)
    assert ("pay", waiting) not in node.planner.keys.entries and not node.verdicts(waiting)


def test_a_repeat_is_known_by_when_it_came_not_by_when_it_is_read():
    node = Planner()
    door = node.now
    node.submit("a", "pay", request_key="k")
    node.planner.handle(at.RunFinished("a", Outcome.OK, 1.0, b"x"))
    node.now += 4000.0
    node.planner.handle(at.Tick("tick"))
    node.submit("b", "pay", request_key="k", arrival_ms=door + 1999.0)
    node.submit("other", "look", request_key="k")  # keys are scoped by class
    assert node.spawned() == ["a", "other"] and node.verdicts("b") == [Verdict.SERVED]
    node.submit("c", "pay", request_key="k")
    assert node.spawned() == ["a", "other", "c"]


def test_a_full_key_table_starts_no_keyed_work_and_forgets_no_live_key():
    node = Planner(max_keys=2)
    for request in "ab":
        node.submit(request, "pay", request_key=request)
        node.planner.handle(at.RunFinished(request, Outcome.OK, 1.0, request.encode()))
    node.submit("c", "pay", request_key="c")
    node.submit("d", "pay", request_key="a")
    node.submit("e")
    assert node.verdicts("c") == [Verdict.REFUSED] and node.told["d"] == [Answer(Verdict.SERVED, b"a")]
    assert node.spawned() == ["a", "b", "e"]


def test_results_are_booked_at_their_largest_until_they_are_known():
    limits = Limits(max_result_bytes=100, max_key_result_bytes=250)
    keys = KeyTable(limits)
    attempts = [Attempt(str(turn), "pay", 0.0, 1.0, 1, b"", request_key=str(turn)) for turn in range(3)]
    for attempt in attempts[:2]:
        assert not keys.is_full()
        keys.claim(attempt, 10.0)
    assert keys.is_full()
    keys.record_outcome(keys.entries["pay", "0"], Outcome.OK, b"x")
    assert not keys.is_full() and keys.reserved_bytes == 101
    keys.purge(1e9, iter(["1"]))  # an open owner keeps its entry
    assert list(keys.entries) == [("pay", "1")] and keys.reserved_bytes == 100
    assert keys.release(attempts[1]) == [] and keys.reserved_bytes == 0


def test_a_run_never_heard_of_again_gives_its_place_back():
    node = Planner()
    node.submit("a", "pay", request_key="k")
    for _ in range(40):
        node.now += 1000.0
        node.planner.handle(at.Tick("tick"))
    assert node.verdicts("a") == [Verdict.FAILED] and not node.planner.attempts.by_id
    assert not node.planner.controller.work


def test_a_full_mailbox_refuses_new_work_and_keeps_room_for_the_rest():
    node = Planner(mailbox_size=4, mailbox_reserve=2)
    told = []
    attempts = [Attempt(request, "look", node.now, 1.0, 1, b"", on_answer=told.append) for request in "abcd"]
    for attempt in attempts:
        node.planner.submit(attempt)
    assert [answer.verdict for answer in told] == [Verdict.REFUSED, Verdict.REFUSED]
    assert told[0].retry_after_ms == 800.0 and node.planner.mailbox.offer(at.CallerDisconnected(attempts[0]))
    box = Mailbox(1)
    assert (box.offer(1), box.offer(2), box.take_now(), box.take_now()) == (True, False, 1, None)


def test_a_full_mailbox_does_not_refuse_the_repeat_of_what_has_run():
    node = Planner(mailbox_size=4, mailbox_reserve=2)
    node.submit("a", "pay", request_key="k")
    node.planner.handle(at.RunFinished("a", Outcome.OK, 1.0, b"x"))
    told = []
    for request, class_name in (("b", "look"), ("c", "look"), ("d", "pay"), ("e", "pay"), ("f", "pay")):
        node.planner.submit(Attempt(request, class_name, node.now, 1.0, 1, b"", request_key="k", on_answer=told.append))
    assert [answer.verdict for answer in told] == [Verdict.FAILED]
    for _ in range(4):
        node.planner.handle(node.planner.mailbox.take_now())
    assert told[1:] == [Answer(Verdict.SERVED, b"x")] * 2


def test_every_way_a_run_or_call_ends_has_an_outcome():
    assert set(OUTCOMES.values()) == set(Outcome)
    words = {
        "call": {"yes", "notnow", "failed", "overdue", "pointless"},
        "run": {"fine", "fault", "broken_off", "late", "unknown"},
        "link": {"refused", "broken", "silent"},
    }
    assert {(by, word) for by in words for word in words[by]} == set(OUTCOMES)


@pytest.mark.parametrize(
    ("pairs", "cut"),
    [
        ([], 0),
        ([("A", "b"), ("HTTP_X", "")], 0),
        ([("A", "é" * 300)], 0),
        ([("A", "b")], 1),
        ([("A", "b")], 3),
        ([("A", "b")], 5),
    ],
)
def test_uwsgi_variables_there_and_back_and_cut_off(pairs, cut):
    packet = uwsgi.pack(pairs)
    assert uwsgi.block_size(packet[:4], 9999) == len(packet) - 4
    block = packet[4 : len(packet) - cut]
    if not cut:
        assert uwsgi.unpack(block) == dict(pairs)
    else:
        with pytest.raises(RequestError) as caught:
            uwsgi.unpack(block)
        assert caught.value.status == 400


@pytest.mark.parametrize(
    ("length", "found"), [("", 0), ("12", 12), ("13", 413), ("9" * 5000, 413), ("-1", 400), ("1.5", 400), ("٣", 400)]
)
def test_uwsgi_body_sizes(length, found):
    if found < 400:
        assert uwsgi.body_size({"CONTENT_LENGTH": length}, 12) == found
    else:
        with pytest.raises(RequestError) as caught:
            uwsgi.body_size({"CONTENT_LENGTH": length}, 12)
        assert caught.value.status == found


def test_a_field_given_twice_is_no_field():
    with pytest.raises(RequestError, match="HTTP_X_UNIQUE"):
        uwsgi.unpack(uwsgi.pack([("HTTP_X_UNIQUE", "a"), ("HTTP_X_UNIQUE", "b")])[4:])


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ("127.0.0.1:80", ("127.0.0.1", 80)),
        ("[::1]:9", ("::1", 9)),
        ("host", None),
        (":80", None),
        ("a:0", None),
        ("a:99999", None),
    ],
)
def test_addresses(text, found):
    if found:
        assert address(text) == found
    else:
        with pytest.raises(ValueError, match="host:port"):
            address(text)


def test_nested_settings_are_the_simulators_pairs():
    told = {"a": {"b": [1, True, "x"], "c": [{"d": 0.5}, {"d": False}]}, "e": []}
    assert flat(told) == {"a.b": "1,true,x", "a.c.count": "2", "a.c.0.d": "0.5", "a.c.1.d": "false", "e": ""}
    assert benchlink.listed(flat({"e": []})["e"]) == []


@pytest.mark.parametrize(("again", "verdict"), [(False, Verdict.REFUSED), (True, Verdict.FAILED)])
def test_what_is_turned_away_for_want_of_a_connection_is_refused_unless_an_earlier_try_ran(again, verdict):
    node = Planner()
    if again:
        node.submit("first", "pay", request_key="k")
    told = []
    attempt = Attempt(
        "second", "pay", node.now, 10.0, 1, b"", request_key="k", marked_repeat=again, on_answer=told.append
    )
    node.planner.reject(attempt)
    assert [answer.verdict for answer in told] == [verdict]
    assert "second" not in node.spawned()
    if verdict is Verdict.REFUSED:
        assert told[0].retry_after_ms == 800.0


@pytest.mark.anyio
async def test_a_tick_is_handled_before_what_waits_in_the_mailbox():
    """On a busy node hundreds of arrivals wait, and requests past their due time behind them."""
    node = Planner()
    attempt = node.submit("a")  # its run never ends
    node.now = attempt.deadline_at_ms - 50.0
    for number in range(200):
        node.planner.submit(Attempt(f"b{number}", "look", node.now, 10.0, 1, b"", on_answer=lambda answer: None))
    gauges = GaugePlanner(Limits(), lambda: node.now)
    gauges.wake_at(node.now, "tick")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(gauges.run, Ungauged(), node.planner.tick)
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    assert node.verdicts("a") == [Verdict.FAILED]
    assert len(node.planner.mailbox) == 200


class Ungauged:
    async def poll(self):
        return None
