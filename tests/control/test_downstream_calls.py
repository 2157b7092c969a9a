"""Calls to other services: how many are open at once, which are skipped, and which are repeated."""

from __future__ import annotations

import pytest
from control_helpers import final_answers, of_type

from flintshift import interface as api
from flintshift.interface import Outcome


def test_call_time_stays_under_the_configured_share_and_abandoned_calls_count(make_server):
    server = make_server(call_share=4.8, call_window_ms=500.0)  # 0.65 of it: 1560 ms of call time
    first, second, third = (server.arrive("buy")[0] for _ in range(3))
    assert of_type(server.request_call(first), api.Call) == [api.Call(first, 1000.0)]  # plus 200 ms of lingering
    assert of_type(server.request_call(second), api.Call) == [api.Call(second, 160.0)]  # the rest
    assert not of_type(server.request_call(third), api.Call)
    server.now += 160.0
    abandoned = server.end_call(second, Outcome.TIMED_OUT)  # it lingers, so its charge stays
    assert api.Fail(second) in abandoned and not of_type(abandoned, api.Call)
    assert of_type(server.end_call(first), api.Call) == [api.Call(third, 840.0)]  # it took 160 of its 1200 ms


def test_no_more_calls_are_open_at_once_than_the_share_allows(make_server):
    server = make_server(call_share=3.4)
    made = [of_type(server.request_call(server.arrive("buy")[0]), api.Call) for _ in range(4)]
    assert [len(calls) for calls in made] == [1, 1, 0, 0]


def test_a_skippable_call_waits_for_capacity_while_its_aim_leaves_time(make_server):
    server = make_server(call_share=1.1)  # 1430 ms may be used: one call and its lingering
    first, second = server.arrive("buy")[0], server.arrive("list")[0]
    server.request_call(first)
    assert not of_type(server.request_call(second), api.SkipCall)
    assert api.SkipCall(second) in server.tick(after_ms=950)


def test_a_skippable_call_is_skipped_at_once_while_calls_are_slow(make_server):
    server = make_server(call_share=1.2)
    for took_ms in (20.0, 900.0, 900.0):
        request = server.arrive("look")[0]
        server.request_call(request)
        server.end_call(request, took_ms=took_ms)
        server.end_run(request)
    first, second = server.arrive("buy")[0], server.arrive("list")[0]
    server.request_call(first)
    assert api.SkipCall(second) in server.request_call(second)


def test_calls_with_effect_are_repeated_only_when_proven_not_run(make_server):
    for outcome, repeated in (
        (Outcome.REJECTED, True),
        (Outcome.UNREACHABLE, True),
        (Outcome.TIMED_OUT, False),
        (Outcome.ERROR, False),
        (Outcome.INTERRUPTED, False),
    ):
        server = make_server()
        request, _ = server.arrive("pay")
        server.request_call(request)
        actions = server.end_call(request, outcome) + server.tick(after_ms=400) + server.tick(after_ms=40)
        assert bool(of_type(actions, api.Call)) is repeated
        assert bool(final_answers(actions, request)) is not repeated


def test_a_failed_skippable_call_is_skipped(make_server):
    server = make_server()
    request, _ = server.arrive("list")
    server.request_call(request)
    assert api.SkipCall(request) in server.end_call(request, Outcome.ERROR)


def test_calls_that_may_not_be_skipped_never_are(make_server):
    server = make_server(call_share=1.0)
    actions = []
    for _ in range(2):
        request, _ = server.arrive("buy")
        actions += server.request_call(request)
    actions += [action for _ in range(80) for action in server.tick(busy=1.0, run_queue=50)]
    assert not of_type(actions, api.SkipCall)


def test_a_share_under_one_is_kept_over_its_window(make_server):
    server = make_server(call_share=0.2, call_window_ms=1000.0, linger_ms=20.0, cores=8)
    call_count = 0
    for _ in range(100):
        request, _ = server.arrive("buy")
        calls = of_type(server.request_call(request), api.Call)
        call_count += len(calls)
        server.now += 40.0
        if calls:
            server.end_call(request, took_ms=40.0)
        server.end_run(request)
    assert 100 * 0.06 < call_count < 100 * 0.65 * 0.2


