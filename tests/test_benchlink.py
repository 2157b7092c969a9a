"""The adapter to the simulator: lines in, lines out, and one isolated controller per server."""

from __future__ import annotations

import io
import os
import subprocess
import sys
from dataclasses import fields
from pathlib import Path

import pytest

from flintshift import benchlink
from flintshift import interface as api

PAIRS = {
    "classes.count": "2",
    "classes.0.name": "peek",
    "classes.0.onTimeMs": "900.0",
    "classes.0.deadlineMs": "2500.0",
    "classes.0.worth": "1.0",
    "classes.0.effect": "safe",
    "classes.0.lateWorth": "0.1",
    "classes.1.name": "book",
    "classes.1.onTimeMs": "1100.0",
    "classes.1.deadlineMs": "3500.0",
    "classes.1.worth": "4.0",
    "classes.1.effect": "keyed",
    "classes.1.repeatWindowMs": "7000.0",
    "familyInfo.nCores": "3",
    "familyInfo.ramKb": "5000.0",
    "familyInfo.runFactor": "6.0",
    "familyInfo.below": "shared",
    "familyInfo.callShare": "3.5",
    "familyInfo.callsOverMs": "4000.0",
    "familyInfo.callsByClass": "true,false,true",
    "familyInfo.classSkipWorth": "0.4,0.0",
    "familyInfo.cold": "true",
    "familyInfo.halt": "abort",
    "familyInfo.say": "share_of",
    "rules.fallMultiple": "4.0",
    "rules.fallMs": "1200.0",
    "rules.drainGraceMs": "700.0",
    "rules.coldFrom": "0.3",
    "rules.coldMs": "9000.0",
    "tenants.count": "1",
    "tenants.0.name": "north",
    "tenants.0.share": "1.0",
    "tenants.0.quotaPerS": "12.0",
    "unheard.of.0": "x",
}


def start_line(server: str = "server_1", **overrides: str) -> str:
    pairs = {**PAIRS, **overrides}
    parts = (f"{key}={value}" for key, value in pairs.items())
    return "\t".join(["ENLIST", f"serverId={server}", "nonce64=77", *parts])


def batch_text(now_ms: float, *lines: str) -> str:
    return "\n".join([f"FRAME\ttMs={now_ms}", *lines, "EOF_BATCH", ""])


def serve(*batches: str) -> list[list[str]]:
    sink = io.StringIO()
    benchlink.serve(io.StringIO("".join(batches)), sink)
    return [reply.splitlines() for reply in sink.getvalue().split("END\n")[:-1]]


def query_line(request: str, server: str = "server_1", **overrides: str) -> str:
    pairs = {"opId": request, "tierClass": "peek", "footprint": "5.5", "ageMs": "1.5", **overrides}
    return "\t".join(["QUERY", f"serverId={server}", *(f"{key}={value}" for key, value in pairs.items())])


def test_settings_reach_the_interface_and_unknown_keys_are_skipped():
    settings = benchlink.parse_settings(dict(PAIRS))
    peek, book = settings.classes
    assert (peek.aim_ms, peek.effect, peek.skip_worth, peek.calls) == (900.0, api.Effect.SAFE, 0.4, True)
    assert (book.repeat_window_ms, book.effect, book.calls) == (7000.0, api.Effect.KEYED, False)
    assert (settings.cores, settings.halt, settings.cold) == (3, api.Halt.ABORT, True)
    assert settings.free_value is api.FreeValue.CHANCE
    assert settings.tenants == [api.Tenant("north", 12.0)]
    assert settings.fresh_ms == 0.0 and not settings.marks_repeats


