"""The fair queue alone: the order of requests, who is charged for bursts and costly requests, and bounded tables."""

from __future__ import annotations

import itertools
import math
import random
import tracemalloc
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintshift.fair_queueing.fair_queue import MAX_ENTRY_BYTES, FairQueue, QueueBounds
from flintshift.fair_queueing.messages import (
    QueueSettings,
    RequestArrived,
    RequestRejected,
    RequestWithdrawn,
    RunEnded,
    RunStarted,
)
from flintshift.fair_queueing.reservations import CalendarBounds

KEY, EQUAL_WEIGHTS = b"k" * 16, {"a": 1.0, "b": 1.0}


class SimulatedServer:
    """A server that serves the request with the smallest rank first."""

    def __init__(self, weights=EQUAL_WEIGHTS, repeats_marked=True, **bounds):
        self.queue = FairQueue(
            QueueSettings(weights, 1, {"look": 10.0, "costly": 10.0}, repeats_marked), KEY, QueueBounds(**bounds)
        )
        self.numbers, self.waiting, self.served_ms = itertools.count(), [], Counter()

    def arrive(self, club="a", caller=1, times=1, class_name="look", now_ms=0.0):
        for _ in range(times):
            request = f"r{next(self.numbers)}"
            self.queue.handle(now_ms, RequestArrived(request, club, caller, class_name))
            self.waiting.append((request, club, caller))
        return request

    def next_request(self):
        return min(self.waiting, key=lambda waiting: self.queue.rank_ms(waiting[0]))

    def serve(self, times=1, took_ms=10.0):
        """Serve ``times`` requests; return their clubs in order."""
        order = []
        for _ in range(times):
            first = request, club, caller = self.next_request()
            self.waiting.remove(first)
            self.queue.handle(0.0, RunStarted(request))
            self.queue.handle(0.0, RunEnded(request, took_ms))
            self.served_ms.update({club: took_ms, (club, caller): took_ms})
            order.append(club)
        return order

    def withdraw(self, request):
        self.waiting = [waiting for waiting in self.waiting if waiting[0] != request]
        self.queue.handle(0.0, RequestWithdrawn(request))

    def alternates(self, max_lead=2, times=20):
        order = self.serve(times)
        return all(abs(order[:count].count("a") - order[:count].count("b")) <= max_lead for count in range(times + 1))


@settings(max_examples=150, deadline=None)
@given(weights=st.tuples(*[st.floats(0.5, 8.0)] * 3), seed=st.integers(0, 10_000))
def test_served_cost_of_clubs_that_always_wait_differs_by_at_most_the_bound(weights, seed):
    generator, names = random.Random(seed), ("a", "b", "c")
    server = SimulatedServer(dict(zip(names, weights, strict=True)))
    weights_in_cores = server.queue.weights
    for club in names:
        server.arrive(club, times=generator.randrange(3, 9))
    for _ in range(120):
        server.arrive(*server.serve())  # the club waits again at once
        for _ in range(generator.randrange(2)):  # other requests arrive and are withdrawn
            server.withdraw(server.arrive(generator.choice(names)))
        served_by_weight = [server.served_ms[club] / weights_in_cores[club] for club in names]
        for first, second in itertools.combinations(range(3), 2):
            assert (
                abs(served_by_weight[first] - served_by_weight[second])
                <= 10.0 / weights_in_cores[names[first]] + 10.0 / weights_in_cores[names[second]] + 1e-6
            )


def test_unused_share_goes_to_clubs_that_wait_and_is_not_saved():
    server = SimulatedServer()
    server.arrive("b")
    server.serve()
    for _ in range(50):
        server.arrive()
        assert server.serve() == ["a"]  # it is alone and has the whole node
    server.arrive(times=20)
    server.arrive("b", times=20)
    # "b" saved nothing while it was idle, and "a" isn't charged for using its share: they alternate from here on.
    assert server.alternates()
    server = SimulatedServer({"a": 1.0})
    server.arrive(caller=2)
    server.arrive(times=40)
    server.serve(41)
    server.arrive(times=3)
    server.arrive(caller=2, times=3)  # the same holds for a caller that was idle
    for _ in range(20):
        caller = server.next_request()[2]
        server.serve()
        server.arrive(caller=caller)
    assert abs(server.served_ms["a", 1] - 400.0 - server.served_ms["a", 2] + 10.0) <= 20.0


