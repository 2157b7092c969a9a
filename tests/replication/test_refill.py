"""Whom a store that is filled asks, and when it asks again: the state machine alone."""

from __future__ import annotations

import math

import pytest

from flintshift.replication.placement import Placement
from flintshift.replication.refill import REFILL_RETRY_MS, FillAsk, Page, Refill
from flintshift.replication.registers import HolderBounds, Registers

STORE = 7
OTHERS = ("n2", "n3")


@pytest.fixture
def registers() -> Registers:
    halls = {"n1": "ruwi-hall", "n2": "ruwi-hall", "n3": "seeb-hall"}
    return Registers("n1", STORE, Placement(halls, 3), HolderBounds(), False, math.inf)


def page(done: bool, counts: bool = True, after: tuple[str, str] | None = None) -> Page:
    return Page((), after, done, counts, STORE)


def asked(refill: Refill, now_ms: float, *reached: str) -> list[tuple[str, FillAsk]]:
    return refill.due_requests(now_ms, STORE, reached or OTHERS)


def test_a_question_is_asked_once_on_a_link_however_long_its_answer_takes():
    refill = Refill(OTHERS)
    assert asked(refill, 0.0) == [("n2", FillAsk(STORE, None)), ("n3", FillAsk(STORE, None))]
    assert [asked(refill, at) for at in (50.0, 600.0, 10_000.0, 3_600_000.0)] == [[]] * 4


def test_what_was_asked_on_a_link_that_broke_is_asked_anew_on_the_next_one():
    refill = Refill(OTHERS)
    asked(refill, 0.0)
    refill.handle_link_lost("n2")
    assert asked(refill, 10.0, "n3") == []
    assert asked(refill, 20.0) == [("n2", FillAsk(STORE, None))]
    refill.handle_link_lost("a member of another list")


def test_a_link_that_breaks_between_two_pages_goes_on_after_the_last(registers):
    refill, last = Refill(OTHERS), ("submit-time", "k9")
    asked(refill, 0.0)
    refill.receive_page(5.0, registers, "n2", page(done=False, after=last))
    assert asked(refill, 5.0) == [("n2", FillAsk(STORE, last))]
    refill.handle_link_lost("n2")
    assert asked(refill, 6.0) == [("n2", FillAsk(STORE, last))]


def test_a_member_that_is_filled_itself_is_asked_again_from_the_start_after_a_wait(registers):
    refill = Refill(OTHERS)
    asked(refill, 0.0)
    refill.receive_page(5.0, registers, "n2", page(done=True, counts=False, after=("submit-time", "k9")))
    assert asked(refill, 5.0 + REFILL_RETRY_MS - 1.0) == []
    assert asked(refill, 5.0 + REFILL_RETRY_MS) == [("n2", FillAsk(STORE, None))]


def test_a_member_that_has_told_all_is_not_asked_again_on_a_new_link_either(registers):
    refill = Refill(OTHERS)
    asked(refill, 0.0)
    refill.receive_page(5.0, registers, "n2", page(done=True))
    refill.handle_link_lost("n2")
    assert asked(refill, 10_000.0) == []
