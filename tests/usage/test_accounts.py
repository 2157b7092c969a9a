"""Tests of the accounts and the policy against a plain model, with random crashes and clock adjustments."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from flintshift.usage import documents
from flintshift.usage.accounts import Bounds, UsageAccounts
from flintshift.usage.messages import Append, ClockAdjusted, CorrectionRequested, DocumentsPublished, Reply, Tick
from flintshift.usage.periods import STEP_CONFIRM_MS, LedgerClock, period_of
from flintshift.usage.policy import LedgerPolicy
from flintshift.usage.reconcile import check_documents
from flintshift.usage.records import (
    AMOUNTS,
    FLAG_NO_ANSWER,
    GONE,
    KINDS,
    OUTCOMES,
    Claim,
    Ended,
    LateRun,
    Marked,
    Opened,
    RowListsChanged,
    pack,
    row_number,
    unpack,
)

CLUBS, CLASSES = ["a", "b"], ["look", "pay"]
BOUNDS = Bounds(in_doubt=5, documents=3, periods=4)


class RecordedAccounts:
    """Accounts that are changed only by records, which are collected to be replayed."""

    def __init__(self, grace_ms=100):
        self.accounts, self.records, self.documents = UsageAccounts(BOUNDS), [], {}
        self.policy, self.epoch, self.now = LedgerPolicy(self.accounts, grace_ms), 0, 10_000

    def write(self, entry):
        self.records.append((len(self.records) + 1, self.epoch, pack(entry)))
        self.accounts.apply(len(self.records), self.epoch, entry)
        for document in self.accounts.state.documents:
            assert self.documents.setdefault(document.name, document.data) == document.data
        return len(self.records)

    def send(self, event):
        reply = None
        for action in self.policy.handle(self.now, event):
            if isinstance(action, Append):
                self.write(action.entry)
            else:
                reply = action
        return reply

    def open(self, period_ms=1000):
        self.epoch += 1
        self.lists = CLUBS, CLASSES
        self.write(Opened("n1", b"l" * 16, period_ms, CLUBS, CLASSES, self.now))
        self.send(Tick())

    def row(self, club, class_, front, outcome):
        """Return a row's number under the current lists; club 2 is not listed."""
        clubs, classes = self.lists
        club_index = clubs.index(CLUBS[club]) if club < 2 else len(clubs)
        return row_number(club_index, classes.index(CLASSES[class_]), len(classes), front, outcome)

    def replay(self):
        accounts = UsageAccounts(BOUNDS)
        for sequence, epoch, (kind, payload) in self.records:
            accounts.apply(sequence, epoch, unpack(kind, payload))
        return accounts

    def sum_all_rows(self):
        sums = Counter()
        for data in self.documents.values():
            for key, row in documents.totals([documents.parse(data)]).items():
                for index, amount in enumerate(row):
                    sums[key, index] += amount
        for rows in self.accounts.totals().values():
            for key, row in rows.items():
                for index, amount in enumerate(row):
                    sums[key, index] += amount
        return +sums


