"""The core with stand-ins for its ports: guards that can be tested without a running node, and the parsers."""

from __future__ import annotations

from dataclasses import replace

import anyio
import pytest
from planning import PlannerHarness

from flintshift import benchlink
from flintshift.core import attempts as at
from flintshift.core.attempts import Answer, Attempt, Verdict
from flintshift.core.gauges import GaugePlanner
from flintshift.core.keys import KeyTable
from flintshift.core.limits import Limits
from flintshift.core.mailbox import Mailbox
from flintshift.interface import Outcome
from flintshift.settings.platform import flatten
from flintshift.settings.units import parse_address
from flintshift.wire import uwsgi
from flintshift.wire.fields import RequestError
from flintshift.wire.outcomes import OUTCOMES


def test_later_reports_do_not_change_the_final_answer():
    node = PlannerHarness()
    node.submit("a")
    node.decisions.handle(at.RunFinished("a", Outcome.OK, 1.0, b"x"))
    node.decisions.handle(at.RunFinished("a", Outcome.ERROR))
    node.disconnect_caller("a")
    assert node.answers["a"] == [Answer(Verdict.SERVED, b"x")]
    attempt = node.submit("b")
    node.disconnect_caller("b")
    node.decisions.handle(at.RunFinished("b", Outcome.OK))
    assert "b" not in node.answers and not attempt.settle(Answer(Verdict.FAILED), 0.0)


def test_the_drain_grace_begins_when_the_notice_is_sent():
    node = PlannerHarness(max_notice_delay_ms=200.0)  # of the grace period of 300 ms
    node.decisions.handle(at.ShutdownNotice(3000.0))
    node.now_ms += 150.0
    node.submit("late")
    node.submit("early", arrival_ms=node.now_ms - 100.0)
    assert node.spawned() == ["early"] and node.verdicts("late") == [Verdict.REFUSED]


@pytest.mark.parametrize(
    ("after_ms", "runs"), [(-250.0, True), (-1.0, True), (0.0, True), (1.0, False), (50.0, False), (2000.0, False)]
)
@pytest.mark.parametrize("read_late_ms", [0.0, 30.0])
def test_an_attempt_near_the_end_of_the_drain_grace_is_judged_by_its_arrival_time(after_ms, runs, read_late_ms):
    node = PlannerHarness(max_notice_delay_ms=0.0)
    grace_ms = 300.0  # of the planner's settings
    notice_ms = node.now_ms
    node.decisions.handle(at.ShutdownNotice(6000.0))
    arrival_ms = notice_ms + grace_ms + after_ms
    node.now_ms = arrival_ms + read_late_ms
    node.submit("a", arrival_ms=arrival_ms)
    assert node.spawned() == (["a"] if runs else [])
    assert node.verdicts("a") == ([] if runs else [Verdict.REFUSED])


def test_a_request_whose_class_expires_while_it_waits_is_refused():
    node = PlannerHarness()
    late = Attempt(
        "late",
        "pay",
        node.now_ms,
        10.0,
        1,
        b"",
        request_key="k",
        on_answer=lambda answer: node.answers["late"].append(answer),
    )
    node.answers["late"] = []
    settings = node.decisions.catalogue.settings
    assert node.decisions.change(replace(settings, classes=settings.classes[:1])) is None
    node.now_ms += 60_000.0
    node.decisions.handle(at.Tick("tick"))
    node.decisions.handle(at.Submitted(late))
    assert node.verdicts("late") == [Verdict.REFUSED]


def test_an_attempt_that_ran_fails_instead_of_being_refused():
    answers = []
    attempt = Attempt("a", "pay", 0.0, 1.0, 1, b"", ran=True, on_answer=answers.append)
    assert attempt.settle(Answer(Verdict.REFUSED, retry_after_ms=5.0), 1.0)
    assert answers == [Answer(Verdict.FAILED)]


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.MOOT, Outcome.UNREACHABLE])
def test_a_run_that_never_began_is_refused_and_frees_its_key_and_followers(outcome):
    node = PlannerHarness()
    node.submit("a", "pay", request_key="k")
    node.submit("b", "pay", request_key="k")
    node.decisions.handle(at.RunFinished("a", outcome))
    assert node.verdicts("a") == node.verdicts("b") == [Verdict.REFUSED]
    assert node.answers["a"][0].retry_after_ms == 800.0
    node.submit("c", "pay", request_key="k")
    assert node.spawned() == ["a", "c"]


def test_a_spawn_that_no_worker_accepts_refuses_the_request():
    node = PlannerHarness()
    node.ports.accepts_commands = False
    node.submit("a", "pay", request_key="k")
    assert node.verdicts("a") == [Verdict.REFUSED] and not node.decisions.keys.entries


