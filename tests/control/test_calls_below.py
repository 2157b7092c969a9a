"""Calls to what lies below: how many at once, which are left out, which are made again."""

from __future__ import annotations

import pytest
from steps import answers, of

from flintshift import interface as api
from flintshift.interface import Outcome


def test_calls_in_hand_stay_under_the_told_share_and_abandoned_ones_count(make_server):
    server = make_server(call_share=4.8, call_window_ms=500.0)  # 0.65 of it: 1560 ms of calls
    first, second, third = (server.arrive("buy")[0] for _ in range(3))
    assert of(server.request_call(first), api.Call) == [api.Call(first, 1000.0)]  # and 200 to linger
    assert of(server.request_call(second), api.Call) == [api.Call(second, 160.0)]  # what is left
    assert not of(server.request_call(third), api.Call)
    server.now += 160.0
    abandoned = server.end_call(second, Outcome.TIMED_OUT)  # lingers, so nothing is back
    assert api.Fail(second) in abandoned and not of(abandoned, api.Call)
    assert of(server.end_call(first), api.Call) == [api.Call(third, 840.0)]  # it took 160 of its 1200


def test_no_more_calls_are_in_hand_at_once_than_the_share_allows(make_server):
    server = make_server(call_share=3.4)
    made = [of(server.request_call(server.arrive("buy")[0]), api.Call) for _ in range(4)]
    assert [len(calls) for calls in made] == [1, 1, 0, 0]


def test_skippable_call_waits_for_room_while_its_aim_leaves_time(make_server):
    server = make_server(call_share=1.1)  # 1430 ms may be used: one call and its linger
    first, second = server.arrive("buy")[0], server.arrive("list")[0]
    server.request_call(first)
    assert not of(server.request_call(second), api.SkipCall)
    assert api.SkipCall(second) in server.tick(after_ms=950)


def test_skippable_call_is_left_out_at_once_while_calls_are_slow(make_server):
    server = make_server(call_share=1.2)
    for took in (20.0, 900.0, 900.0):
        request = server.arrive("look")[0]
        server.request_call(request)
        server.end_call(request, took_ms=took)
        server.end_run(request)
    first, second = server.arrive("buy")[0], server.arrive("list")[0]
    server.request_call(first)
    assert api.SkipCall(second) in server.request_call(second)


def test_calls_with_effect_are_repeated_only_when_proven_not_run(make_server):
    for outcome, again in (
        (Outcome.REJECTED, True),
        (Outcome.UNREACHABLE, True),
        (Outcome.TIMED_OUT, False),
        (Outcome.ERROR, False),
        (Outcome.INTERRUPTED, False),
    ):
        server = make_server()
        request, _ = server.arrive("pay")
        server.request_call(request)
        acts = server.end_call(request, outcome) + server.tick(after_ms=400) + server.tick(after_ms=40)
        assert bool(of(acts, api.Call)) is again
        assert bool(answers(acts, request)) is not again


def test_failed_call_of_a_skippable_request_is_left_out(make_server):
    server = make_server()
    request, _ = server.arrive("list")
    server.request_call(request)
    assert api.SkipCall(request) in server.end_call(request, Outcome.ERROR)


def test_calls_that_may_not_be_left_out_never_are(make_server):
    server = make_server(call_share=1.0)
    acts = []
    for _ in range(2):
        request, _ = server.arrive("buy")
        acts += server.request_call(request)
    acts += [action for _ in range(80) for action in server.tick(busy=1.0, run_queue=50)]
    assert not of(acts, api.SkipCall)


def test_share_under_one_is_kept_over_its_window(make_server):
    server = make_server(call_share=0.2, call_window_ms=1000.0, linger_ms=20.0, cores=8)
    calls = 0
    for _ in range(100):
        request, _ = server.arrive("buy")
        called = of(server.request_call(request), api.Call)
        calls += len(called)
        server.now += 40.0
        if called:
            server.end_call(request, took_ms=40.0)
        server.end_run(request)
    assert 100 * 0.06 < calls < 100 * 0.65 * 0.2