EVENT_LINES = {
    api.Arrived: (
        "QUERY\topId=a\ttierClass=peek\tfootprint=2.5\tageMs=1.25\tsrc=3\tprio=0.5\tteam=north\teffortMs=9.5\t"
        "dupOf=b\tagainByClient=1\texpiresInMs=80.5\tresource=44\tmutates=0\tnews=1",
        api.Arrived("a", "peek", 2.5, 1.25, 3, "north", "b", True, 80.5, 44),
    ),
    api.RunEnded: ("DONE\topId=a\thow=err\ttimeTakenMs=3.5", api.RunEnded("a", api.Outcome.ERROR, 3.5)),
    api.CallerDisconnected: ("DROPPED\topId=a", api.CallerDisconnected("a")),
    api.CallNeeded: ("NEEDS\topId=a", api.CallNeeded("a")),
    api.CallEnded: (
        "CALL_RESULT\topId=a\thow=econnrefused\ttimeTakenMs=1.0",
        api.CallEnded("a", api.Outcome.UNREACHABLE, 1.0),
    ),
    api.DrainStarted: ("DRAIN\texpiresInMs=2500.0", api.DrainStarted(2500.0)),
    api.Woken: (
        "DUE\tnonce=t\ttelemetry=cpu_busy:0.5,runnable:3,mem_used:0.25,sockets:9,other:1",
        api.Woken("t", api.Gauges(0.5, 3.0, 0.25, 9.0)),
    ),
}


def test_every_event_of_the_wire_is_in_the_round_trip():
    assert {kind for kind, _ in benchlink.EVENTS.values()} == set(EVENT_LINES)


@pytest.mark.parametrize("event_type", EVENT_LINES, ids=lambda event_type: event_type.__name__)
def test_event_round_trip(event_type):
    line, expected = EVENT_LINES[event_type]
    event_name, *parts = line.split("\t")
    assert benchlink.build_object(*benchlink.EVENTS[event_name], benchlink.parse_pairs(parts)) == expected


def test_a_gauge_that_is_not_sent_is_absent_not_zero():
    woken = benchlink.build_object(
        *benchlink.EVENTS["DUE"], benchlink.parse_pairs(["nonce=t", "telemetry=cpu_busy:0.5"])
    )
    assert woken.gauges == api.Gauges(busy=0.5, run_queue=None, memory=None, connections=None)


def test_zero_means_absent_where_the_wire_defines_it():
    parts = query_line("a", dupOf="0", team="0").split("\t")[2:]
    event = benchlink.build_object(*benchlink.EVENTS["QUERY"], benchlink.parse_pairs(parts))
    assert event.repeat_of is None and event.tenant is None and event.patience_ms is None


ACTION_LINES = [
    (api.Run("a"), "EXECUTE\tserverId=server_1\topId=a"),
    (api.Stop("a"), "PREEMPT\tserverId=server_1\topId=a"),
    (api.Reject("a", 250.0, True), "BUSY\tserverId=server_1\topId=a\tnotBeforeForMs=250.0\tgiveUp=1"),
    (api.Fail("a"), "FINISH_ERROR\tserverId=server_1\topId=a"),
    (api.Call("a", 80.0), "ASK_BELOW\tserverId=server_1\topId=a\ttryForMs=80.0"),
    (api.SkipCall("a"), "FALL_BACK\tserverId=server_1\topId=a"),
    (api.RememberKey("a", 5.5), "REMEMBER\tserverId=server_1\topId=a\tforTimeMs=5.5"),
    (api.ReleaseKey("a"), "RELEASE_KEY\tserverId=server_1\topId=a"),
    (api.AnswerFromOriginal("a"), "ANSWER_FROM\tserverId=server_1\topId=a"),
    (api.SetHealth(False, True), "SET_HEALTH\tserverId=server_1\twant=0\tstored=1"),
    (api.SetFreeValue(0.25), "SIGNAL\tserverId=server_1\tx=0.25"),
    (api.CloseIdle(2000.0), "CLOSE_IDLE\tserverId=server_1\tforTimeMs=2000.0"),
    (api.WakeAt(12.34567, "t"), "SET_TIMER\tserverId=server_1\tatMs=12.346\tnonce=t"),
]


@pytest.mark.parametrize(("action", "line"), ACTION_LINES, ids=lambda value: type(value).__name__)
def test_action_round_trip(action, line):
    assert benchlink.format_action("server_1", action) == line
    assert set(benchlink.ACTIONS[type(action)][1]) == {field.name for field in fields(action)}


def test_every_action_is_in_the_round_trip():
    assert {type(action) for action, _ in ACTION_LINES} == set(benchlink.ACTIONS)


def test_a_batch_gets_one_reply_and_an_empty_one_an_empty_reply():
    replies = serve(batch_text(1, start_line()), batch_text(2), batch_text(3, query_line("q1")))
    assert len(replies) == 3 and replies[1] == []
    assert "EXECUTE\tserverId=server_1\topId=q1" in replies[2]


