"""The refill's state machine: which members it asks, and when it asks them again."""

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


def page(done: bool, authoritative: bool = True, after: tuple[str, str] | None = None) -> Page:
    return Page((), after, done, authoritative, STORE)


def send_requests(refill: Refill, now_ms: float, *reached: str) -> list[tuple[str, FillAsk]]:
    return refill.due_requests(now_ms, STORE, reached or OTHERS)


def test_a_request_is_sent_once_per_link_however_long_its_answer_takes():
    refill = Refill(OTHERS)
    assert send_requests(refill, 0.0) == [("n2", FillAsk(STORE, None)), ("n3", FillAsk(STORE, None))]
    assert [send_requests(refill, now_ms) for now_ms in (50.0, 600.0, 10_000.0, 3_600_000.0)] == [[]] * 4


def test_a_request_on_a_broken_link_is_sent_again_on_the_next_one():
    refill = Refill(OTHERS)
    send_requests(refill, 0.0)
    refill.handle_link_lost("n2")
    assert send_requests(refill, 10.0, "n3") == []
    assert send_requests(refill, 20.0) == [("n2", FillAsk(STORE, None))]
    refill.handle_link_lost("a member of another list")


def test_after_a_broken_link_the_refill_goes_on_behind_the_last_page(registers):
    refill, last = Refill(OTHERS), ("submit-time", "k9")
    send_requests(refill, 0.0)
    refill.receive_page(5.0, registers, "n2", page(done=False, after=last))
    assert send_requests(refill, 5.0) == [("n2", FillAsk(STORE, last))]
    refill.handle_link_lost("n2")
    assert send_requests(refill, 6.0) == [("n2", FillAsk(STORE, last))]


def test_a_member_in_its_own_refill_is_asked_again_from_the_start_after_a_delay(registers):
    refill = Refill(OTHERS)
    send_requests(refill, 0.0)
    refill.receive_page(5.0, registers, "n2", page(done=True, authoritative=False, after=("submit-time", "k9")))
    assert send_requests(refill, 5.0 + REFILL_RETRY_MS - 1.0) == []
    assert send_requests(refill, 5.0 + REFILL_RETRY_MS) == [("n2", FillAsk(STORE, None))]


def test_a_member_that_has_sent_everything_is_not_asked_again_on_a_new_link(registers):
    refill = Refill(OTHERS)
    send_requests(refill, 0.0)
    refill.receive_page(5.0, registers, "n2", page(done=True))
    refill.handle_link_lost("n2")
    assert send_requests(refill, 10_000.0) == []