def test_a_run_goes_on_without_a_call_that_the_vault_did_not_accept():
    node = PlannerHarness()
    node.submit("a")
    node.ports.accepts_commands = False
    node.decisions.handle(at.CallRequested("a", 7, b""))
    assert ("pass", "a", 7) in node.ports.commands


def test_a_caller_that_disconnects_before_the_run_leaves_its_key_free():
    node = PlannerHarness()
    requests = [f"r{turn}" for turn in range(4)]
    for request in requests:
        node.submit(request, "pay", request_key=request)
    waiting = next(request for request in requests if request not in node.spawned())
    node.disconnect_caller(waiting)
    assert ("pay", waiting) not in node.decisions.keys.entries and not node.verdicts(waiting)


def test_a_repeat_is_recognized_by_its_arrival_time_not_by_when_it_is_read():
    node = PlannerHarness()
    first_arrival_ms = node.now_ms
    node.submit("a", "pay", request_key="k")
    node.decisions.handle(at.RunFinished("a", Outcome.OK, 1.0, b"x"))
    node.now_ms += 4000.0
    node.decisions.handle(at.Tick("tick"))
    node.submit("b", "pay", request_key="k", arrival_ms=first_arrival_ms + 1999.0)
    node.submit("other", "look", request_key="k")  # keys are scoped by class
    assert node.spawned() == ["a", "other"] and node.verdicts("b") == [Verdict.SERVED]
    node.submit("c", "pay", request_key="k")
    assert node.spawned() == ["a", "other", "c"]


def test_a_full_key_table_refuses_new_keys_and_keeps_live_ones():
    node = PlannerHarness(max_keys=2)
    for request in "ab":
        node.submit(request, "pay", request_key=request)
        node.decisions.handle(at.RunFinished(request, Outcome.OK, 1.0, request.encode()))
    node.submit("c", "pay", request_key="c")
    node.submit("d", "pay", request_key="a")
    node.submit("e")
    assert node.verdicts("c") == [Verdict.REFUSED] and node.answers["d"] == [Answer(Verdict.SERVED, b"a")]
    assert node.spawned() == ["a", "b", "e"]


def test_the_largest_result_is_reserved_until_the_result_is_known():
    limits = Limits(max_result_bytes=100, max_key_result_bytes=250)
    keys = KeyTable(limits)
    attempts = [Attempt(str(turn), "pay", 0.0, 1.0, 1, b"", request_key=str(turn)) for turn in range(3)]
    for attempt in attempts[:2]:
        assert not keys.is_full()
        keys.claim(attempt, 10.0)
    assert keys.is_full()
    keys.record_outcome(keys.entries["pay", "0"], Outcome.OK, b"x")
    assert not keys.is_full() and keys.reserved_bytes == 101
    keys.purge(1e9, iter(["1"]))  # the entry of an open owner stays
    assert list(keys.entries) == [("pay", "1")] and keys.reserved_bytes == 100
    assert keys.release(attempts[1]) == [] and keys.reserved_bytes == 0


def test_a_lost_run_gives_its_place_back():
    node = PlannerHarness()
    node.submit("a", "pay", request_key="k")
    for _ in range(40):
        node.now_ms += 1000.0
        node.decisions.handle(at.Tick("tick"))
    assert node.verdicts("a") == [Verdict.FAILED] and not node.decisions.attempts.by_id
    assert not node.decisions.controller.work


def test_a_full_mailbox_refuses_new_requests_and_keeps_places_for_other_reports():
    node = PlannerHarness(mailbox_size=4, mailbox_reserve=2)
    answers = []
    attempts = [Attempt(request, "look", node.now_ms, 1.0, 1, b"", on_answer=answers.append) for request in "abcd"]
    for attempt in attempts:
        node.decisions.submit(attempt)
    assert [answer.verdict for answer in answers] == [Verdict.REFUSED, Verdict.REFUSED]
    assert answers[0].retry_after_ms == 800.0 and node.decisions.mailbox.offer(at.CallerDisconnected(attempts[0]))
    mailbox = Mailbox(1)
    assert (mailbox.offer(1), mailbox.offer(2), mailbox.take_now(), mailbox.take_now()) == (True, False, 1, None)


def test_a_full_mailbox_does_not_refuse_a_repeat_of_a_request_that_ran():
    node = PlannerHarness(mailbox_size=4, mailbox_reserve=2)
    node.submit("a", "pay", request_key="k")
    node.decisions.handle(at.RunFinished("a", Outcome.OK, 1.0, b"x"))
    answers = []
    for request, class_name in (("b", "look"), ("c", "look"), ("d", "pay"), ("e", "pay"), ("f", "pay")):
        node.decisions.submit(
            Attempt(request, class_name, node.now_ms, 1.0, 1, b"", request_key="k", on_answer=answers.append)
        )
    assert [answer.verdict for answer in answers] == [Verdict.FAILED]
    for _ in range(4):
        node.decisions.handle(node.decisions.mailbox.take_now())
    assert answers[1:] == [Answer(Verdict.SERVED, b"x")] * 2