def test_slow_calls_shrink_even_a_share_under_one(make_server):
    """Guards against a dependency that falls over because every server keeps one slow call in hand."""
    server = make_server(call_share=0.5, call_window_ms=1000.0, linger_ms=0.0, cores=8)
    for took in [10.0] * 5 + [100.0] * 60:
        request, _ = server.arrive("buy")
        server.now += 1500.0  # the window is clear
        assert of(server.request_call(request), api.Call)
        server.now += took
        server.end_call(request, took_ms=took)
        server.end_run(request)
    request, _ = server.arrive("buy")
    assert not of(server.request_call(request), api.Call)


@pytest.mark.parametrize("share", [0.12, 0.3, 0.62, 1.4, 5.0])
def test_calls_that_all_hang_stay_under_the_share_in_every_window(make_server, share):
    """Guards against a dependency that falls over: each server on its own held a call it took for short."""
    server = make_server(cores=8, call_share=share, call_window_ms=5000.0)
    calls: dict[str, list[float]] = {}  # start, and the end with the time it lingers
    open_until: dict[str, float] = {}

    def take(acts: list[api.Action]) -> None:
        for act in of(acts, api.Call):
            open_until[act.request] = server.now + act.limit_ms
            calls[act.request] = [server.now, server.now + act.limit_ms + 200.0]
        for act in of(acts, api.Fail):  # what stands at a call ends there
            if act.request not in open_until:
                take(server.end_run(act.request, Outcome.STOPPED))

    for tick in range(600):
        short = tick < 50  # then every call is held to its limit, and lingers
        for request, end in list(open_until.items()):
            if short or end <= server.now:
                del open_until[request]
                call = calls[request]
                if short:
                    call[1] = server.now
                outcome = Outcome.OK if short else Outcome.TIMED_OUT
                take(server.end_call(request, outcome, took_ms=server.now - call[0]))
                take(server.end_run(request))
        for name in ("buy", "list"):
            request, acts = server.arrive(name)
            take(acts)
            if api.Run(request) in acts:
                take(server.request_call(request))
        take(server.tick(busy=0.5, run_queue=1.0))
    most = max(
        sum(max(0.0, min(end, to) - max(start, to - 5000.0)) for start, end in calls.values())
        for _, to in calls.values()
    )
    assert len(calls) > 6 and 0.4 * share < most / 5000.0 <= 0.65 * share + 1e-9


def test_a_life_that_may_follow_another_leaves_its_calls_room(make_server):
    """Guards against a dependency that falls over as restarted processes forget their calls still below."""
    used = {}
    for cold in (False, True):
        server = make_server(call_share=1.0, call_window_ms=1000.0, cold=cold, cold_from=0.9, cold_ms=9000.0)
        request, _ = server.arrive("buy")
        used[cold] = of(server.request_call(request), api.Call)[0].limit_ms + 200.0
        server.end_call(request)
        server.now += 1300.0
        request, _ = server.arrive("buy")
        assert of(server.request_call(request), api.Call)[0].limit_ms + 200.0 == pytest.approx(650.0)
    assert used[False] + used[True] <= 0.95 * 1000.0


def test_runs_that_all_come_back_from_calls_stay_within_the_survivable_crowd(make_server):
    """Guards against a server that falls over when all its calls end at once, with more runs begun."""
    server = make_server(call_share=50.0, call_window_ms=1000.0)
    back = []
    for _ in range(40):
        request, acts = server.arrive("buy")
        if api.Run(request) in acts and of(server.request_call(request), api.Call):
            back.append(request)
    server.fill("look")
    running = sum(work.stage.name == "RUNNING" for work in server.control.work.values())
    assert len(back) > 3 and running + len(back) <= 2 * 5


def test_left_out_calls_rejoin_the_cores_only_as_these_have_room(make_server):
    """Guards against a server that falls over when a whole line is told to go on without its calls."""
    server = make_server(call_share=0.2, call_window_ms=500.0, cores=1, fall_multiple=3.0)  # no call fits
    lined = []
    for _ in range(8):
        request, acts = server.arrive("list")
        assert api.Run(request) in acts
        lined.append(request)
        assert not of(server.request_call(request), api.SkipCall)
    assert len(of(server.tick(after_ms=980.0), api.SkipCall)) == 3
    assert len(of(server.end_run(lined[0]), api.SkipCall)) == 1


