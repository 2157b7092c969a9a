"""Reconciliation: what is wrong among the documents of many nodes, and against a count of the callers' side. No I/O.

It finds documents that are missing or stand twice with other contents, chains that are broken, records that no
document or two of them cover, periods that overlap, two lives of a node that share an epoch, and totals that
differ. Each finding names the node, the period and the club it is about, and by how much.
"""

from __future__ import annotations

import csv
import io
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import pairwise

from flintshift.proto import usage_pb2 as pb
from flintshift.usage import documents
from flintshift.usage.documents import utc


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    kind: str  # gap, overlap, chain, epoch, conflict, total
    node: str
    period: str  # as documents are named by; empty where it is about more than one
    club: str
    text: str
    by: int = 0  # requests, where it is about a total: documents minus count

    def __str__(self) -> str:
        where = " ".join(filter(None, (self.node, self.period, self.club)))
        return f"{self.kind}: {where}: {self.text}"


def check_documents(found: Iterable[tuple[str, bytes, pb.UsageDocument]]) -> list[Finding]:
    """Findings among documents, each given as (where it was read, its bytes, itself)."""
    findings: list[Finding] = []
    folders: dict[tuple[str, bytes], dict[int, tuple[bytes, pb.UsageDocument]]] = defaultdict(dict)
    epochs: dict[tuple[str, int], set[bytes]] = defaultdict(set)
    for where, data, document in found:
        digest = documents.compute_digest(data)
        known = folders[document.node, document.life].setdefault(document.number, (digest, document))
        if known[0] != digest:
            findings.append(
                Finding(
                    "conflict",
                    document.node,
                    utc(document.period_ms),
                    "",
                    f"two documents are number {document.number}: {documents.document_name(known[1])} and {where}",
                )
            )
        epochs[document.node, document.epoch].add(document.life)
    for (node, epoch), lives in epochs.items():
        if len(lives) > 1:
            findings.append(
                Finding(
                    "epoch",
                    node,
                    "",
                    "",
                    f"{len(lives)} ledgers share the epoch {epoch}: "
                    + ", ".join(sorted(life.hex()[:8] for life in lives)),
                )
            )
    for (node, _), by_number in folders.items():
        ordered = [by_number[number] for number in sorted(by_number)]
        findings += _chain(node, ordered)
        findings += _cover(node, [document for _, document in ordered if document.revision == 0])
        findings += _below_zero(node, [document for _, document in ordered])
    return sorted(set(findings))


def _chain(node: str, ordered: list[tuple[bytes, pb.UsageDocument]]) -> list[Finding]:
    findings = []
    first = ordered[0][1]
    if first.number > 1:
        findings.append(
            Finding(
                "gap",
                node,
                "",
                "",
                f"documents 1 to {first.number - 1} are missing before {documents.document_name(first)}",
            )
        )
    for (digest, before), (_, document) in pairwise(ordered):
        if document.number > before.number + 1:
            findings.append(
                Finding(
                    "gap",
                    node,
                    utc(document.period_ms),
                    "",
                    f"documents {before.number + 1} to "
                    f"{document.number - 1} are missing before {documents.document_name(document)}",
                )
            )
        elif document.previous != digest:
            findings.append(
                Finding(
                    "chain",
                    node,
                    utc(document.period_ms),
                    "",
                    f"{documents.document_name(document)} names another document "
                    f"before it than {documents.document_name(before)}",
                )
            )
        if document.epoch < before.epoch:
            findings.append(
                Finding(
                    "epoch",
                    node,
                    utc(document.period_ms),
                    "",
                    f"epoch {document.epoch} comes after epoch {before.epoch}",
                )
            )
    return findings


def _cover(node: str, closed: list[pb.UsageDocument]) -> list[Finding]:
    findings = []
    for before, document in pairwise(closed):
        end, begin = before.period_ms + before.length_ms, document.period_ms
        if begin < end:
            findings.append(
                Finding(
                    "overlap",
                    node,
                    utc(begin),
                    "",
                    f"begins {end - begin} ms before the period {utc(before.period_ms)} ends",
                )
            )
        if document.first_sequence > before.last_sequence + 1:
            findings.append(
                Finding(
                    "gap",
                    node,
                    utc(begin),
                    "",
                    f"no document covers the records {before.last_sequence + 1} to {document.first_sequence - 1}",
                )
            )
        elif document.first_sequence <= before.last_sequence:
            findings.append(
                Finding(
                    "overlap",
                    node,
                    utc(begin),
                    "",
                    f"covers records from {document.first_sequence} on, and the period before "
                    f"those up to {before.last_sequence}",
                )
            )
    return findings


def _below_zero(node: str, all_: list[pb.UsageDocument]) -> list[Finding]:
    by_period: dict[int, list[pb.UsageDocument]] = defaultdict(list)
    for document in all_:
        by_period[document.period_ms].append(document)
    return [
        Finding("total", node, utc(period), names[0], f"{'/'.join(names[1:])} is below zero: {min(row)}", min(row))
        for period, found in by_period.items()
        if any(document.revision == 0 for document in found)
        for names, row in documents.totals(found).items()
        if min(row) < 0
    ]


Counted = Mapping[tuple[str, str, str], int]  # requests by node, period and club; an empty name stands for all


def compare_totals(found: Iterable[pb.UsageDocument], counted: Counted) -> list[Finding]:
    """Findings between the documents' totals and what callers counted. Callers that went and requests in doubt are
    told beside a difference: they are what may explain it."""
    kept = list(found)
    findings = []
    for (node, period, club), count in sorted(counted.items()):
        total = gone = doubt = 0
        for document in kept:
            if (node and document.node != node) or (period and utc(document.period_ms) != period):
                continue
            for row in document.rows:
                if not club or row.club == club:
                    if row.outcome == "gone":
                        gone += row.amounts.requests
                    else:
                        total += row.amounts.requests
            doubt += sum(1 for entry in document.in_doubt if not club or entry.row.club == club)
        if total != count:
            findings.append(
                Finding(
                    "total",
                    node or "(all)",
                    period,
                    club or "(all)",
                    (
                        f"{total:,} booked, {count:,} counted: {total - count:+,} "
                        f"({gone:,} callers went, {doubt:,} in doubt)"
                    ),
                    total - count,
                )
            )
    return findings


def parse_caller_counts(text: str) -> dict[tuple[str, str, str], int]:
    """A caller-side count: CSV with the columns requests and any of node, period, club.

    Raises:
        ValueError: a line can't be used; the text names it.
    """
    reader = csv.DictReader(io.StringIO(text))
    known = {"node", "period", "club", "requests"}
    if not reader.fieldnames or "requests" not in reader.fieldnames or set(reader.fieldnames) - known:
        raise ValueError(
            f"line 1: expected the columns requests and any of node, period, club; "
            f"found {', '.join(reader.fieldnames or ()) or 'nothing'}"
        )
    counted: dict[tuple[str, str, str], int] = defaultdict(int)
    for row in reader:
        try:
            counted[row.get("node") or "", row.get("period") or "", row.get("club") or ""] += int(row["requests"])
        except (TypeError, ValueError):
            raise ValueError(f"line {reader.line_num}: requests is no whole number: {row['requests']!r}") from None
    return dict(counted)
