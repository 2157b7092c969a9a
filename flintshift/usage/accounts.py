"""The book: what the ledger's log adds up to. A state machine without I/O: the same records, the same state.

``apply`` takes one record with its sequence and epoch. Nothing here decides when a period turns or closes, nor
whether a correction is taken: ``keeper.py`` does, and writes records.

Memory is bounded: rows by clubs, classes, fronts and outcomes for each open period; claims by the answers on their
way; what is in doubt, corrections, gaps, steps and lives by ``Bounds``, past which they are counted and not listed;
open periods and documents by the keeper, which neither turns nor closes past their bounds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from flintshift.proto import usage_pb2 as pb
from flintshift.usage import documents
from flintshift.usage.documents import RowKey
from flintshift.usage.records import (
    AMOUNTS,
    FLAG_FURTHER_TRY,
    FLAG_KEPT_RESULT,
    FLAG_NO_ANSWER,
    FRONTS,
    GONE,
    OTHER_CLUBS,
    OUTCOMES,
    Claim,
    ClockStepped,
    Closed,
    Corrected,
    Ended,
    Entry,
    Forgotten,
    Gap,
    LateRun,
    Marked,
    Opened,
    Published,
    Rotated,
    RowListsChanged,
    renumber_row,
)


@dataclass(frozen=True, slots=True)
class Bounds:
    """The most that each list holds."""

    in_doubt: int = 10_000  # requests in doubt, a period
    corrections: int = 10_000  # whose ids are known
    notes: int = 1000  # gaps, steps and lives, a period
    documents: int = 64  # made, and not in files of their own yet
    periods: int = 64  # open at once


class Waiting(msgspec.Struct, array_like=True, gc=False):
    """A claim whose answer may be on its way."""

    period: int
    claim: Claim


class Period(msgspec.Struct):
    begin: int
    length: int
    first_sequence: int
    last_sequence: int
    rows: dict[str, list[int]] = {}  # by the names of the row, joined by a character that no name holds
    doubted: list[tuple[bytes, str, list[int]]] = []
    doubted_unlisted: int = 0
    gaps: list[Gap] = []
    steps: list[ClockStepped] = []
    lives: list[tuple[int, int, bool]] = []  # epoch, time, whether the life before ended well
    corrections: list[Corrected] = []


class UnpublishedDocument(msgspec.Struct):
    """A document that was made and does not stand in a file of its own yet."""

    number: int
    name: str
    data: bytes


class AccountsState(msgspec.Struct):
    """All of the book, as a snapshot holds it."""

    node: str = ""
    life: bytes = b""
    epoch: int = 0
    period_ms: int = 0
    clubs: list[str] = []
    classes: list[str] = []
    current: int | None = None  # the begin of the period that requests belong to now
    periods: dict[int, Period] = {}  # the open ones
    waiting: dict[int, Waiting] = {}  # by sequence
    documents: list[UnpublishedDocument] = []
    number: int = 0  # of the last document
    digest: bytes = b""  # of the last document
    closed_to: int = 0  # the end of the last period that closed
    revisions: dict[int, int] = {}  # of closed periods that were corrected
    corrections: dict[str, tuple[bytes, int]] = {}  # digest of the content and period, by id
    last_ms: int = 0  # the latest time that a record told
    ended: bool = True  # the last life left in good order
    sequence: int = 0  # of the last record


SEPARATOR = "\x1f"


def joined(names: RowKey) -> str:
    return SEPARATOR.join(names)


def split_row_key(key: str) -> RowKey:
    club, class_name, front, outcome = key.split(SEPARATOR)
    return club, class_name, front, outcome


@dataclass(slots=True)
class UsageAccounts:
    bounds: Bounds = field(default_factory=Bounds)
    state: AccountsState = field(default_factory=AccountsState)
    rows: dict[int, list[int]] = field(default_factory=dict)  # of the current period, by their number

    # What is asked of it.

    def row_key(self, number: int) -> RowKey:
        """The names of a row's number, as the configuration of this life counts them."""
        number, outcome = divmod(number, len(OUTCOMES))
        number, front = divmod(number, len(FRONTS))
        club, class_ = divmod(number, len(self.state.classes))
        clubs = self.state.clubs
        return (
            clubs[club] if club < len(clubs) else OTHER_CLUBS,
            self.state.classes[class_],
            FRONTS[front],
            OUTCOMES[outcome],
        )

    def totals(self) -> dict[int, dict[RowKey, list[int]]]:
        """Open periods' rows, by the period's begin."""
        return {
            begin: {split_row_key(key): list(row) for key, row in sorted(period.rows.items())}
            for begin, period in sorted(self.state.periods.items())
        }

    def settled_amounts(self, begin: int, names: RowKey) -> list[int]:
        """A row of an open period less the claims whose answers are on their way, which may still leave it."""
        row = list(self.state.periods[begin].rows.get(joined(names), [0] * len(AMOUNTS)))
        for found in self.state.waiting.values():
            if found.period == begin and self.row_key(found.claim.row) == names:
                row = [amount - less for amount, less in zip(row, amounts_of(found.claim), strict=True)]
        return row

    def dump(self) -> bytes:
        return msgspec.msgpack.encode(self.state)

    @classmethod
    def load(cls, data: bytes, bounds: Bounds | None = None) -> UsageAccounts:
        """
        Raises:
            ValueError: it is no snapshot of a book.
        """
        return cls(bounds or Bounds(), msgspec.msgpack.decode(data, type=AccountsState))

    # What it is told.

    def apply(self, sequence: int, epoch: int, entry: Entry) -> None:
        kind = type(entry)
        self.state.sequence = sequence
        if kind is Claim:  # by far the most: first, and without a detour
            self.apply_claim(sequence, entry)  # type: ignore[arg-type]
            return
        match entry:
            case Marked():
                self._marked(entry)
            case LateRun():
                self._late(entry)
            case Opened():
                self._opened(epoch, entry)
            case RowListsChanged():
                self._listed(entry)
            case Rotated():
                self._turned(sequence, entry)
            case Closed():
                self._closed(sequence, entry)
            case Corrected():
                self._corrected(sequence, entry)
            case Published():
                self.state.documents = [made for made in self.state.documents if made.number > entry.number]
            case Gap():
                self._note(lambda period: period.gaps, entry)
                self.state.last_ms = max(self.state.last_ms, entry.to_ms)
            case ClockStepped():
                self._note(lambda period: period.steps, entry)
                self.state.last_ms = max(self.state.last_ms, entry.at_ms)
            case Forgotten(before):
                state = self.state
                state.corrections = {id_: known for id_, known in state.corrections.items() if known[1] >= before}
                state.revisions = {begin: no for begin, no in state.revisions.items() if begin >= before}
            case Ended():
                self.state.ended = True
                self.state.last_ms = max(self.state.last_ms, entry.at_ms)

    def apply_claim(self, sequence: int, claim: Claim) -> None:
        """``apply`` for a claim; the caller of this one tells the sequence of its last record itself."""
        row = self.rows.get(claim.row)
        if row is None:
            row = self.rows[claim.row] = self._row(self.state.current or 0, claim.row)
        flags = claim.flags
        row[0] += 1
        if flags:
            row[1] += flags & FLAG_FURTHER_TRY
            row[2] += bool(flags & FLAG_KEPT_RESULT)
        row[3] += claim.run_us
        row[4] += claim.calls
        row[5] += claim.bytes_in
        row[6] += claim.bytes_out
        if not flags & FLAG_NO_ANSWER:
            self.state.waiting[sequence] = Waiting(self.state.current or 0, claim)

    def _row(self, period: int, number: int) -> list[int]:
        rows = self.state.periods[period].rows
        return rows.setdefault(joined(self.row_key(number)), [0] * len(AMOUNTS))

    def _marked(self, marked: Marked) -> None:
        waiting, base = self.state.waiting, marked.base
        for after in marked.delivered:
            waiting.pop(base + after, None)
        for after in marked.undelivered:
            found = waiting.pop(base + after, None)
            if found is not None:  # its caller went while the answer was on its way
                claim = found.claim
                self._move(found, self._row(found.period, claim.row - claim.row % len(OUTCOMES) + GONE))

    def _move(self, found: Waiting, to: list[int] | None) -> list[int]:
        """Take a claim out of its row again, and into another one if there is one; returns its amounts."""
        amounts, row = amounts_of(found.claim), self._row(found.period, found.claim.row)
        for place, amount in enumerate(amounts):
            row[place] -= amount
            if to is not None:
                to[place] += amount
        return amounts

    def _late(self, late: LateRun) -> None:
        open_ = late.period in self.state.periods
        row = self._row(late.period if open_ else self.state.current or 0, late.row)
        row[3] += late.run_us
        row[4] += late.calls

    def _opened(self, epoch: int, opened: Opened) -> None:
        state = self.state
        for found in state.waiting.values():  # by the names of the life that claimed them
            period = state.periods[found.period]
            amounts, names = self._move(found, None), self.row_key(found.claim.row)
            if len(period.doubted) < self.bounds.in_doubt:
                period.doubted.append((found.claim.id, joined(names), amounts))
            else:
                period.doubted_unlisted += 1
        state.waiting = {}
        well, state.ended = state.ended, False
        state.node, state.life, state.epoch, state.period_ms = opened.node, opened.life, epoch, opened.period_ms
        state.clubs, state.classes = opened.clubs, opened.classes
        state.last_ms = max(state.last_ms, opened.at_ms)
        self.rows.clear()
        self._note(lambda period: period.lives, (epoch, opened.at_ms, well))

    def _listed(self, listed: RowListsChanged) -> None:
        state = self.state
        before, after = (state.clubs, state.classes), (listed.clubs, listed.classes)
        for found in state.waiting.values():
            found.claim = msgspec.structs.replace(found.claim, row=renumber_row(found.claim.row, before, after))
        state.clubs, state.classes = listed.clubs, listed.classes
        self.rows.clear()

    def _turned(self, sequence: int, turned: Rotated) -> None:
        state = self.state
        new = Period(turned.period, turned.length, sequence, sequence)
        if state.current is None:
            new.lives.append((state.epoch, state.last_ms, True))
        else:
            state.periods[state.current].last_sequence = sequence - 1
        state.periods[turned.period] = new
        state.current, state.last_ms = turned.period, max(state.last_ms, turned.period)
        self.rows.clear()

    def _note(self, of: Any, note: Any) -> None:
        """List what happened with the period of now."""
        if self.state.current is not None:
            period = self.state.periods.get(self.state.current)
            if period is not None and len(of(period)) < self.bounds.notes:
                of(period).append(note)

    def _closed(self, sequence: int, closed: Closed) -> None:
        state = self.state
        period = state.periods.pop(closed.period)
        state.closed_to = max(state.closed_to, period.begin + period.length)
        state.last_ms = max(state.last_ms, closed.at_ms)
        document = self._document(period.begin, period.length, 0, closed.at_ms)
        document.first_sequence, document.last_sequence = period.first_sequence, period.last_sequence
        document.rows.extend(
            documents.make_row(split_row_key(key), row) for key, row in sorted(period.rows.items()) if any(row)
        )
        document.in_doubt.extend(
            pb.InDoubt(id=id_, row=documents.make_row(split_row_key(key), amounts))
            for id_, key, amounts in period.doubted
        )
        document.in_doubt_unlisted = period.doubted_unlisted
        document.gaps.extend(
            pb.Gap(from_ms=gap.from_ms, to_ms=gap.to_ms, requests=gap.requests, cause=gap.cause) for gap in period.gaps
        )
        document.steps.extend(pb.Step(at_ms=step.at_ms, by_ms=step.by_ms) for step in period.steps)
        document.lives.extend(
            pb.Life(epoch=epoch, opened_ms=at_ms, after_clean_end=well) for epoch, at_ms, well in period.lives
        )
        document.corrections.extend(map(_correction, period.corrections))
        self._made(document)

    def _corrected(self, sequence: int, entry: Corrected) -> None:
        state = self.state
        state.corrections[entry.id] = content_digest(entry), entry.period
        state.last_ms = max(state.last_ms, entry.at_ms)
        names = entry.club, entry.class_name, entry.front, entry.outcome
        period = state.periods.get(entry.period)
        if period is not None:
            row = period.rows.setdefault(joined(names), [0] * len(AMOUNTS))
            for place, amount in enumerate(entry.amounts):
                row[place] += amount
            period.corrections.append(entry)
            return
        state.revisions[entry.period] = state.revisions.get(entry.period, 0) + 1
        document = self._document(entry.period, entry.length, state.revisions[entry.period], entry.at_ms)
        document.first_sequence = document.last_sequence = sequence
        document.rows.append(documents.make_row(names, entry.amounts))
        document.corrections.append(_correction(entry))
        self._made(document)

    def _document(self, begin: int, length: int, revision: int, at_ms: int) -> pb.UsageDocument:
        state = self.state
        return pb.UsageDocument(
            schema=documents.SCHEMA,
            node=state.node,
            life=state.life,
            epoch=state.epoch,
            number=state.number + 1,
            previous=state.digest,
            period_ms=begin,
            length_ms=length,
            revision=revision,
            closed_ms=at_ms,
        )

    def _made(self, document: pb.UsageDocument) -> None:
        state, data = self.state, documents.serialize(document)
        state.documents.append(UnpublishedDocument(document.number, documents.document_name(document), data))
        state.number, state.digest = document.number, documents.compute_digest(data)


def amounts_of(claim: Claim) -> list[int]:
    return [
        1,
        int(bool(claim.flags & FLAG_FURTHER_TRY)),
        int(bool(claim.flags & FLAG_KEPT_RESULT)),
        claim.run_us,
        claim.calls,
        claim.bytes_in,
        claim.bytes_out,
    ]


def content_digest(entry: Corrected) -> bytes:
    """What makes two corrections the same: all but the time at which they came."""
    return documents.compute_digest(
        msgspec.msgpack.encode(
            (
                entry.author,
                entry.reason,
                entry.period,
                entry.club,
                entry.class_name,
                entry.front,
                entry.outcome,
                entry.amounts,
            )
        )
    )


def _correction(entry: Corrected) -> pb.Correction:
    names = entry.club, entry.class_name, entry.front, entry.outcome
    return pb.Correction(
        id=entry.id,
        author=entry.author,
        reason=entry.reason,
        at_ms=entry.at_ms,
        row=documents.make_row(names, entry.amounts),
    )
