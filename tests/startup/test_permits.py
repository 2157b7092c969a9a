"""Start permits in a simulated fleet on one clock, with members that die, pause and are partitioned."""

from __future__ import annotations

import random

import pytest

from flintshift.startup.permits import (
    Permit,
    PermitGranter,
    PermitRequest,
    PermitRequester,
    PermitTiming,
    Proceed,
    SendPermitRequest,
    granter_order,
)

TIMING = PermitTiming()
RAMP_MS = 800.0  # from the permit until a start is complete


class Fleet:
    """Members that all start at once.

    ``disconnected``: pairs between which no message passes; ``down``: dead members."""

    def __init__(self, count: int, at_once: int, seed: int = 1) -> None:
        self.names = tuple(f"n{number}" for number in range(count))
        self.now, self.disconnected, self.down, self.paused = 0.0, set(), set(), set()
        self.random = random.Random(seed)
        self.requesters = {name: PermitRequester(name, self.names, self.random.uniform) for name in self.names}
        self.granters = {name: PermitGranter(at_once, self.is_alive) for name in self.names}
        self.proceeded: dict[str, tuple[float, str]] = {}
        self.steady: set[str] = set()
        self.max_starting = 0  # members that were starting at the same time

    def is_alive(self, identity: str) -> bool:
        return identity not in self.down

    def reached(self, name: str) -> set[str]:
        return {
            other
            for other in self.names
            if other not in self.down | self.paused
            and (name, other) not in self.disconnected
            and (other, name) not in self.disconnected
        }

    def step(self, by_ms: float = 20.0) -> None:
        self.now += by_ms
        for name, requester in self.requesters.items():
            if name in self.down or name in self.paused:
                continue
            self.act(name, requester.request_permit(self.now, self.reached(name)))
            if name in self.proceeded and name not in self.steady and self.now - self.proceeded[name][0] >= RAMP_MS:
                self.steady.add(name)
                self.act(name, requester.finish())
        self.max_starting = max(self.max_starting, len(self.proceeded.keys() - self.steady - self.down))

    def act(self, name: str, actions: list) -> None:
        for action in actions:
            match action:
                case Proceed(cause):
                    self.proceeded[name] = self.now, cause
                case SendPermitRequest(to, request) if to in self.reached(name) | {name} and to not in self.paused:
                    permit = self.granters[to].on_request(self.now, name, request)
                    if permit is not None:
                        self.act(name, self.requesters[name].on_permit(self.now, to, permit))

    def run_until(self, ms: float) -> None:
        while self.now < ms:
            self.step()


def test_a_few_members_start_at_a_time_and_all_start_in_the_end():
    fleet = Fleet(40, at_once=5)
    fleet.run_until(15_000.0)
    assert len(fleet.steady) == 40 and fleet.max_starting == 5
    assert fleet.now >= max(at for at, _ in fleet.proceeded.values()) >= 40 / 5 * RAMP_MS - RAMP_MS


def test_the_permit_of_a_dead_holder_is_free():
    fleet = Fleet(6, at_once=1)
    fleet.run_until(100.0)
    (first,) = fleet.proceeded
    fleet.down.add(first)
    fleet.run_until(600.0)
    assert len(fleet.proceeded) == 2


def test_a_holder_paused_past_its_lease_loses_the_permit_and_proceeds_when_it_resumes():
    fleet = Fleet(6, at_once=1)
    fleet.run_until(100.0)
    (first,) = fleet.proceeded
    fleet.paused.add(first)
    fleet.run_until(TIMING.lease_ms + 600.0)
    assert len(fleet.proceeded) >= 2
    fleet.run_until(10_000.0)
    fleet.paused.discard(first)
    fleet.run_until(30_000.0)
    assert fleet.steady == set(fleet.names)


def test_after_the_granter_died_the_next_member_in_order_grants():
    fleet = Fleet(12, at_once=2)
    fleet.run_until(1500.0)
    before = len(fleet.proceeded)
    fleet.down.add(granter_order(fleet.names)[0])
    fleet.run_until(12_000.0)
    assert before < 11 and fleet.proceeded.keys() | fleet.down == set(fleet.names)
    assert fleet.max_starting <= 4  # at most twice as many, for one lease


