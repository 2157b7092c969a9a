"""Corrections as they are handed in: their form as JSON, and what stands of the row they change."""

from __future__ import annotations

import json
from dataclasses import asdict, replace
from pathlib import Path

from flintshift.storage.files import Files
from flintshift.usage import documents
from flintshift.usage.accounts import UsageAccounts
from flintshift.usage.folder import read_documents
from flintshift.usage.messages import CorrectionRequested
from flintshift.usage.records import AMOUNTS

TEXTS = ("id", "author", "reason", "club", "class_name", "front", "outcome")


def to_json(asked: CorrectionRequested) -> bytes:
    told = asdict(asked)
    del told["closed"], told["length"]
    return json.dumps(told).encode()


def from_json(data: bytes) -> CorrectionRequested:
    """
    Raises:
        ValueError: it is no correction; the text says why.
    """
    told = json.loads(data)
    if not isinstance(told, dict):
        raise ValueError("a correction is an object")
    for name in TEXTS:
        if not isinstance(told.get(name), str):
            raise ValueError(f"{name} is no text")
    amounts = told.get("amounts")
    if not isinstance(amounts, list) or len(amounts) != len(AMOUNTS) or not all(type(by) is int for by in amounts):
        raise ValueError(f"amounts are {len(AMOUNTS)} whole numbers: {', '.join(AMOUNTS)}")
    if type(told.get("period")) is not int:
        raise ValueError("period is no whole number of milliseconds")
    return CorrectionRequested(period=told["period"], amounts=tuple(amounts), **{name: told[name] for name in TEXTS})


def with_closed_totals(
    files: Files, folder: Path, book: UsageAccounts, asked: CorrectionRequested
) -> CorrectionRequested:
    """The correction with what its row holds now, where its period has closed.

    Raises:
        DamagedError: a document of the period can't be read.
    """
    if asked.period in book.state.periods or not 0 <= asked.period < 2**45:
        return asked
    found = {
        document.revision: document
        for document in read_documents(files, folder, f".{documents.utc(asked.period)}.r").values()
    }
    waiting = [documents.parse(made.data) for made in book.state.documents]
    found |= {document.revision: document for document in waiting if document.period_ms == asked.period}
    if 0 not in found:
        return asked
    names = asked.club, asked.class_name, asked.front, asked.outcome
    standing = documents.totals(found.values()).get(names, [0] * len(AMOUNTS))
    return replace(asked, closed=tuple(standing), length=found[0].length_ms)