def test_every_end_of_a_run_or_call_has_an_outcome():
    assert set(OUTCOMES.values()) == set(Outcome)
    names_by_source = {
        "call": {"yes", "notnow", "failed", "overdue", "pointless"},
        "run": {"fine", "fault", "broken_off", "late", "unknown"},
        "link": {"refused", "broken", "silent"},
    }
    assert {(source, name) for source in names_by_source for name in names_by_source[source]} == set(OUTCOMES)


@pytest.mark.parametrize(
    ("pairs", "missing_bytes"),
    [
        ([], 0),
        ([("A", "b"), ("HTTP_X", "")], 0),
        ([("A", "é" * 300)], 0),
        ([("A", "b")], 1),
        ([("A", "b")], 3),
        ([("A", "b")], 5),
    ],
)
def test_uwsgi_variables_round_trip_and_truncated_blocks_are_rejected(pairs, missing_bytes):
    packet = uwsgi.pack(pairs)
    assert uwsgi.block_size(packet[:4], 9999) == len(packet) - 4
    block = packet[4 : len(packet) - missing_bytes]
    if not missing_bytes:
        assert uwsgi.unpack(block, 9) == dict(pairs)
    else:
        with pytest.raises(RequestError) as caught:
            uwsgi.unpack(block, 9)
        assert caught.value.status == 400


@pytest.mark.parametrize(
    ("length", "expected"), [("", 0), ("12", 12), ("13", 413), ("9" * 5000, 413), ("-1", 400), ("1.5", 400), ("٣", 400)]
)
def test_uwsgi_body_sizes_are_parsed_or_rejected(length, expected):
    if expected < 400:
        assert uwsgi.body_size({"CONTENT_LENGTH": length}, 12) == expected
    else:
        with pytest.raises(RequestError) as caught:
            uwsgi.body_size({"CONTENT_LENGTH": length}, 12)
        assert caught.value.status == expected


def test_a_duplicate_field_is_rejected():
    with pytest.raises(RequestError, match="HTTP_X_UNIQUE"):
        uwsgi.unpack(uwsgi.pack([("HTTP_X_UNIQUE", "a"), ("HTTP_X_UNIQUE", "b")])[4:], 9)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("127.0.0.1:80", ("127.0.0.1", 80)),
        ("[::1]:9", ("::1", 9)),
        ("host", None),
        (":80", None),
        ("a:0", None),
        ("a:99999", None),
    ],
)
def test_addresses_are_parsed_or_rejected(text, expected):
    if expected:
        assert parse_address(text) == expected
    else:
        with pytest.raises(ValueError, match="host:port"):
            parse_address(text)


def test_nested_settings_are_flattened_to_the_simulators_pairs():
    settings = {"a": {"b": [1, True, "x"], "c": [{"d": 0.5}, {"d": False}]}, "e": []}
    assert flatten(settings) == {"a.b": "1,true,x", "a.c.count": "2", "a.c.0.d": "0.5", "a.c.1.d": "false", "e": ""}
    assert benchlink.split_list(flatten({"e": []})["e"]) == []


@pytest.mark.parametrize(("marked_repeat", "verdict"), [(False, Verdict.REFUSED), (True, Verdict.FAILED)])
def test_an_attempt_without_a_connection_is_refused_unless_an_earlier_try_ran(marked_repeat, verdict):
    node = PlannerHarness()
    if marked_repeat:
        node.submit("first", "pay", request_key="k")
    answers = []
    attempt = Attempt(
        "second",
        "pay",
        node.now_ms,
        10.0,
        1,
        b"",
        request_key="k",
        marked_repeat=marked_repeat,
        on_answer=answers.append,
    )
    node.decisions.reject(attempt)
    assert [answer.verdict for answer in answers] == [verdict]
    assert "second" not in node.spawned()
    if verdict is Verdict.REFUSED:
        assert answers[0].retry_after_ms == 800.0


@pytest.mark.anyio
async def test_a_tick_is_handled_before_the_reports_in_the_mailbox():
    """On a busy node hundreds of arrivals wait in the mailbox, which would delay the answers that are due."""
    node = PlannerHarness()
    attempt = node.submit("a")  # its run does not end
    node.now_ms = attempt.deadline_at_ms - 50.0
    for number in range(200):
        node.decisions.submit(Attempt(f"b{number}", "look", node.now_ms, 10.0, 1, b"", on_answer=lambda answer: None))
    planner = GaugePlanner(Limits(), lambda: node.now_ms)
    planner.wake_at(node.now_ms, "tick")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(planner.run, NoGauges(), node.decisions.tick)
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    assert node.verdicts("a") == [Verdict.FAILED]
    assert len(node.decisions.mailbox) == 200


class NoGauges:
    """A source that has no gauges."""

    async def poll(self):
        return None
