"""Keyed requests and shared reads: what is remembered, for how long, and what a repeat gets."""

from __future__ import annotations

from steps import answers, of

from flintshift import interface as api


def test_keyed_is_remembered_before_it_runs_and_repeats_follow_it(make_server):
    server = make_server()
    request, actions = server.arrive("pay")
    assert actions.index(api.Keep(request, 8000.0)) < actions.index(api.Run(request))
    again, actions = server.arrive("pay", repeat_of=request)
    assert actions == [api.AnswerFromOriginal(again)]
    acts = [action for _ in range(80) for action in server.tick()]
    assert answers(acts, again)


def test_refused_keyed_is_forgotten_and_its_repeat_is_new_work(make_server):
    server = make_server()
    server.tick(memory=0.99)
    request, actions = server.arrive("pay")
    assert answers(actions, request) and not of(actions, api.Keep)
    server.tick(memory=0.1)
    server.fill("buy")
    held = [server.arrive("pay")[0] for _ in range(3)]
    acts = server.tick(after_ms=900)
    assert {a.request for a in of(acts, api.Refuse)} >= set(held)
    assert {a.request for a in of(acts, api.Forget)} >= set(held)
    _, actions = server.arrive("pay", repeat_of=held[0])
    assert not of(actions, api.AnswerFromOriginal) and of(actions, api.Keep)


def test_keys_have_a_memory_budget_and_leave_it_in_time(make_server):
    server = make_server(memory_kb=1000.0, key_kb=100.0)
    refused = 0
    for _ in range(9):
        request, actions = server.arrive("pay", held_kb=1.0)
        refused += bool(answers(actions, request))
        server.end_run(request)
    assert refused == 3
    server.tick(after_ms=8001)
    request, actions = server.arrive("pay", held_kb=1.0)
    assert of(actions, api.Keep)


def test_fresh_reads_are_kept_only_where_told(make_server):
    for fresh, kept in ((0.0, 0), (500.0, 1)):
        server = make_server(fresh_ms=fresh)
        _, actions = server.arrive("look", subject=7)
        assert len(of(actions, api.Keep)) == kept


def test_repeats_that_wait_for_their_original_keep_to_the_memory(make_server):
    """Guards against a server that runs out of memory on repeats, which are answered past the watermark."""
    server = make_server(memory_kb=1000.0)
    original, _ = server.arrive("pay")
    answered = [server.arrive("pay", repeat_of=original, held_kb=100.0)[1] for _ in range(12)]
    failed = [acts for acts in answered if of(acts, api.Fail)]
    assert len(failed) >= 3 and not any(of(acts, api.Refuse) for acts in answered)
    assert len(answered) - len(failed) <= 9
