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
    """Return the correction with the row's total and the period's length, where the period is not open here.

    The period may have closed, or may be one of an earlier ledger of this member, which another member took over.

    Raises:
        OSError, DamagedError: a document of the period, or an earlier ledger, can't be read.
    """
    if request.period in accounts.state.periods or not 0 <= request.period < 2**45:
        return request
    completed = _with_document_totals(files, folder, accounts, request)
    if completed.length is None:
        for earlier in earlier_ledgers(files, folder):
            completed = _with_earlier_totals(files, earlier, request)
            if completed.length is not None:
                break
    return completed


def _with_earlier_totals(files: Files, earlier: Path, request: CorrectionRequested) -> CorrectionRequested:
    """Return the correction with the totals that an earlier ledger has of the row."""
    accounts, _, _ = load(files, earlier)
    period = accounts.state.periods.get(request.period)
    if period is None:
        return _with_document_totals(files, earlier, accounts, request)
    key = request.club, request.class_name, request.front, request.outcome
    return replace(request, closed=tuple(accounts.settled_amounts(request.period, key)), length=period.length)


def _with_document_totals(
    files: Files, folder: Path, accounts: UsageAccounts, request: CorrectionRequested
) -> CorrectionRequested:
    """Return the correction with the totals of the row in the documents of its period, if there are any."""
    by_revision = {
        document.revision: document
        for document in read_documents(files, folder, f".{documents.utc(request.period)}.r").values()
    }
    unpublished = [documents.parse(pending.data) for pending in accounts.state.documents]
    by_revision |= {document.revision: document for document in unpublished if document.period_ms == request.period}
    if 0 not in by_revision:
        return request
    key = request.club, request.class_name, request.front, request.outcome
    recorded = documents.totals(by_revision.values()).get(key, [0] * len(AMOUNTS))
    return replace(request, closed=tuple(recorded), length=by_revision[0].length_ms)