class AccountsMachine(RuleBasedStateMachine):
    """The model is the sum of all claims; requests in doubt are subtracted, claims of disconnected callers moved."""

    def __init__(self):
        super().__init__()
        self.recorded = RecordedAccounts()
        self.recorded.open()
        self.model = Counter()
        self.waiting = {}
        self.in_doubt_count = 0
        self.corrections = 0

    def add(self, key, amounts, sign=1):
        for index, amount in enumerate(amounts):
            self.model[key, index] += sign * amount

    @rule(
        club=st.integers(0, 2),
        class_=st.integers(0, 1),
        front=st.integers(0, 1),
        outcome=st.integers(0, 3),
        flags=st.integers(0, 3),
        run_us=st.integers(0, 9),
        bytes_in=st.integers(0, 9),
    )
    def claim(self, club, class_, front, outcome, flags, run_us, bytes_in):
        row = self.recorded.row(club, class_, front, outcome)
        sequence = self.recorded.write(Claim(b"i" * 8, row, flags, run_us, 1, bytes_in, 2))
        key = [*CLUBS, "(other)"][club], CLASSES[class_], ("http", "uwsgi")[front], OUTCOMES[outcome]
        amounts = (1, flags & 1, flags >> 1, run_us, 1, bytes_in, 2)
        self.add(key, amounts)
        self.waiting[sequence] = key, amounts

    @rule(club=st.integers(0, 2))
    def disconnect_before_answer(self, club):
        row = self.recorded.row(club, 0, 0, GONE)
        self.recorded.write(Claim(b"g" * 8, row, FLAG_NO_ANSWER, 0, 0, 1, 0))
        self.add(([*CLUBS, "(other)"][club], "look", "http", "gone"), (1, 0, 0, 0, 0, 1, 0))

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def mark_some(self, data):
        sequences = data.draw(st.lists(st.sampled_from(sorted(self.waiting)), unique=True, min_size=1))
        delivered_count = data.draw(st.integers(0, len(sequences)))
        base = min(sequences)
        offsets = [sequence - base for sequence in sequences]
        self.recorded.write(Marked(base, offsets[:delivered_count], offsets[delivered_count:]))
        for sequence in sequences[:delivered_count]:
            del self.waiting[sequence]
        for sequence in sequences[delivered_count:]:
            key, amounts = self.waiting.pop(sequence)
            self.add(key, amounts, -1)
            self.add((*key[:3], "gone"), amounts)

    @precondition(lambda self: self.waiting)
    @rule()
    def mark_twice(self):
        sequence = min(self.waiting)
        self.recorded.write(Marked(sequence, [0], []))
        self.recorded.write(Marked(sequence, [0], [0]))
        del self.waiting[sequence]

    @rule(club=st.integers(0, 2), run_us=st.integers(1, 5), periods_back=st.integers(0, 3))
    def end_run_late(self, club, run_us, periods_back):
        row = self.recorded.row(club, 1, 1, 0)
        self.recorded.write(LateRun((self.recorded.accounts.state.current or 0) - 1000 * periods_back, row, run_us, 0))
        self.model[([*CLUBS, "(other)"][club], "pay", "uwsgi", "served"), 3] += run_us

    @rule(clubs=st.booleans(), at_front=st.booleans())
    def change_row_lists(self, clubs, at_front):
        """Add a club or a class at the front or the end of its list, as new settings do."""
        lists = [list(names) for names in self.recorded.lists]
        longer_list = lists[not clubs]
        if len(longer_list) < 5:
            longer_list.insert(0 if at_front else len(longer_list), f"new{len(longer_list)}")
            self.recorded.lists = tuple(lists)
            self.recorded.write(RowListsChanged(*lists))

    @rule(by_ms=st.sampled_from([0, 1, 50, 99, 100, 101, 900, 1000, 2500, 40_000_000, -1, -700, -5000]))
    def pass_time(self, by_ms):
        self.recorded.now += by_ms
        self.recorded.send(Tick())

    @rule(by_ms=st.integers(-(10**9), 10**9))
    def adjust_clock(self, by_ms):
        self.recorded.send(ClockAdjusted(by_ms))

    @rule(period_ms=st.sampled_from([1000, 1000, 300, 7000]), cleanly=st.booleans())
    def crash_or_stop(self, period_ms, cleanly):
        if cleanly:
            self.recorded.write(Ended(self.recorded.now))
        self.in_doubt_count += len(self.waiting)
        for key, amounts in self.waiting.values():
            self.add(key, amounts, -1)
        self.waiting.clear()
        self.recorded.open(period_ms)

    @rule()
    def publish_documents(self):
        if self.recorded.accounts.state.documents:
            self.recorded.send(DocumentsPublished(self.recorded.accounts.state.documents[-1].number))

    @rule(
        club=st.sampled_from(["a", "b", "(other)", "nobody"]),
        requests=st.integers(-5, 5),
        periods_back=st.integers(0, 4),
        same_id=st.booleans(),
    )
    def correct(self, club, requests, periods_back, same_id):
        state = self.recorded.accounts.state
        published = [documents.parse(data) for data in self.recorded.documents.values()]
        period_begins = sorted({document.period_ms for document in published} | set(state.periods))
        period = period_begins[-1 - min(periods_back, len(period_begins) - 1)]
        self.corrections += not same_id
        key = club, "look", "http", "served"
        revisions = [document for document in published if document.period_ms == period]
        request = CorrectionRequested(
            f"c{self.corrections}",
            "op",
            "why",
            period,
            *key,
            (requests, 0, 0, 0, 0, 0, 0),
            tuple(documents.totals(revisions).get(key, [0] * 7)) if revisions else None,
            revisions[0].length_ms if revisions else None,
        )
        known_before = dict(state.corrections)
        reply = self.recorded.send(request)
        assert isinstance(reply, Reply)
        if request.id in known_before:
            assert state.corrections == known_before
        elif reply.taken:
            self.model[key, 0] += requests
        else:
            assert requests == 0 or club == "nobody" or "below zero" in reply.text or "wait to be written" in reply.text

    @invariant()
    def sums_match_the_model(self):
        assert self.recorded.sum_all_rows() == +self.model
        assert all(value >= 0 for value in self.model.values())

    @invariant()
    def replay_and_snapshot_give_the_same_state(self):
        assert self.recorded.replay().state == self.recorded.accounts.state
        assert UsageAccounts.load(self.recorded.accounts.dump()).state == self.recorded.accounts.state

    @invariant()
    def periods_do_not_overlap_and_documents_are_consistent(self):
        published = [documents.parse(data) for data in self.recorded.documents.values()]
        closed = sorted((interval.period_ms, interval.length_ms) for interval in published if interval.revision == 0)
        spans = closed + sorted(
            (interval.begin, interval.length) for interval in self.recorded.accounts.state.periods.values()
        )
        for (begin, length), (next_begin, _) in pairwise(spans):
            assert length > 0 and begin + length <= next_begin
        assert (
            check_documents((name, data, documents.parse(data)) for name, data in self.recorded.documents.items()) == []
        )

    @invariant()
    def requests_in_doubt_are_listed_or_counted(self):
        state = self.recorded.accounts.state
        published = [documents.parse(data) for data in self.recorded.documents.values()]
        listed_count = sum(len(document.in_doubt) + document.in_doubt_unlisted for document in published)
        listed_count += sum(len(period.doubted) + period.doubted_unlisted for period in state.periods.values())
        assert listed_count == self.in_doubt_count
        assert all(len(period.doubted) <= 5 for period in state.periods.values())
        assert len(state.documents) <= BOUNDS.documents and len(state.periods) <= BOUNDS.periods


