"""The usage accounts: the state that the ledger's records add up to.

A state machine without I/O: the same records give the same state. ``apply`` takes one record with its sequence and
epoch. Nothing here decides when a period rotates or closes, or whether a correction is accepted: ``policy.py`` decides
that, and its decisions arrive here as records.

Memory is bounded: rows by clubs, classes, fronts and outcomes for each open period; claims by the answers that are
being sent; requests in doubt, corrections, gaps, clock steps and incarnations by ``Bounds``, past which they are
counted but not listed; open periods and documents by the policy, which neither rotates nor closes past their bounds.
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
    """Maximum length of each list."""

    in_doubt: int = 10_000  # requests in doubt, per period
    corrections: int = 10_000  # whose ids are remembered
    period_events: int = 1000  # gaps, clock steps and incarnations, of each kind per period
    documents: int = 64  # made, and not in files of their own yet
    periods: int = 64  # open at once


class PendingClaim(msgspec.Struct, array_like=True, gc=False):
    """A claim that has no mark yet: its answer may be on its way to the caller."""

    period: int
    claim: Claim


class Period(msgspec.Struct):
    """An open period."""

    begin: int
    length: int
    first_sequence: int
    last_sequence: int
    rows: dict[str, list[int]] = {}  # amounts by row key, whose parts are joined by ``SEPARATOR``
    doubted: list[tuple[bytes, str, list[int]]] = []  # requests in doubt: id, row key, amounts
    doubted_unlisted: int = 0
    gaps: list[Gap] = []
    steps: list[ClockStepped] = []
    lives: list[tuple[int, int, bool]] = []  # incarnations: epoch, time, whether the one before ended cleanly
    corrections: list[Corrected] = []


class UnpublishedDocument(msgspec.Struct):
    """A document that was made and is not in a file of its own yet."""

    number: int
    name: str
    data: bytes


class AccountsState(msgspec.Struct):
    """The whole state of the accounts, as it is stored in a snapshot."""

    node: str = ""
    life: bytes = b""  # id of the ledger
    epoch: int = 0
    period_ms: int = 0
    clubs: list[str] = []
    classes: list[str] = []
    current: int | None = None  # begin of the period that new requests belong to
    periods: dict[int, Period] = {}  # the open ones, by begin
    waiting: dict[int, PendingClaim] = {}  # by sequence
    documents: list[UnpublishedDocument] = []
    number: int = 0  # of the last document
    digest: bytes = b""  # of the last document
    closed_to: int = 0  # the end of the last period that closed
    revisions: dict[int, int] = {}  # last revision of closed periods that were corrected, by begin
    corrections: dict[str, tuple[bytes, int]] = {}  # digest of the content and period, by id
    last_ms: int = 0  # the latest time in any record
    ended: bool = True  # the last incarnation stopped cleanly
    sequence: int = 0  # of the last record


SEPARATOR = "\x1f"  # occurs in no name


def join_row_key(key: RowKey) -> str:
    """Join the parts of a row key into one string."""
    return SEPARATOR.join(key)


def split_row_key(key: str) -> RowKey:
    """Split a string of ``join_row_key`` into its parts."""
    club, class_name, front, outcome = key.split(SEPARATOR)
    return club, class_name, front, outcome


@dataclass(slots=True)
class UsageAccounts:
    """The state machine of the accounts."""

    bounds: Bounds = field(default_factory=Bounds)
    state: AccountsState = field(default_factory=AccountsState)
    rows: dict[int, list[int]] = field(default_factory=dict)  # cache: rows of the current period, by row number

    # Queries.

    def row_key(self, number: int) -> RowKey:
        """Return the key of a row's number, under the current lists of clubs and classes."""
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
        """Return the rows of open periods, by the period's begin."""
        return {
            begin: {split_row_key(key): list(row) for key, row in sorted(period.rows.items())}
            for begin, period in sorted(self.state.periods.items())
        }

    def settled_amounts(self, begin: int, key: RowKey) -> list[int]:
        """Return a row of an open period without its pending claims, which may still leave the row."""
        row = list(self.state.periods[begin].rows.get(join_row_key(key), [0] * len(AMOUNTS)))
        for pending in self.state.waiting.values():
            if pending.period == begin and self.row_key(pending.claim.row) == key:
                row = [amount - part for amount, part in zip(row, claim_amounts(pending.claim), strict=True)]
        return row

    def dump(self) -> bytes:
        """Encode the state for a snapshot."""
        return msgspec.msgpack.encode(self.state)

    @classmethod
    def load(cls, data: bytes, bounds: Bounds | None = None) -> UsageAccounts:
        """Decode the state from a snapshot.

        Raises:
            ValueError: the data is no snapshot of usage accounts.
        """
        return cls(bounds or Bounds(), msgspec.msgpack.decode(data, type=AccountsState))

    # Changes.

    def apply(self, sequence: int, epoch: int, entry: Entry) -> None:
        """Apply one record."""
        kind = type(entry)
        self.state.sequence = sequence
        if kind is Claim:  # the most frequent record by far, so it skips the match below
            self.apply_claim(sequence, entry)  # type: ignore[arg-type]
            return
        match entry:
            case Marked():
                self._apply_marks(entry)
            case LateRun():
                self._apply_late_run(entry)
            case Opened():
                self._apply_start(epoch, entry)
            case RowListsChanged():
                self._apply_row_lists(entry)
            case Rotated():
                self._apply_rotation(sequence, entry)
            case Closed():
                self._apply_close(sequence, entry)
            case Corrected():
                self._apply_correction(sequence, entry)
            case Published():
                self.state.documents = [document for document in self.state.documents if document.number > entry.number]
            case Gap():
                self._add_period_event(lambda period: period.gaps, entry)
                self.state.last_ms = max(self.state.last_ms, entry.to_ms)
            case ClockStepped():
                self._add_period_event(lambda period: period.steps, entry)
                self.state.last_ms = max(self.state.last_ms, entry.at_ms)
            case Forgotten(before):
                state = self.state
                state.corrections = {id_: known for id_, known in state.corrections.items() if known[1] >= before}
                state.revisions = {begin: revision for begin, revision in state.revisions.items() if begin >= before}
            case Ended():
                self.state.ended = True
                self.state.last_ms = max(self.state.last_ms, entry.at_ms)

    def apply_claim(self, sequence: int, claim: Claim) -> None:
        """Apply a claim as ``apply`` does, but leave it to the caller to set ``state.sequence``."""
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
            self.state.waiting[sequence] = PendingClaim(self.state.current or 0, claim)

    def _row(self, period: int, number: int) -> list[int]:
        """Return the amounts of a row, which is created with zeros if it doesn't exist."""
        rows = self.state.periods[period].rows
        return rows.setdefault(join_row_key(self.row_key(number)), [0] * len(AMOUNTS))

    def _apply_marks(self, marked: Marked) -> None:
        waiting, base = self.state.waiting, marked.base
        for offset in marked.delivered:
            waiting.pop(base + offset, None)
        for offset in marked.undelivered:
            pending = waiting.pop(base + offset, None)
            if pending is not None:  # its caller disconnected while the answer was being sent
                claim = pending.claim
                self._move_claim(pending, self._row(pending.period, claim.row - claim.row % len(OUTCOMES) + GONE))

    def _move_claim(self, pending: PendingClaim, target: list[int] | None) -> list[int]:
        """Subtract a claim from its row and add it to the target row, if one is given; return its amounts."""
        amounts, row = claim_amounts(pending.claim), self._row(pending.period, pending.claim.row)
        for index, amount in enumerate(amounts):
            row[index] -= amount
            if target is not None:
                target[index] += amount
        return amounts

    def _apply_late_run(self, late: LateRun) -> None:
        is_open = late.period in self.state.periods
        row = self._row(late.period if is_open else self.state.current or 0, late.row)
        row[3] += late.run_us
        row[4] += late.calls

    def _apply_start(self, epoch: int, opened: Opened) -> None:
        state = self.state
        for pending in state.waiting.values():  # still under the row lists of the incarnation that claimed them
            period = state.periods[pending.period]
            amounts, key = self._move_claim(pending, None), self.row_key(pending.claim.row)
            if len(period.doubted) < self.bounds.in_doubt:
                period.doubted.append((pending.claim.id, join_row_key(key), amounts))
            else:
                period.doubted_unlisted += 1
        state.waiting = {}
        after_clean_end, state.ended = state.ended, False
        state.node, state.life, state.epoch, state.period_ms = opened.node, opened.life, epoch, opened.period_ms
        state.clubs, state.classes = opened.clubs, opened.classes
        state.last_ms = max(state.last_ms, opened.at_ms)
        self.rows.clear()
        self._add_period_event(lambda period: period.lives, (epoch, opened.at_ms, after_clean_end))

    def _apply_row_lists(self, changed: RowListsChanged) -> None:
        state = self.state
        before, after = (state.clubs, state.classes), (changed.clubs, changed.classes)
        for pending in state.waiting.values():
            pending.claim = msgspec.structs.replace(pending.claim, row=renumber_row(pending.claim.row, before, after))
        state.clubs, state.classes = changed.clubs, changed.classes
        self.rows.clear()

    def _apply_rotation(self, sequence: int, rotated: Rotated) -> None:
        state = self.state
        new = Period(rotated.period, rotated.length, sequence, sequence)
        if state.current is None:
            new.lives.append((state.epoch, state.last_ms, True))
        else:
            state.periods[state.current].last_sequence = sequence - 1
        state.periods[rotated.period] = new
        state.current, state.last_ms = rotated.period, max(state.last_ms, rotated.period)
        self.rows.clear()

    def _add_period_event(self, select_list: Any, event: Any) -> None:
        """Add an event to one of the lists of the current period."""
        if self.state.current is not None:
            period = self.state.periods.get(self.state.current)
            if period is not None and len(select_list(period)) < self.bounds.period_events:
                select_list(period).append(event)

    def _apply_close(self, sequence: int, closed: Closed) -> None:
        state = self.state
        period = state.periods.pop(closed.period)
        state.closed_to = max(state.closed_to, period.begin + period.length)
        state.last_ms = max(state.last_ms, closed.at_ms)
        document = self._new_document(period.begin, period.length, 0, closed.at_ms)
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
            pb.Life(epoch=epoch, opened_ms=at_ms, after_clean_end=after_clean_end)
            for epoch, at_ms, after_clean_end in period.lives
        )
        document.corrections.extend(map(_correction_message, period.corrections))
        self._add_document(document)

    def _apply_correction(self, sequence: int, entry: Corrected) -> None:
        state = self.state
        state.corrections[entry.id] = content_digest(entry), entry.period
        state.last_ms = max(state.last_ms, entry.at_ms)
        key = entry.club, entry.class_name, entry.front, entry.outcome
        period = state.periods.get(entry.period)
        if period is not None:
            row = period.rows.setdefault(join_row_key(key), [0] * len(AMOUNTS))
            for index, amount in enumerate(entry.amounts):
                row[index] += amount
            period.corrections.append(entry)
            return
        state.revisions[entry.period] = state.revisions.get(entry.period, 0) + 1
        document = self._new_document(entry.period, entry.length, state.revisions[entry.period], entry.at_ms)
        document.first_sequence = document.last_sequence = sequence
        document.rows.append(documents.make_row(key, entry.amounts))
        document.corrections.append(_correction_message(entry))
        self._add_document(document)

    def _new_document(self, begin: int, length: int, revision: int, at_ms: int) -> pb.UsageDocument:
        """Make the next document, without its rows. It names the digest of the one before."""
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

    def _add_document(self, document: pb.UsageDocument) -> None:
        """Add a finished document to those that wait to be published."""
        state, data = self.state, documents.serialize(document)
        state.documents.append(UnpublishedDocument(document.number, documents.document_name(document), data))
        state.number, state.digest = document.number, documents.compute_digest(data)


def claim_amounts(claim: Claim) -> list[int]:
    """Return what a claim adds to its row, in the order of ``AMOUNTS``."""
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
    """Return a digest of a correction without its id and the time of its arrival.

    Two corrections are the same if their ids and these digests are.
    """
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


def _correction_message(entry: Corrected) -> pb.Correction:
    key = entry.club, entry.class_name, entry.front, entry.outcome
    return pb.Correction(
        id=entry.id,
        author=entry.author,
        reason=entry.reason,
        at_ms=entry.at_ms,
        row=documents.make_row(key, entry.amounts),
    )
