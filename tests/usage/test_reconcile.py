"""Tests of reconciliation: each kind of finding is provoked, and names its node, period, club and difference."""

from __future__ import annotations

import pytest

from flintshift.proto import usage_pb2 as pb
from flintshift.usage import documents
from flintshift.usage.reconcile import check_documents, compare_totals, parse_caller_counts


def make_chain(count, node="n1", life=b"l" * 16, epoch=1):
    chain, previous = [], b""
    for number in range(1, count + 1):
        document = pb.UsageDocument(
            schema=1,
            node=node,
            life=life,
            epoch=epoch,
            number=number,
            previous=previous,
            period_ms=number * 1000,
            length_ms=1000,
            first_sequence=number * 10,
            last_sequence=number * 10 + 9,
            rows=[documents.make_row(("a", "look", "http", "served"), [number, 0, 0, 0, 0, 0, 0])],
        )
        chain.append(document)
        previous = documents.compute_digest(documents.serialize(document))
    return chain


def findings_as_text(checked):
    return [
        str(finding)
        for finding in check_documents(
            (documents.document_name(item), documents.serialize(item), item) for item in checked
        )
    ]


def test_complete_documents_give_no_findings_even_when_read_twice():
    chain = make_chain(4)
    assert (
        findings_as_text(chain)
        == findings_as_text(chain + chain)
        == findings_as_text([*make_chain(2, "n2"), *reversed(chain)])
        == []
    )


def test_a_missing_document_is_a_gap():
    chain = make_chain(4)
    assert findings_as_text([chain[0], chain[3]]) == [
        "gap: n1 19700101T000004.000Z: documents 2 to 3 are missing before n1.e1.19700101T000004.000Z.r0.usage",
        "gap: n1 19700101T000004.000Z: no document covers the records 20 to 39",
    ]
    assert findings_as_text(chain[1:])[0].startswith("gap: n1: documents 1 to 1 are missing before")


def test_a_changed_document_breaks_the_chain():
    chain = make_chain(3)
    chain[1].rows[0].amounts.requests = 99
    assert findings_as_text(chain) == [
        "chain: n1 19700101T000003.000Z: n1.e1.19700101T000003.000Z.r0.usage names another "
        "document before it than n1.e1.19700101T000002.000Z.r0.usage"
    ]


def test_two_documents_of_one_number_are_a_conflict():
    chain = make_chain(2)
    other = pb.UsageDocument()
    other.CopyFrom(chain[1])
    other.rows[0].amounts.requests = 7
    assert findings_as_text([*chain, other])[0].startswith(
        "conflict: n1 19700101T000002.000Z: two documents are number 2"
    )


def test_two_ledgers_with_one_epoch_are_found():
    assert findings_as_text([*make_chain(1), *make_chain(1, life=b"m" * 16)])[0] == (
        "epoch: n1: 2 ledgers share the epoch 1: 6c6c6c6c, 6d6d6d6d"
    )


def test_a_falling_epoch_and_overlapping_periods_and_records_are_found():
    chain = make_chain(2)
    chain[1].epoch, chain[1].period_ms, chain[1].first_sequence = 0, 1400, 15
    messages = findings_as_text(chain)
    assert any("epoch 0 comes after epoch 1" in message for message in messages)
    assert any("begins 600 ms before the period 19700101T000001.000Z ends" in message for message in messages)
    assert any("covers records from 15 on, and the period before those up to 19" in message for message in messages)


def test_a_total_below_zero_is_found():
    chain = make_chain(1)
    chain[0].rows[0].amounts.calls = -2
    assert findings_as_text(chain) == ["total: n1 19700101T000001.000Z a: look/http/served is below zero: -2"]


def test_totals_are_compared_with_a_count_by_node_period_and_club():
    chain = make_chain(3)
    counted = parse_caller_counts("node,period,club,requests\nn1,19700101T000002.000Z,a,5\nn1,,a,6\n,,,6\n,,b,1\n")
    assert [(str(finding), finding.by) for finding in compare_totals(chain, counted)] == [
        ("total: (all) b: 0 recorded, 1 counted: -1 (0 callers disconnected, 0 in doubt)", -1),
        ("total: n1 19700101T000002.000Z a: 2 recorded, 5 counted: -3 (0 callers disconnected, 0 in doubt)", -3),
    ]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "line 1: expected the columns"),
        ("club\na", "line 1: expected the columns"),
        ("club,requests,x\n", "line 1: expected the columns"),
        ("club,requests\na,1\nb,many\n", "line 3: requests is no"),
    ],
)
def test_a_malformed_count_is_rejected_with_its_line(text, message):
    with pytest.raises(ValueError, match=message):
        parse_caller_counts(text)


def test_documents_as_json_and_csv():
    document = make_chain(1)[0]
    shown = documents.as_json(document)
    assert (
        shown["name"] == documents.document_name(document)
        and shown["digest"] == documents.compute_digest(documents.serialize(document)).hex()
    )
    assert documents.as_csv([document]).splitlines()[1] == (
        "n1,1,19700101T000001.000Z,1000,0,a,look,http,served,1,0,0,0,0,0,0"
    )
    assert documents.serialize(documents.parse(documents.serialize(document))) == documents.serialize(document)