TestAccounts = AccountsMachine.TestCase
TestAccounts.settings = settings(max_examples=300, stateful_step_count=40, deadline=None, derandomize=True)


def test_memory_is_bounded_by_the_number_of_rows():
    recorded = RecordedAccounts()
    recorded.open()
    for number in range(20_000):
        row = row_number(number % 3, number % 2, 2, number % 2, number % 5)
        recorded.accounts.apply(number + 10, 1, Claim(number.to_bytes(8, "big"), row, 0, 1, 1, 1, 1))
        recorded.accounts.apply(number + 10, 1, Marked(number + 10, [0], []))
    assert len(recorded.accounts.state.periods[10_000].rows) <= 3 * 2 * 2 * 5
    assert not recorded.accounts.state.waiting and len(recorded.accounts.dump()) < 4000


def test_a_day_without_writing_documents_is_bounded_and_loses_nothing():
    recorded = RecordedAccounts()
    recorded.open()
    for _ in range(86_400 // 60):
        recorded.now += 60_000
        recorded.send(Tick())
        recorded.write(Claim(b"i" * 8, 0, FLAG_NO_ANSWER, 1, 0, 1, 1))
    assert (len(recorded.accounts.state.documents), len(recorded.accounts.state.periods)) == (3, 4)
    assert recorded.sum_all_rows()[("a", "look", "http", "served"), 0] == 1440
    recorded.send(DocumentsPublished(3))
    recorded.send(Tick())  # closes
    recorded.send(Tick())  # and rotates, now that there is capacity
    assert recorded.accounts.state.current == period_of(recorded.now, 1000) and len(recorded.documents) == 6


def correction(**changes):
    fields = {
        "id": "c1",
        "author": "op",
        "reason": "why",
        "period": 10_000,
        "club": "a",
        "class_name": "look",
        "front": "http",
        "outcome": "served",
        "amounts": (1, 0, 0, 0, 0, 0, 0),
        **changes,
    }
    return CorrectionRequested(**fields)


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"id": "no spaces"}, "the id is 1 to 64"),
        ({"author": " "}, "author and reason"),
        ({"reason": "x" * 501}, "author and reason"),
        ({"club": "nobody"}, "the club 'nobody' is unknown; known are a, b"),
        ({"class_name": "x"}, "the class 'x' is unknown"),
        ({"front": "x"}, "the front is one of"),
        ({"amounts": (0,) * 7}, "nothing is corrected"),
        ({"period": 9000}, "no period begins at 9000 ms"),
        ({"amounts": (-1, 0, 0, 0, 0, 0, 0)}, "requests: 0 and -1 is below zero"),
        ({"amounts": (0, 0, 0, 2**63, 0, 0, 0)}, "run_us: 0 and .* is more than"),
        ({"amounts": (1,)}, "nothing is corrected"),
        (
            {"period": 5000, "length": 1000, "closed": (3, 0, 0, 0, 0, 0, 0), "amounts": (-4, 0, 0, 0, 0, 0, 0)},
            "3 and -4",
        ),
    ],
)
def test_impossible_corrections_are_rejected_with_the_reason(changes, text):
    recorded = RecordedAccounts()
    recorded.open()
    count = len(recorded.records)
    reply = recorded.send(correction(**changes))
    assert not reply.taken and len(recorded.records) == count
    with pytest.raises(AssertionError, match=text):
        raise AssertionError(reply.text)