def test_a_call_that_is_left_with_its_run_still_lingers(make_server):
    server = make_server(call_share=1.0, call_window_ms=1000.0)
    first, second = server.arrive("list")[0], server.arrive("buy")[0]
    server.request_call(first)
    server.now += 400.0
    server.end_run(first, Outcome.STOPPED)  # its answer was given, and the call abandoned: 600 in all
    assert not of(server.request_call(second), api.Call)


def test_calls_are_made_only_as_the_cores_could_take_them_all_back(make_server):
    server = make_server(call_share=6.4, call_window_ms=300.0, cores=1, fall_multiple=2.0)  # two survive on the core
    first, _ = server.arrive("buy")
    server.request_call(first)  # takes all that may be charged
    lined = []
    while len(lined) < 3:
        request, acts = server.arrive("buy")
        assert api.Run(request) in acts
        assert not of(server.request_call(request), api.Call)
        lined.append(request)
    server.now += 850.0  # the rest of their aim is short, so that two would fit below
    assert len(of(server.end_call(first), api.Call)) == 1


def test_skippable_calls_take_less_of_the_share_while_calls_are_slow(make_server):
    """Guards against a slow dependency filled with calls that could be left out: others then get none."""
    server = make_server(call_share=0.62, call_window_ms=5000.0, cores=8)
    poorer, dear = server.arrive("list")[0], server.arrive("buy")[0]
    for took in [10.0] * 5 + [1200.0]:
        request, _ = server.arrive("buy")
        server.request_call(request)
        server.now += took
        server.end_call(request, took_ms=took)
        server.end_run(request)
    assert api.SkipCall(poorer) in server.request_call(poorer)
    assert of(server.request_call(dear), api.Call)


def test_a_call_that_may_be_left_out_is_given_up_once_it_is_slow(make_server):
    """Guards against the onset of a slow dependency: all calls made then last long, unlearned."""
    server = make_server(cores=8)
    for _ in range(5):
        request, _ = server.arrive("buy")
        server.request_call(request)
        server.now += 20.0
        server.end_call(request, took_ms=20.0)
        server.end_run(request)
    for name, limit_ms in (("list", 320.0), ("buy", 1000.0)):
        request, _ = server.arrive(name)
        assert of(server.request_call(request), api.Call) == [api.Call(request, pytest.approx(limit_ms))]
        server.end_call(request)


def test_calls_that_are_over_are_summed_and_not_walked_over_again(make_server):
    # Guards against decisions that cost more the more calls the window holds.
    server = make_server(call_share=50.0, call_window_ms=2000.0, linger_ms=100.0)
    ends = []
    for turn in range(300):
        request, _ = server.arrive("list")
        asked = [action for action in server.request_call(request) if isinstance(action, api.Call)]
        started = server.now
        server.now += 10.0 + turn % 7
        outcome = Outcome.TIMED_OUT if turn % 5 == 0 else Outcome.OK
        server.end_call(request, outcome, server.now - started)
        if asked:
            ends.append((started, server.now + 100.0 * (outcome is Outcome.TIMED_OUT)))
        server.end_run(request)
        since = server.now - 2000.0
        in_hand, spent, _ = server.control._call_room()
        exact = sum(max(0.0, end - max(start, since)) for start, end in ends)
        assert exact - 1e-6 <= spent <= exact + 200.0  # those that linger may count whole while they leave
        assert in_hand == len(server.control.calls) == sum(end > server.now for _, end in ends)
    assert len(ends) > 200 and len(server.control.past) < 200


def test_a_read_whose_reply_was_lost_calls_once_more_and_then_goes_on_poorer(make_server):
    server = make_server()
    request, _ = server.arrive("list")
    assert any(isinstance(action, api.Call) for action in server.request_call(request))
    again = server.end_call(request, Outcome.INTERRUPTED)
    assert any(isinstance(action, api.Call) for action in again)
    assert api.SkipCall(request) in server.end_call(request, Outcome.INTERRUPTED)