def test_withdrawn_burst_costs_its_club_nothing_once_it_ends():
    server = SimulatedServer()
    server.arrive("b")
    for request in [server.arrive() for _ in range(500)][1:]:
        server.withdraw(request)
    server.arrive(times=5)
    server.arrive("b", times=5)
    assert server.alternates(times=10)


def test_burst_of_one_caller_ranks_behind_its_clubs_other_callers_and_delays_no_other_club():
    server = SimulatedServer()
    server.arrive(times=200)
    for caller in range(2, 6):
        server.arrive(caller=caller, times=4)
    server.arrive("b", caller=9, times=16)
    server.serve(40)
    assert [server.served_ms["a", caller] for caller in range(2, 6)] == [40.0] * 4 and server.served_ms["b"] == 160.0
    assert server.served_ms["a", 1] <= 40.0 * 2


def test_club_with_one_caller_keeps_its_share_beside_club_with_500():
    server = SimulatedServer()
    for caller in range(500):
        server.arrive(caller=caller)
    server.arrive("b", times=100)
    server.serve(100)
    assert abs(server.served_ms["a"] - server.served_ms["b"]) <= 20.0


def test_requests_that_cost_a_hundred_times_as_much_are_charged_their_real_cost():
    server = SimulatedServer()
    for _ in range(300):
        server.arrive(class_name="costly")
        server.arrive("b")
    for _ in range(202):
        server.serve(took_ms=1000.0 if server.next_request()[1] == "a" else 10.0)
    assert server.served_ms == {"a": 2000.0, "b": 2000.0, ("a", 1): 2000.0, ("b", 1): 2000.0}
    assert server.queue.class_cost_ms == {"look": 10.0, "costly": pytest.approx(10.0 + 990.0 * (0.1 + 0.09))}
    # Callers of one club too: the one with a costly request waits for as long.
    server = SimulatedServer({"a": 1.0})
    server.arrive(caller=1)
    server.serve(took_ms=100.0)
    server.arrive(caller=1, times=9)
    server.arrive(caller=2, times=20)
    server.serve(5)
    assert server.served_ms["a", 1] == 100.0 and server.served_ms["a", 2] == 50.0


@pytest.mark.parametrize("callers", ["always new", "one bucket"])
def test_tables_are_bounded_for_any_callers_and_clubs(callers):
    server = SimulatedServer(
        {"a": 1.0},
        max_known_callers=8,
        caller_buckets=4,
        max_tracked_requests=50,
        calendar=CalendarBounds(slots=10, reservations_per_slot=6),
    )
    generator = random.Random(3)
    for number in range(20_000):
        caller = generator.getrandbits(63) if callers == "always new" else 1 + number % 3
        request = server.arrive(generator.choice(["a", "none", str(number), None]), caller, now_ms=number * 5.0)
        if number % 7 == 0:
            server.withdraw(request)
        elif number % 5 == 0:
            server.queue.handle(0.0, RunStarted(request))
        elif number % 3 == 0 and server.waiting:
            server.serve()
        elif number % 11 == 0:
            server.queue.handle(number * 5.0, RequestRejected(request, 0.0, 1e6, 0.5))
        assert server.queue.entries <= server.queue.max_entries
        del server.waiting[200:]
    # Tracked requests and classes; for both clubs, "a" and all others: itself, callers, buckets and slots.
    assert server.queue.max_entries == 50 + 2 + 2 * (1 + 8 + 4 + 13 * 7)


@pytest.mark.parametrize("clubs", [1, 5, 50])
def test_full_tables_take_at_most_the_bytes_per_entry(clubs):
    names, generator = [f"c{number}" for number in range(clubs)], random.Random(1)
    requests = [(f"{number:016x}", names[number % clubs], generator.getrandbits(63)) for number in range(12_000)]
    tracemalloc.start()
    queue = FairQueue(QueueSettings(dict.fromkeys(names, 1.0), 2, {"look": 20.0}, True), KEY)
    for number, (request, club, caller) in enumerate(requests):
        queue.handle(0.0, RequestArrived(request, club, caller, "look"))
        if number % 3:
            queue.handle(0.0, RequestRejected(request, 0.0, 20_000.0, 0.5))
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert queue.entries > 4000 and used_bytes <= queue.entries * MAX_ENTRY_BYTES
    assert sum(club_status.asked for club_status in queue.status()) == 12_000