def test_a_repeated_id_changes_nothing_and_with_another_content_is_rejected():
    recorded = RecordedAccounts()
    recorded.open()
    assert recorded.send(correction()).taken
    count = len(recorded.records)
    assert recorded.send(correction()) == Reply(True, "was taken before; nothing changes")
    assert not recorded.send(correction(amounts=(2, 0, 0, 0, 0, 0, 0))).taken
    assert len(recorded.records) == count


def test_a_correction_does_not_count_pending_claims():
    recorded = RecordedAccounts()
    recorded.open()
    sequence = recorded.write(Claim(b"i" * 8, 0, 0, 0, 0, 0, 0))
    assert "0 and -1 is below zero" in recorded.send(correction(amounts=(-1, 0, 0, 0, 0, 0, 0))).text
    recorded.write(Marked(sequence, [0], []))
    assert recorded.send(correction(amounts=(-1, 0, 0, 0, 0, 0, 0))).taken


def test_a_correction_of_a_closed_period_makes_a_revision_and_keeps_the_original():
    recorded = RecordedAccounts()
    recorded.open()
    recorded.now += 2000
    recorded.send(Tick())
    ((first, data),) = recorded.documents.items()
    assert "revision 1" in recorded.send(correction(length=1000)).text
    assert "revision 2" in recorded.send(correction(id="c2", length=1000, closed=(1, 0, 0, 0, 0, 0, 0))).text
    assert recorded.documents[first] == data
    revision = documents.parse(recorded.documents[first.replace(".r0.", ".r2.")])
    assert (revision.revision, revision.rows[0].amounts.requests, revision.corrections[0].id) == (2, 1, "c2")
    assert revision.length_ms == 1000 and revision.previous != b""


