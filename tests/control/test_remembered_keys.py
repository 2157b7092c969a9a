"""Keyed requests and shared reads: which are remembered, for how long, and how a repeat is answered."""

from __future__ import annotations

from control_helpers import final_answers, of_type

from flintshift import interface as api


def test_a_keyed_request_is_remembered_before_it_runs_and_its_repeats_follow_it(make_server):
    server = make_server()
    request, actions = server.arrive("pay")
    assert actions.index(api.RememberKey(request, 8000.0)) < actions.index(api.Run(request))
    repeat, actions = server.arrive("pay", repeat_of=request)
    assert actions == [api.AnswerFromOriginal(repeat)]
    later_actions = [action for _ in range(80) for action in server.tick()]
    assert final_answers(later_actions, repeat)


def test_a_rejected_keyed_request_is_forgotten_and_its_repeat_is_new_work(make_server):
    server = make_server()
    server.tick(memory=0.99)
    request, actions = server.arrive("pay")
    assert final_answers(actions, request) and not of_type(actions, api.RememberKey)
    server.tick(memory=0.1)
    server.fill("buy")
    queued = [server.arrive("pay")[0] for _ in range(3)]
    later_actions = server.tick(after_ms=900)
    assert {a.request for a in of_type(later_actions, api.Reject)} >= set(queued)
    assert {a.request for a in of_type(later_actions, api.ReleaseKey)} >= set(queued)
    _, actions = server.arrive("pay", repeat_of=queued[0])
    assert not of_type(actions, api.AnswerFromOriginal) and of_type(actions, api.RememberKey)


def test_keys_have_a_memory_budget_and_expire(make_server):
    server = make_server(memory_kb=1000.0, key_kb=100.0)
    reject_count = 0
    for _ in range(9):
        request, actions = server.arrive("pay", held_kb=1.0)
        reject_count += bool(final_answers(actions, request))
        server.end_run(request)
    assert reject_count == 3
    server.tick(after_ms=8001)
    request, actions = server.arrive("pay", held_kb=1.0)
    assert of_type(actions, api.RememberKey)


def test_reads_are_remembered_only_where_the_settings_say_how_long(make_server):
    for fresh_ms, remembered in ((0.0, 0), (500.0, 1)):
        server = make_server(fresh_ms=fresh_ms)
        _, actions = server.arrive("look", subject=7)
        assert len(of_type(actions, api.RememberKey)) == remembered


def test_repeats_that_wait_for_their_original_stay_within_the_memory(make_server):
    """Guards against a server that runs out of memory because repeats are accepted above the watermark."""
    server = make_server(memory_kb=1000.0)
    original, _ = server.arrive("pay")
    answers = [server.arrive("pay", repeat_of=original, held_kb=100.0)[1] for _ in range(12)]
    failed = [actions for actions in answers if of_type(actions, api.Fail)]
    assert len(failed) >= 3 and not any(of_type(actions, api.Reject) for actions in answers)
    assert len(answers) - len(failed) <= 9
