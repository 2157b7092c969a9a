"""Reconciliation: checks the documents of any number of nodes, and compares them with counts of the callers. No I/O.

It finds documents that are missing or occur twice with different contents, broken chains of digests, records that no
document or more than one covers, periods that overlap, two ledgers of a node that share an epoch, and totals that
differ. Each finding names the node, the period and the club, and the size of a difference.
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
    """One inconsistency."""

    kind: str  # gap, overlap, chain, epoch, conflict, total
    node: str
    period: str  # its begin, as in document names; empty if it concerns more than one
    club: str
    text: str
    by: int = 0  # of a total: requests in documents minus requests counted

    def __str__(self) -> str:
        where = " ".join(filter(None, (self.node, self.period, self.club)))
        return f"{self.kind}: {where}: {self.text}"


def check_documents(sources: Iterable[tuple[str, bytes, pb.UsageDocument]]) -> list[Finding]:
    """Check documents against each other. Each is given as (where it was read, its bytes, the decoded document)."""
    findings: list[Finding] = []
    ledgers: dict[tuple[str, bytes], dict[int, tuple[bytes, pb.UsageDocument]]] = defaultdict(dict)
    epochs: dict[tuple[str, int], set[bytes]] = defaultdict(set)
    for where, data, document in sources:
        digest = documents.compute_digest(data)
        known = ledgers[document.node, document.life].setdefault(document.number, (digest, document))
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
    for (node, epoch), ledger_ids in epochs.items():
        if len(ledger_ids) > 1:
            findings.append(
                Finding(
                    "epoch",
                    node,
                    "",
                    "",
                    f"{len(ledger_ids)} ledgers share the epoch {epoch}: "
                    + ", ".join(sorted(ledger_id.hex()[:8] for ledger_id in ledger_ids)),
                )
            )
    for (node, _), by_number in ledgers.items():
        ordered = [by_number[number] for number in sorted(by_number)]
        findings += _check_chain(node, ordered)
        findings += _check_coverage(node, [document for _, document in ordered if document.revision == 0])
        findings += _find_negative_totals(node, [document for _, document in ordered])
    return sorted(set(findings))


def _check_chain(node: str, ordered: list[tuple[bytes, pb.UsageDocument]]) -> list[Finding]:
    """Check that a ledger's documents, in their order, are numbered without gaps and chained by their digests."""
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


def _check_coverage(node: str, closed: list[pb.UsageDocument]) -> list[Finding]:
    """Check that a ledger's closed periods neither overlap nor leave records out."""
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


def _find_negative_totals(node: str, all_documents: list[pb.UsageDocument]) -> list[Finding]:
    """Find rows of closed periods that add up, with all revisions, to less than zero."""
    by_period: dict[int, list[pb.UsageDocument]] = defaultdict(list)
    for document in all_documents:
        by_period[document.period_ms].append(document)
    return [
        Finding("total", node, utc(period), key[0], f"{'/'.join(key[1:])} is below zero: {min(row)}", min(row))
        for period, revisions in by_period.items()
        if any(document.revision == 0 for document in revisions)
        for key, row in documents.totals(revisions).items()
        if min(row) < 0
    ]


CallerCounts = Mapping[tuple[str, str, str], int]  # requests by node, period and club; an empty name means all


def compare_totals(sources: Iterable[pb.UsageDocument], counted: CallerCounts) -> list[Finding]:
    """Compare the documents' totals with counts of the callers.

    A finding also gives the callers that disconnected and the requests in doubt, which may explain the difference.
    """
    all_documents = list(sources)
    findings = []
    for (node, period, club), count in sorted(counted.items()):
        total = disconnected = in_doubt = 0
        for document in all_documents:
            if (node and document.node != node) or (period and utc(document.period_ms) != period):
                continue
            for row in document.rows:
                if not club or row.club == club:
                    if row.outcome == "gone":
                        disconnected += row.amounts.requests
                    else:
                        total += row.amounts.requests
            in_doubt += sum(1 for entry in document.in_doubt if not club or entry.row.club == club)
        if total != count:
            findings.append(
                Finding(
                    "total",
                    node or "(all)",
                    period,
                    club or "(all)",
                    (
                        f"{total:,} recorded, {count:,} counted: {total - count:+,} "
                        f"({disconnected:,} callers disconnected, {in_doubt:,} in doubt)"
                    ),
                    total - count,
                )
            )
    return findings


def parse_caller_counts(text: str) -> dict[tuple[str, str, str], int]:
    """Parse counts of the callers: CSV with the columns requests and any of node, period, club.

    Raises:
        ValueError: a line can't be used; the text names it.
    """
    reader = csv.DictReader(io.StringIO(text))
    allowed = {"node", "period", "club", "requests"}
    if not reader.fieldnames or "requests" not in reader.fieldnames or set(reader.fieldnames) - allowed:
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