def test_slow_calls_reduce_even_a_share_under_one(make_server):
    """Guards against a dependency that collapses because every server keeps one slow call open."""
    server = make_server(call_share=0.5, call_window_ms=1000.0, linger_ms=0.0, cores=8)
    for took_ms in [10.0] * 5 + [100.0] * 60:
        request, _ = server.arrive("buy")
        server.now += 1500.0  # no call is left in the window
        assert of_type(server.request_call(request), api.Call)
        server.now += took_ms
        server.end_call(request, took_ms=took_ms)
        server.end_run(request)
    request, _ = server.arrive("buy")
    assert not of_type(server.request_call(request), api.Call)


@pytest.mark.parametrize("share", [0.12, 0.3, 0.62, 1.4, 5.0])
def test_calls_that_all_hang_stay_under_the_share_in_every_window(make_server, share):
    """Guards against a dependency that collapses because each server expects its open calls to be short."""
    server = make_server(cores=8, call_share=share, call_window_ms=5000.0)
    calls: dict[str, list[float]] = {}  # start, and end including the lingering
    open_until: dict[str, float] = {}

    def handle_actions(actions: list[api.Action]) -> None:
        for action in of_type(actions, api.Call):
            open_until[action.request] = server.now + action.limit_ms
            calls[action.request] = [server.now, server.now + action.limit_ms + 200.0]
        for action in of_type(actions, api.Fail):  # a run that waits for its call ends with the answer
            if action.request not in open_until:
                handle_actions(server.end_run(action.request, Outcome.STOPPED))

    for tick in range(600):
        is_short = tick < 50  # afterwards every call lasts to its limit, and lingers
        for request, end in list(open_until.items()):
            if is_short or end <= server.now:
                del open_until[request]
                call = calls[request]
                if is_short:
                    call[1] = server.now
                outcome = Outcome.OK if is_short else Outcome.TIMED_OUT
                handle_actions(server.end_call(request, outcome, took_ms=server.now - call[0]))
                handle_actions(server.end_run(request))
        for name in ("buy", "list"):
            request, actions = server.arrive(name)
            handle_actions(actions)
            if api.Run(request) in actions:
                handle_actions(server.request_call(request))
        handle_actions(server.tick(busy=0.5, run_queue=1.0))
    max_call_ms = max(
        sum(max(0.0, min(end, window_end) - max(start, window_end - 5000.0)) for start, end in calls.values())
        for _, window_end in calls.values()
    )
    assert len(calls) > 6 and 0.4 * share < max_call_ms / 5000.0 <= 0.65 * share + 1e-9


def test_a_process_that_may_follow_another_leaves_capacity_for_its_calls(make_server):
    """Guards against a dependency that collapses because restarted processes forget the calls that still run there."""
    used_ms = {}
    for cold in (False, True):
        server = make_server(call_share=1.0, call_window_ms=1000.0, cold=cold, cold_from=0.9, cold_ms=9000.0)
        request, _ = server.arrive("buy")
        used_ms[cold] = of_type(server.request_call(request), api.Call)[0].limit_ms + 200.0
        server.end_call(request)
        server.now += 1300.0
        request, _ = server.arrive("buy")
        assert of_type(server.request_call(request), api.Call)[0].limit_ms + 200.0 == pytest.approx(650.0)
    assert used_ms[False] + used_ms[True] <= 0.95 * 1000.0


def test_runs_that_all_return_from_calls_stay_within_the_survivable_concurrency(make_server):
    """Guards against a server that collapses when all its calls end at once and more runs have started."""
    server = make_server(call_share=50.0, call_window_ms=1000.0)
    calling = []
    for _ in range(40):
        request, actions = server.arrive("buy")
        if api.Run(request) in actions and of_type(server.request_call(request), api.Call):
            calling.append(request)
    server.fill("look")
    running = sum(work.stage.name == "RUNNING" for work in server.control.work.values())
    assert len(calling) > 3 and running + len(calling) <= 2 * 5


def test_runs_with_skipped_calls_resume_only_as_the_cores_have_capacity(make_server):
    """Guards against a server that collapses when all runs in the call queue go on without their calls at once."""
    server = make_server(call_share=0.2, call_window_ms=500.0, cores=1, fall_multiple=3.0)  # capacity for no call
    queued = []
    for _ in range(8):
        request, actions = server.arrive("list")
        assert api.Run(request) in actions
        queued.append(request)
        assert not of_type(server.request_call(request), api.SkipCall)
    assert len(of_type(server.tick(after_ms=980.0), api.SkipCall)) == 3
    assert len(of_type(server.end_run(queued[0]), api.SkipCall)) == 1


