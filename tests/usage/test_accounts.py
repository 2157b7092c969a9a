"""The book and its keeper against a plain model, over random interleavings with deaths and clocks that jump."""

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


class Desk:
    """A book that only its records change, each kept to be replayed."""

    def __init__(self, grace_ms=100):
        self.accounts, self.records, self.documents = UsageAccounts(BOUNDS), [], {}
        self.keeper, self.epoch, self.now = LedgerPolicy(self.accounts, grace_ms), 0, 10_000

    def write(self, entry):
        self.records.append((len(self.records) + 1, self.epoch, pack(entry)))
        self.accounts.apply(len(self.records), self.epoch, entry)
        for made in self.accounts.state.documents:
            assert self.documents.setdefault(made.name, made.data) == made.data
        return len(self.records)

    def tell(self, event):
        reply = None
        for action in self.keeper.handle(self.now, event):
            if isinstance(action, Append):
                self.write(action.entry)
            else:
                reply = action
        return reply

    def open(self, period_ms=1000):
        self.epoch += 1
        self.lists = CLUBS, CLASSES
        self.write(Opened("n1", b"l" * 16, period_ms, CLUBS, CLASSES, self.now))
        self.tell(Tick())

    def row(self, club, class_, front, outcome):
        """The number of a row, as the lists of now count it; club 2 is none that is listed."""
        clubs, classes = self.lists
        place = clubs.index(CLUBS[club]) if club < 2 else len(clubs)
        return row_number(place, classes.index(CLASSES[class_]), len(classes), front, outcome)

    def replayed(self):
        book = UsageAccounts(BOUNDS)
        for sequence, epoch, (kind, payload) in self.records:
            book.apply(sequence, epoch, unpack(kind, payload))
        return book

    def all_rows(self):
        total = Counter()
        for data in self.documents.values():
            for names, row in documents.totals([documents.parse(data)]).items():
                for place, value in enumerate(row):
                    total[names, place] += value
        for rows in self.accounts.totals().values():
            for names, row in rows.items():
                for place, value in enumerate(row):
                    total[names, place] += value
        return +total