def test_a_period_that_ended_while_the_node_was_down_closes_at_the_next_start():
    recorded = RecordedAccounts()
    recorded.open()
    recorded.write(Claim(b"i" * 8, 0, FLAG_NO_ANSWER, 0, 0, 0, 0))
    recorded.now += 3_000_000
    recorded.open()
    document = documents.parse(next(iter(recorded.documents.values())))
    assert document.period_ms == 10_000 and document.rows[0].amounts.requests == 1
    assert recorded.accounts.state.current == 3_010_000


def test_a_period_stays_open_while_it_has_a_pending_claim():
    recorded = RecordedAccounts()
    recorded.open()
    sequence = recorded.write(Claim(b"i" * 8, 0, 0, 0, 0, 0, 0))
    recorded.now += 5000
    recorded.send(Tick())
    assert not recorded.documents
    recorded.write(Marked(sequence, [0], []))
    recorded.send(Tick())
    assert len(recorded.documents) == 1


def test_record_kinds_and_encodings_are_unchanged():
    assert {number: kind.__name__ for number, kind in KINDS.items()} == dict(
        enumerate(
            (
                "Opened",
                "Rotated",
                "Claim",
                "Marked",
                "LateRun",
                "Closed",
                "Corrected",
                "Published",
                "Gap",
                "ClockStepped",
                "Ended",
                "Forgotten",
                "RowListsChanged",
            ),
            1,
        )
    )
    assert pack(Claim(b"12345678", 5, 3, 1000, 1, 7, 20)) == (
        3,
        b"\x97\xc4\x0812345678\x05\x03\xcd\x03\xe8\x01\x07\x14",
    )
    with pytest.raises(ValueError, match="records of kind 99 are not known"):
        unpack(99, b"")
    assert len(AMOUNTS) == 7


# LedgerClock.


def test_a_clock_that_is_corrected_again_moves_no_period():
    clock = LedgerClock(1_000_000, 0)
    assert clock.read(1_000_010, 10) == (1_000_010, None)
    month_ms = 30 * 86_400_000
    now, step = clock.read(1_000_020 + month_ms, 20)
    assert now == 1_000_020 and step.by_ms == month_ms
    assert clock.read(1_000_030 + month_ms, 30) == (1_000_030, None)  # reported once
    assert clock.read(1_000_040, 40) == (1_000_040, None)


@pytest.mark.parametrize("step_ms", [30 * 86_400_000, -86_400_000])
def test_a_clock_that_stays_moved_is_followed_and_the_ledger_never_goes_back(step_ms):
    clock = LedgerClock(1_000_000_000, 0)
    steady_ms, last, steps = 0, 0, 0
    for _ in range(int(STEP_CONFIRM_MS // 1000) + 10):
        steady_ms += 1000
        now, step = clock.read(1_000_000_000 + steady_ms + step_ms, steady_ms)
        assert now >= last
        last, steps = now, steps + (step is not None)
    assert steps == 1
    expected = 1_000_000_000 + steady_ms + step_ms
    assert last == expected if step_ms > 0 else last >= 1_000_000_000 + STEP_CONFIRM_MS


def test_a_clock_set_back_while_the_node_was_down_is_reported_and_waited_for():
    clock = LedgerClock(1_000_000, 0, floor_ms=5_000_000)
    now, step = clock.read(1_000_001, 1)
    assert now == 5_000_000 and step.by_ms == -4_000_000
    assert clock.read(1_001_000, 1000)[0] == 5_000_000


@pytest.mark.parametrize("length_ms", [1000, 1500, 86_400_000, 31 * 86_400_000])
def test_periods_are_counted_from_the_epoch_in_utc(length_ms):
    begin = period_of(1_700_000_000_123, length_ms)
    assert begin % length_ms == 0 and begin <= 1_700_000_000_123 < begin + length_ms