def test_a_call_abandoned_with_its_run_still_lingers(make_server):
    server = make_server(call_share=1.0, call_window_ms=1000.0)
    first, second = server.arrive("list")[0], server.arrive("buy")[0]
    server.request_call(first)
    server.now += 400.0
    server.end_run(first, Outcome.STOPPED)  # it was answered, and the call abandoned: 600 ms in all
    assert not of_type(server.request_call(second), api.Call)


def test_calls_are_made_only_as_the_cores_could_take_them_all_back(make_server):
    server = make_server(call_share=6.4, call_window_ms=300.0, cores=1, fall_multiple=2.0)  # the core survives two runs
    first, _ = server.arrive("buy")
    server.request_call(first)  # takes all the call time that may be charged
    queued = []
    while len(queued) < 3:
        request, actions = server.arrive("buy")
        assert api.Run(request) in actions
        assert not of_type(server.request_call(request), api.Call)
        queued.append(request)
    server.now += 850.0  # little of their aim remains, so that two calls would fit
    assert len(of_type(server.end_call(first), api.Call)) == 1


def test_skippable_calls_use_less_of_the_share_while_calls_are_slow(make_server):
    """Guards against a slow dependency that is filled with skippable calls, so that others get none."""
    server = make_server(call_share=0.62, call_window_ms=5000.0, cores=8)
    skippable, required = server.arrive("list")[0], server.arrive("buy")[0]
    for took_ms in [10.0] * 5 + [1200.0]:
        request, _ = server.arrive("buy")
        server.request_call(request)
        server.now += took_ms
        server.end_call(request, took_ms=took_ms)
        server.end_run(request)
    assert api.SkipCall(skippable) in server.request_call(skippable)
    assert of_type(server.request_call(required), api.Call)


def test_a_skippable_call_is_abandoned_once_it_is_slow(make_server):
    """Guards against the moment a dependency becomes slow: calls made then last long before the mean shows it."""
    server = make_server(cores=8)
    for _ in range(5):
        request, _ = server.arrive("buy")
        server.request_call(request)
        server.now += 20.0
        server.end_call(request, took_ms=20.0)
        server.end_run(request)
    for name, limit_ms in (("list", 320.0), ("buy", 1000.0)):
        request, _ = server.arrive(name)
        assert of_type(server.request_call(request), api.Call) == [api.Call(request, pytest.approx(limit_ms))]
        server.end_call(request)


def test_ended_calls_are_summed_and_not_looped_over_again(make_server):
    # Guards against decisions that cost more as the window contains more calls.
    server = make_server(call_share=50.0, call_window_ms=2000.0, linger_ms=100.0)
    spans = []
    for number in range(300):
        request, _ = server.arrive("list")
        calls = [action for action in server.request_call(request) if isinstance(action, api.Call)]
        start_ms = server.now
        server.now += 10.0 + number % 7
        outcome = Outcome.TIMED_OUT if number % 5 == 0 else Outcome.OK
        server.end_call(request, outcome, server.now - start_ms)
        if calls:
            spans.append((start_ms, server.now + 100.0 * (outcome is Outcome.TIMED_OUT)))
        server.end_run(request)
        window_start_ms = server.now - 2000.0
        pending, spent_ms, _ = server.control._call_usage()
        exact_ms = sum(max(0.0, end - max(start, window_start_ms)) for start, end in spans)
        # Lingering calls may count in full while they leave the window.
        assert exact_ms - 1e-6 <= spent_ms <= exact_ms + 200.0
        assert pending == len(server.control.calls) == sum(end > server.now for _, end in spans)
    assert len(spans) > 200 and len(server.control.past_calls) < 200


def test_a_read_whose_reply_was_lost_calls_once_more_and_then_skips_the_call(make_server):
    server = make_server()
    request, _ = server.arrive("list")
    assert any(isinstance(action, api.Call) for action in server.request_call(request))
    actions = server.end_call(request, Outcome.INTERRUPTED)
    assert any(isinstance(action, api.Call) for action in actions)
    assert api.SkipCall(request) in server.end_call(request, Outcome.INTERRUPTED)