def test_full_table_of_callers_keeps_those_that_wait_or_are_charged_and_drops_others():
    server = SimulatedServer({"a": 1.0}, max_known_callers=4, caller_buckets=2)
    server.arrive(times=20)
    for caller in range(2, 30):
        server.arrive(caller=caller)
    assert set(server.queue.clubs["a"].caller_flows) == {1, 2, 3, 4}
    server.serve(len(server.waiting))
    server.arrive(caller=50)
    assert {1, 50} <= set(server.queue.clubs["a"].caller_flows) and 2 not in server.queue.clubs["a"].caller_flows


def test_callers_chosen_to_share_a_bucket_are_separated_by_a_new_key():
    server = SimulatedServer({"a": 1.0}, max_known_callers=1, caller_buckets=16, rekey_interval_ms=1000.0)
    server.arrive(caller=0)  # it is the one known caller

    def flow_of(caller, now_ms):
        request = server.arrive(caller=caller, now_ms=now_ms)
        flow = server.queue.tracked[request].flow
        server.withdraw(request)
        return flow

    victim = flow_of(1, 0.0)
    for caller in range(2000):
        flow_of(caller, 0.5).charged_ms = 1000.0  # a run of any of them is charged to its whole bucket
    bucket_mates = [caller for caller in range(2, 2000) if flow_of(caller, 1.0) is victim]
    assert len(bucket_mates) > 50
    new_flow = flow_of(1, 1500.0)
    assert new_flow is not victim and new_flow.charged_ms == 0.0
    assert sum(flow_of(caller, 1501.0) is new_flow for caller in bucket_mates) < len(bucket_mates) / 4


def test_new_weights_apply_to_new_requests_and_waiting_ones_keep_their_rank():
    server = SimulatedServer()
    requests = [server.arrive(club) for club in "abab"]
    server.queue.handle(0.0, QueueSettings({"b": 3.0, "c": 1.0}, 2, {"look": 70.0, "new": 30.0}, True))
    assert server.queue.class_cost_ms == {"look": 10.0, "new": 30.0}
    for request in requests[:2]:
        server.withdraw(request)
    assert set(server.queue.clubs) == {"b"} and server.queue.clubs["b"].weight == 1.5
    server.arrive("b", times=40)
    server.arrive("c", times=40)
    server.serve(42)
    assert server.served_ms["b"] > 2 * server.served_ms["c"]
    server.serve(len(server.waiting))
    assert not server.queue.tracked and not server.queue.backlogged


@pytest.mark.parametrize(
    ("repeats_marked", "marked_repeat", "claimed"),
    [(True, True, True), (True, False, False), (False, False, True), (False, True, True)],
)
def test_reservation_is_claimed_by_marked_repeats_or_by_any_try_where_none_are_marked(
    repeats_marked, marked_repeat, claimed
):
    server = SimulatedServer(repeats_marked=repeats_marked)
    server.arrive("b")  # it waits, so serving "a" puts "a" ahead
    server.arrive(times=4)
    for request, *_ in server.waiting[1:4]:
        server.queue.handle(0.0, RunStarted(request))
    (answer,) = server.queue.handle(0.0, RequestRejected(server.waiting[4][0], 0.0, 1000.0, 0.0))
    # The other club catches up after 60 ms with three runs of 20 ms at the share of "a".
    assert answer.reserved and answer.wait_ms == 100.0
    server.arrive(caller=2, times=5)
    server.queue.handle(100.0, RequestArrived("retry", "a", 1, "look", marked_repeat))
    assert (server.queue.tracked["retry"].tag < 0) == claimed