class BookMachine(RuleBasedStateMachine):
    """The model: a plain sum of what was claimed, less what is in doubt, moved where a caller went."""

    def __init__(self):
        super().__init__()
        self.desk = Desk()
        self.desk.open()
        self.model = Counter()
        self.waiting = {}
        self.doubted = 0
        self.corrections = 0

    def add(self, names, amounts, sign=1):
        for place, value in enumerate(amounts):
            self.model[names, place] += sign * value

    @rule(
        club=st.integers(0, 2),
        class_=st.integers(0, 1),
        front=st.integers(0, 1),
        outcome=st.integers(0, 3),
        flags=st.integers(0, 3),
        run=st.integers(0, 9),
        size=st.integers(0, 9),
    )
    def claim(self, club, class_, front, outcome, flags, run, size):
        row = self.desk.row(club, class_, front, outcome)
        sequence = self.desk.write(Claim(b"i" * 8, row, flags, run, 1, size, 2))
        names = [*CLUBS, "(other)"][club], CLASSES[class_], ("http", "uwsgi")[front], OUTCOMES[outcome]
        amounts = (1, flags & 1, flags >> 1, run, 1, size, 2)
        self.add(names, amounts)
        self.waiting[sequence] = names, amounts

    @rule(club=st.integers(0, 2))
    def gone_at_once(self, club):
        row = self.desk.row(club, 0, 0, GONE)
        self.desk.write(Claim(b"g" * 8, row, FLAG_NO_ANSWER, 0, 0, 1, 0))
        self.add(([*CLUBS, "(other)"][club], "look", "http", "gone"), (1, 0, 0, 0, 0, 1, 0))

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def mark(self, data):
        some = data.draw(st.lists(st.sampled_from(sorted(self.waiting)), unique=True, min_size=1))
        delivered = data.draw(st.integers(0, len(some)))
        base = min(some)
        after = [one - base for one in some]
        self.desk.write(Marked(base, after[:delivered], after[delivered:]))
        for one in some[:delivered]:
            del self.waiting[one]
        for one in some[delivered:]:
            names, amounts = self.waiting.pop(one)
            self.add(names, amounts, -1)
            self.add((*names[:3], "gone"), amounts)

    @precondition(lambda self: self.waiting)
    @rule()
    def marked_twice(self):
        one = min(self.waiting)
        self.desk.write(Marked(one, [0], []))
        self.desk.write(Marked(one, [0], [0]))
        del self.waiting[one]

    @rule(club=st.integers(0, 2), run=st.integers(1, 5), back=st.integers(0, 3))
    def late(self, club, run, back):
        row = self.desk.row(club, 1, 1, 0)
        self.desk.write(LateRun((self.desk.accounts.state.current or 0) - 1000 * back, row, run, 0))
        self.model[([*CLUBS, "(other)"][club], "pay", "uwsgi", "served"), 3] += run

    @rule(clubs=st.booleans(), first=st.booleans())
    def listed(self, clubs, first):
        """New settings add a club or a class, and may list what was there in another order."""
        lists = [list(names) for names in self.desk.lists]
        grown = lists[not clubs]
        if len(grown) < 5:
            grown.insert(0 if first else len(grown), f"new{len(grown)}")
            self.desk.lists = tuple(lists)
            self.desk.write(RowListsChanged(*lists))

    @rule(by=st.sampled_from([0, 1, 50, 99, 100, 101, 900, 1000, 2500, 40_000_000, -1, -700, -5000]))
    def time_passes(self, by):
        self.desk.now += by
        self.desk.tell(Tick())

    @rule(by=st.integers(-(10**9), 10**9))
    def clock_moves(self, by):
        self.desk.tell(ClockAdjusted(by))

    @rule(period_ms=st.sampled_from([1000, 1000, 300, 7000]), well=st.booleans())
    def dies(self, period_ms, well):
        if well:
            self.desk.write(Ended(self.desk.now))
        self.doubted += len(self.waiting)
        for names, amounts in self.waiting.values():
            self.add(names, amounts, -1)
        self.waiting.clear()
        self.desk.open(period_ms)

    @rule()
    def documents_stand(self):
        if self.desk.accounts.state.documents:
            self.desk.tell(DocumentsPublished(self.desk.accounts.state.documents[-1].number))

    @rule(
        club=st.sampled_from(["a", "b", "(other)", "nobody"]),
        by=st.integers(-5, 5),
        back=st.integers(0, 4),
        again=st.booleans(),
    )
    def correct(self, club, by, back, again):
        state = self.desk.accounts.state
        found = [documents.parse(data) for data in self.desk.documents.values()]
        begins = sorted({one.period_ms for one in found} | set(state.periods))
        period = begins[-1 - min(back, len(begins) - 1)]
        self.corrections += not again
        names = club, "look", "http", "served"
        closed = [one for one in found if one.period_ms == period]
        asked = CorrectionRequested(
            f"c{self.corrections}",
            "op",
            "why",
            period,
            *names,
            (by, 0, 0, 0, 0, 0, 0),
            tuple(documents.totals(closed).get(names, [0] * 7)) if closed else None,
            closed[0].length_ms if closed else None,
        )
        known = dict(state.corrections)
        reply = self.desk.tell(asked)
        assert isinstance(reply, Reply)
        if asked.id in known:
            assert state.corrections == known
        elif reply.taken:
            self.model[names, 0] += by
        else:
            assert by == 0 or club == "nobody" or "below zero" in reply.text or "wait to be written" in reply.text

    @invariant()
    def the_sums_agree(self):
        assert self.desk.all_rows() == +self.model
        assert all(value >= 0 for value in self.model.values())

    @invariant()
    def the_records_alone_make_the_same_book(self):
        assert self.desk.replayed().state == self.desk.accounts.state
        assert UsageAccounts.load(self.desk.accounts.dump()).state == self.desk.accounts.state

    @invariant()
    def no_period_is_negative_double_or_out_of_order(self):
        found = [documents.parse(data) for data in self.desk.documents.values()]
        closed = sorted((one.period_ms, one.length_ms) for one in found if one.revision == 0)
        spans = closed + sorted((one.begin, one.length) for one in self.desk.accounts.state.periods.values())
        for (begin, length), (after, _) in pairwise(spans):
            assert length > 0 and begin + length <= after
        assert check_documents((name, data, documents.parse(data)) for name, data in self.desk.documents.items()) == []

    @invariant()
    def what_is_in_doubt_is_listed_or_counted(self):
        state = self.desk.accounts.state
        found = [documents.parse(data) for data in self.desk.documents.values()]
        listed = sum(len(one.in_doubt) + one.in_doubt_unlisted for one in found)
        listed += sum(len(one.doubted) + one.doubted_unlisted for one in state.periods.values())
        assert listed == self.doubted
        assert all(len(one.doubted) <= 5 for one in state.periods.values())
        assert len(state.documents) <= BOUNDS.documents and len(state.periods) <= BOUNDS.periods