def test_servers_share_nothing_and_a_restart_loses_all_state():
    alone = serve(batch_text(1, start_line()), batch_text(2, query_line("q1")))
    queries = [query_line(f"x{n}", "server_2") for n in range(50)]
    together = serve(batch_text(1, start_line(), start_line("server_2")), batch_text(2, *queries, query_line("q1")))
    assert [line for line in together[1] if "server_1" in line] == alone[1]
    restarted = serve(
        batch_text(1, start_line("server_2")),
        batch_text(2, *queries),
        batch_text(3, "CRASH_NOW\tserverId=server_2"),
        batch_text(4, start_line("server_2")),
        batch_text(5, query_line("q1", "server_2")),
    )
    assert "EXECUTE\tserverId=server_2\topId=q1" in restarted[4]


@pytest.mark.parametrize(
    "lines",
    [
        [start_line(), start_line()],
        ["CRASH_NOW\tserverId=server_1", start_line()],
        [start_line(), "DONE\tserverId=server_1\topId=never\thow=skipped\ttimeTakenMs=0"],
        [start_line(), "DROPPED\tserverId=server_1\topId=never"],
    ],
)
def test_unusual_but_legal_batches_are_served(lines):
    replies = serve(batch_text(1, *lines), batch_text(2, query_line("q1")))
    assert "EXECUTE\tserverId=server_1\topId=q1" in replies[1]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("HELLO\n", "expected FRAME"),
        ("FRAME\ttMs=soon\n", "no number as tMs"),
        (batch_text(1, "QUERY\topId=a"), "names no instance"),
        (batch_text(1, query_line("a")), "never started"),
        (batch_text(1, start_line(), "TELEPORT\tserverId=server_1"), "unknown event 'TELEPORT'"),
        (batch_text(1, start_line(), "DONE\tserverId=server_1\topId=a\thow=weird"), "bad value for how"),
        (batch_text(1, start_line(), "DONE\tserverId=server_1\thow=done"), "missing opId"),
        (batch_text(1, start_line(), "DONE\tserverId=server_1\topId"), "not a name=value pair"),
        (batch_text(1, start_line(), query_line("a", footprint="nan")), "bad value for footprint"),
        (batch_text(1, start_line(), query_line("a", tierClass="nobody")), "unknown class"),
        (batch_text(1, start_line(**{"classes.count": "many"})), "bad value for classes.count"),
        (batch_text(1, start_line(**{"familyInfo.nCores": "x"})), "bad value for familyInfo.nCores"),
        (batch_text(1, start_line(**{"familyInfo.classSkipWorth": "x"})), "bad value for familyInfo.classSkipWorth"),
        (batch_text(1, "ENLIST\tserverId=server_1\tnonce64=x"), "nonce64"),
        ("FRAME\ttMs=1\n", "ends within a batch"),
    ],
)
def test_the_error_names_malformed_input(text, message):
    with pytest.raises(benchlink.WireError, match=message):
        serve(text)


def run(text: str) -> subprocess.CompletedProcess[str]:
    root = Path(__file__).parent.parent
    return subprocess.run(
        [sys.executable, "-m", "flintshift.benchlink"],
        input=text,
        text=True,
        capture_output=True,
        cwd=root,
        env={**os.environ, "PYTHONPATH": str(root)},
        check=False,
    )


def test_the_process_exits_0_at_the_end_of_input_and_2_on_malformed_input():
    served = run(batch_text(1, start_line()))
    assert served.returncode == 0 and served.stdout.endswith("END\n") and not served.stderr
    rejected = run(batch_text(1, "NOISE\tserverId=server_1"))
    assert rejected.returncode == 2 and not rejected.stdout
    assert rejected.stderr == "flintshift.benchlink: line 2: unknown event 'NOISE'\n"


def test_an_exception_of_the_decision_module_is_reported_on_the_wire(monkeypatch):
    def broken(self, now_ms, event):
        raise IndexError("nothing\tthere")

    monkeypatch.setattr(benchlink.Controller, "handle", broken)
    assert serve(batch_text(1, start_line())) == [["EXCEPTION\tserverId=server_1\ttext=IndexError: nothing there"]]