@pytest.mark.parametrize(("callers", "paid"), [(1, 2), (100, 10)])
def test_unpaid_retries_rank_last_and_get_no_reservation(callers, paid):
    server = SimulatedServer({"a": 1.0})
    for number in range(1000):  # the saved budget is bounded
        server.withdraw(server.arrive(caller=number % callers))

    def is_paid_retry(request, caller):
        server.queue.handle(0.0, RequestArrived(request, "a", caller, "look", True))
        return server.queue.tracked[request].tag < math.inf

    assert [is_paid_retry(f"s{number}", number % callers) for number in range(20)] == [True] * paid + [False] * (
        20 - paid
    )
    assert [
        server.queue.handle(0.0, RequestRejected(f"s{number}", 0.0, 1000.0, 0.0))[0].reserved for number in (0, 19)
    ] == [
        True,
        False,
    ]
    first_try = server.arrive(caller=7)
    assert server.queue.rank_ms(first_try) < server.queue.rank_ms("s18")
    for _ in range(5):
        server.arrive(caller=1 % callers)
    assert is_paid_retry("paid", 1 % callers) and not is_paid_retry("not", 1 % callers)


def test_every_interleaving_of_a_small_site_keeps_its_sums_and_starves_nobody():
    """Six steps over two clubs and two callers: arrivals, starts, ends and withdrawals in every order."""

    def walk(steps):
        queue = FairQueue(QueueSettings({"a": 2.0, "b": 1.0}, 1, {"look": 10.0}, True), KEY)
        waiting, running, previous_virtual_ms = [], [], 0.0
        for number, step in enumerate(steps):
            if isinstance(step, tuple):
                queue.handle(0.0, RequestArrived(f"r{number}", *step, "look"))
                waiting.append(f"r{number}")
            elif step == "start" and waiting:
                running.append(min(waiting, key=queue.rank_ms))
                waiting.remove(running[-1])
                queue.handle(0.0, RunStarted(running[-1]))
            elif step == "withdraw" and waiting:
                queue.handle(0.0, RequestWithdrawn(waiting.pop()))
            elif step == "end" and running:
                queue.handle(0.0, RunEnded(running.pop(0), 25.0))
            else:
                return
            assert queue.virtual_ms >= previous_virtual_ms
            previous_virtual_ms = queue.virtual_ms
            assert len(queue.tracked) == len(waiting) + len(running)
            for club in queue.clubs.values():
                flows = [*club.caller_flows.values(), *club.bucket_flows.values()]
                assert len(club.waiting) == sum(flow.waiting_count for flow in flows)
                assert (club in queue.backlogged) == bool(club.waiting)
                waiting_cost_ms = sum(
                    entry.cost_ms for entry in queue.tracked.values() if entry.club is club and not entry.running
                )
                assert abs(sum(flow.waiting_cost_ms for flow in flows) - waiting_cost_ms) < 1e-6
            # The ranks of a club follow without a gap, from its charge on: no request is passed over forever.
            for club in queue.backlogged:
                expected_rank = max(queue.virtual_ms, club.charged_ms)
                for rank, cost in sorted(
                    (queue.rank_ms(name), entry.cost_ms)
                    for name, entry in queue.tracked.items()
                    if entry in club.waiting
                ):
                    assert abs(rank - expected_rank) < 1e-6
                    expected_rank += cost / club.weight

    for steps in itertools.product([("a", 1), ("a", 2), ("b", 1), "start", "end", "withdraw"], repeat=6):
        walk(steps)


def test_events_of_repeated_or_unknown_requests_change_nothing():
    server = SimulatedServer({"a": 1.0}, max_tracked_requests=2)
    first = server.arrive()
    server.queue.handle(0.0, RequestArrived(first, "a", 1, "look"))
    assert server.queue.clubs["a"].caller_flows[1].waiting_count == 1
    second, third = server.arrive(), server.arrive()  # the third exceeds the bound: it ranks last and isn't tracked
    assert len(server.queue.tracked) == 2 and server.queue.rank_ms(third) > server.queue.rank_ms(second)
    for event in (
        RunStarted("none"),
        RequestWithdrawn("none"),
        RunEnded("none", 5.0),
        RunEnded(first, 5.0),
        RequestWithdrawn(first),
        RequestWithdrawn(second),
    ):
        server.queue.handle(0.0, event)
    assert not server.queue.tracked and not server.queue.backlogged