def test_a_partition_makes_two_granters_and_at_most_twice_as_many_permits():
    fleet = Fleet(20, at_once=2)
    half = fleet.names[::2]
    fleet.disconnected = {(name, other) for name in half for other in fleet.names if other not in half}
    fleet.run_until(15_000.0)
    assert len(fleet.steady) == 20 and fleet.max_starting == 4


def test_a_node_without_a_member_in_reach_proceeds_after_a_second_and_a_fleet_of_one_at_once():
    fleet = Fleet(5, at_once=2)
    fleet.down = set(fleet.names[1:])
    fleet.run_until(TIMING.no_member_ms + 40.0)
    assert (
        fleet.proceeded["n0"][1] == "no member is in reach" and fleet.proceeded["n0"][0] <= TIMING.no_member_ms + 20.0
    )
    single = Fleet(1, at_once=1)
    single.step()
    assert single.proceeded["n0"][1] == "n0 has granted a permit"


def test_a_granter_that_grants_nothing_delays_a_start_for_a_limited_time():
    requester = PermitRequester("n1", ("n1", "n2"), random.Random(1).uniform)
    now, proceeded = 0.0, []
    while not proceeded and now < 60_000.0:
        for action in requester.request_permit(now, {"n2"}):
            if isinstance(action, SendPermitRequest):
                requester.on_permit(now, action.to, Permit(action.request.number, False))
            else:
                proceeded.append(now)
        now += 20.0
    assert proceeded and proceeded[0] <= TIMING.max_wait_ms + 20.0


@pytest.mark.parametrize("permit", [Permit(0, True), Permit(2, True), Permit(1, False)])
def test_an_answer_to_another_request_or_a_refusal_does_not_let_a_start_proceed(permit):
    requester = PermitRequester("n1", ("n1", "n2"), random.Random(1).uniform)
    actions = requester.request_permit(0.0, {"n2"})
    assert isinstance(actions[0], SendPermitRequest)
    assert requester.on_permit(1.0, actions[0].to, permit) == [] and not requester.proceeded
    assert requester.on_permit(1.0, "n9", Permit(1, True)) == []  # an answer from a member that was not asked


def test_permits_go_to_the_longest_waiting_process_and_tables_are_bounded():
    granter = PermitGranter(1, lambda identity: True, PermitTiming(max_entries=50))
    assert granter.on_request(0.0, "a", PermitRequest(1)).granted
    assert (
        not granter.on_request(1.0, "b", PermitRequest(1)).granted
        and not granter.on_request(2.0, "c", PermitRequest(1)).granted
    )
    granter.on_request(3.0, "a", PermitRequest(2, done=True))
    assert (
        not granter.on_request(4.0, "c", PermitRequest(2)).granted
        and granter.on_request(5.0, "b", PermitRequest(2)).granted
    )
    for number in range(500):
        granter.on_request(6.0, f"p{number}", PermitRequest(1))
        granter.on_request(6.0, f"q{number}", PermitRequest(1, holds=True))
    assert len(granter.waiting) <= 50 and len(granter.granted_until_ms) <= 50


def test_members_that_do_not_answer_are_skipped_and_two_of_them_delay_a_start_no_further():
    names = tuple(f"n{number}" for number in range(6))
    first, second, *_, last = granter_order(names)
    for silent, granter_name, max_ms in (
        ({first}, second, TIMING.no_member_ms + 500.0),
        ({first, second}, None, 2 * TIMING.no_member_ms + 900.0),
    ):
        requester, granter = (
            PermitRequester(last, names, random.Random(1).uniform),
            PermitGranter(1, lambda identity: True),
        )
        now, proceeded = 0.0, []
        while not proceeded and now < 60_000.0:
            for action in requester.request_permit(now, set(names) - {last}):
                if isinstance(action, Proceed):
                    proceeded.append((now, action.cause))
                elif action.to not in silent:
                    proceeded += [
                        (now, permitted.cause)
                        for permitted in requester.on_permit(
                            now, action.to, granter.on_request(now, last, action.request)
                        )
                    ]
            now += 20.0
        assert proceeded[0][0] <= max_ms
        assert proceeded[0][1] == (
            f"{granter_name} has granted a permit" if granter_name else f"{' and '.join(sorted(silent))} do not answer"
        )