TestBook = BookMachine.TestCase
TestBook.settings = settings(max_examples=300, stateful_step_count=40, deadline=None, derandomize=True)


def test_memory_is_the_rows_whatever_comes():
    desk = Desk()
    desk.open()
    for number in range(20_000):
        row = row_number(number % 3, number % 2, 2, number % 2, number % 5)
        desk.accounts.apply(number + 10, 1, Claim(number.to_bytes(8, "big"), row, 0, 1, 1, 1, 1))
        desk.accounts.apply(number + 10, 1, Marked(number + 10, [0], []))
    assert len(desk.accounts.state.periods[10_000].rows) <= 3 * 2 * 2 * 5
    assert not desk.accounts.state.waiting and len(desk.accounts.dump()) < 4000


def test_a_day_without_a_disk_for_documents_is_bounded_and_made_good():
    desk = Desk()
    desk.open()
    for _ in range(86_400 // 60):
        desk.now += 60_000
        desk.tell(Tick())
        desk.write(Claim(b"i" * 8, 0, FLAG_NO_ANSWER, 1, 0, 1, 1))
    assert (len(desk.accounts.state.documents), len(desk.accounts.state.periods)) == (3, 4)
    assert desk.all_rows()[("a", "look", "http", "served"), 0] == 1440
    desk.tell(DocumentsPublished(3))
    desk.tell(Tick())  # closes
    desk.tell(Tick())  # and turns, now that there is room
    assert desk.accounts.state.current == period_of(desk.now, 1000) and len(desk.documents) == 6


def asked(**changes):
    told = {
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
    return CorrectionRequested(**told)


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
def test_impossible_corrections_are_refused_with_the_reason(changes, text):
    desk = Desk()
    desk.open()
    count = len(desk.records)
    reply = desk.tell(asked(**changes))
    assert not reply.taken and len(desk.records) == count
    with pytest.raises(AssertionError, match=text):
        raise AssertionError(reply.text)


def test_the_same_id_changes_nothing_and_with_another_content_is_refused():
    desk = Desk()
    desk.open()
    assert desk.tell(asked()).taken
    count = len(desk.records)
    assert desk.tell(asked()) == Reply(True, "was taken before; nothing changes")
    assert not desk.tell(asked(amounts=(2, 0, 0, 0, 0, 0, 0))).taken
    assert len(desk.records) == count


def test_a_correction_counts_no_answer_that_is_on_its_way():
    desk = Desk()
    desk.open()
    sequence = desk.write(Claim(b"i" * 8, 0, 0, 0, 0, 0, 0))
    assert "0 and -1 is below zero" in desk.tell(asked(amounts=(-1, 0, 0, 0, 0, 0, 0))).text
    desk.write(Marked(sequence, [0], []))
    assert desk.tell(asked(amounts=(-1, 0, 0, 0, 0, 0, 0))).taken


def test_a_late_correction_makes_a_revision_and_the_original_stays():
    desk = Desk()
    desk.open()
    desk.now += 2000
    desk.tell(Tick())
    ((first, data),) = desk.documents.items()
    assert "revision 1" in desk.tell(asked(length=1000)).text
    assert "revision 2" in desk.tell(asked(id="c2", length=1000, closed=(1, 0, 0, 0, 0, 0, 0))).text
    assert desk.documents[first] == data
    revision = documents.parse(desk.documents[first.replace(".r0.", ".r2.")])
    assert (revision.revision, revision.rows[0].amounts.requests, revision.corrections[0].id) == (2, 1, "c2")
    assert revision.length_ms == 1000 and revision.previous != b""


def test_a_period_over_which_the_node_was_down_closes_at_the_next_start():
    desk = Desk()
    desk.open()
    desk.write(Claim(b"i" * 8, 0, FLAG_NO_ANSWER, 0, 0, 0, 0))
    desk.now += 3_000_000
    desk.open()
    document = documents.parse(next(iter(desk.documents.values())))
    assert document.period_ms == 10_000 and document.rows[0].amounts.requests == 1
    assert desk.accounts.state.current == 3_010_000


def test_a_period_stays_open_while_an_answer_of_it_is_on_its_way():
    desk = Desk()
    desk.open()
    sequence = desk.write(Claim(b"i" * 8, 0, 0, 0, 0, 0, 0))
    desk.now += 5000
    desk.tell(Tick())
    assert not desk.documents
    desk.write(Marked(sequence, [0], []))
    desk.tell(Tick())
    assert len(desk.documents) == 1


def test_records_keep_their_kinds_and_forms():
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


# The clock.


def test_a_clock_that_is_put_right_again_moves_no_period():
    clock = LedgerClock(1_000_000, 0)
    assert clock.read(1_000_010, 10) == (1_000_010, None)
    month = 30 * 86_400_000
    now, step = clock.read(1_000_020 + month, 20)
    assert now == 1_000_020 and step.by_ms == month
    assert clock.read(1_000_030 + month, 30) == (1_000_030, None)  # told once
    assert clock.read(1_000_040, 40) == (1_000_040, None)


@pytest.mark.parametrize("by", [30 * 86_400_000, -86_400_000])
def test_a_clock_that_stays_moved_is_followed_and_never_goes_back(by):
    clock = LedgerClock(1_000_000_000, 0)
    steady, last, steps = 0, 0, 0
    for _ in range(int(STEP_CONFIRM_MS // 1000) + 10):
        steady += 1000
        now, step = clock.read(1_000_000_000 + steady + by, steady)
        assert now >= last
        last, steps = now, steps + (step is not None)
    assert steps == 1
    expected = 1_000_000_000 + steady + by
    assert last == expected if by > 0 else last >= 1_000_000_000 + STEP_CONFIRM_MS


def test_a_clock_set_back_while_the_node_was_down_is_told_and_waited_for():
    clock = LedgerClock(1_000_000, 0, floor_ms=5_000_000)
    now, step = clock.read(1_000_001, 1)
    assert now == 5_000_000 and step.by_ms == -4_000_000
    assert clock.read(1_001_000, 1000)[0] == 5_000_000


@pytest.mark.parametrize("length", [1000, 1500, 86_400_000, 31 * 86_400_000])
def test_periods_are_counted_from_the_epoch_in_utc(length):
    begin = period_of(1_700_000_000_123, length)
    assert begin % length == 0 and begin <= 1_700_000_000_123 < begin + length
