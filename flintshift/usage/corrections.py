"""Corrections as they are submitted: their JSON form, and the amounts recorded so far for the row that they change."""

from __future__ import annotations

import json
from dataclasses import asdict, replace
from pathlib import Path

from flintshift.storage.files import Files
from flintshift.usage import documents
from flintshift.usage.accounts import UsageAccounts
from flintshift.usage.folder import earlier_ledgers, load, read_documents
from flintshift.usage.messages import CorrectionRequested
from flintshift.usage.records import AMOUNTS

TEXT_FIELDS = ("id", "author", "reason", "club", "class_name", "front", "outcome")


def to_json(request: CorrectionRequested) -> bytes:
    """Encode a correction for the ledger's inbox."""
    values = asdict(request)
    del values["closed"], values["length"]
    return json.dumps(values).encode()


def from_json(data: bytes) -> CorrectionRequested:
    """Decode a correction from the ledger's inbox.

    Raises:
        ValueError: it is no correction; the text says why.
    """
    values = json.loads(data)
    if not isinstance(values, dict):
        raise ValueError("a correction is an object")
    for name in TEXT_FIELDS:
        if not isinstance(values.get(name), str):
            raise ValueError(f"{name} is no text")
    amounts = values.get("amounts")
    if (
        not isinstance(amounts, list)
        or len(amounts) != len(AMOUNTS)
        or not all(type(amount) is int for amount in amounts)
    ):
        raise ValueError(f"amounts are {len(AMOUNTS)} whole numbers: {', '.join(AMOUNTS)}")
    if type(values.get("period")) is not int:
        raise ValueError("period is no whole number of milliseconds")
    return CorrectionRequested(
        period=values["period"], amounts=tuple(amounts), **{name: values[name] for name in TEXT_FIELDS}
    )


def with_closed_totals(
    files: Files, folder: Path, accounts: UsageAccounts, request: CorrectionRequested
) -> CorrectionRequested:
    """Return the correction with the row's total and the period's length, where the period has closed.

    The length stays unknown where the period is not one of this ledger; the total is then that of its corrections here.

    Raises:
        DamagedError: a document of the period can't be read.
    """
    if request.period in accounts.state.periods or not 0 <= request.period < 2**45:
        return request
    by_revision = {
        document.revision: document
        for document in read_documents(files, folder, f".{documents.utc(request.period)}.r").values()
    }
    unpublished = [documents.parse(pending.data) for pending in accounts.state.documents]
    by_revision |= {document.revision: document for document in unpublished if document.period_ms == request.period}
    recorded = documents.totals(by_revision.values()).get(_row_key(request), [0] * len(AMOUNTS))
    length_ms = by_revision[0].length_ms if 0 in by_revision else None
    return replace(request, closed=tuple(recorded), length=length_ms)


def may_be_of_earlier_ledger(files: Files, folder: Path, accounts: UsageAccounts, request: CorrectionRequested) -> bool:
    """Whether a correction that ``with_closed_totals`` returned may be one of a period of an earlier ledger."""
    is_known = request.period in accounts.state.periods or request.length is not None
    return not is_known and bool(earlier_ledgers(files, folder))


def with_earlier_totals(files: Files, folder: Path, request: CorrectionRequested) -> CorrectionRequested:
    """Return the correction with the total and the length that an earlier ledger of this member has of its period.

    Another member took that ledger over. It is read whole, which may take seconds.

    Raises:
        OSError, DamagedError: it can't be read.
    """
    for earlier in earlier_ledgers(files, folder):
        accounts, _, _ = load(files, earlier)
        found = _find_totals(files, earlier, accounts, request)
        if found.length is not None:
            here = request.closed or (0,) * len(AMOUNTS)
            total = tuple(map(sum, zip(found.closed or here, here, strict=True)))
            return replace(found, closed=total)
    return request


def _find_totals(
    files: Files, folder: Path, accounts: UsageAccounts, request: CorrectionRequested
) -> CorrectionRequested:
    """Return the correction with the totals of its period in one ledger, where that is open or closed there."""
    period = accounts.state.periods.get(request.period)
    if period is None:
        return with_closed_totals(files, folder, accounts, request)
    recorded = accounts.settled_amounts(request.period, _row_key(request))
    return replace(request, closed=tuple(recorded), length=period.length)


def _row_key(request: CorrectionRequested) -> documents.RowKey:
    return request.club, request.class_name, request.front, request.outcome


def with_known_totals(
    files: Files, folder: Path, accounts: UsageAccounts, request: CorrectionRequested
) -> CorrectionRequested:
    """Return the correction with the totals of its period, in this ledger or an earlier one.

    Raises:
        OSError, DamagedError: a ledger can't be read.
    """
    completed = with_closed_totals(files, folder, accounts, request)
    if may_be_of_earlier_ledger(files, folder, accounts, completed):
        return with_earlier_totals(files, folder, completed)
    return completed
