"""Reconciliation: each kind of finding is caused, and named with node, period, club and by how much."""

from __future__ import annotations

import pytest

from flintshift.proto import usage_pb2 as pb
from flintshift.usage import documents
from flintshift.usage.reconcile import check_documents, compare_totals, parse_caller_counts


def chain(count, node="n1", life=b"l" * 16, epoch=1):
    found, previous = [], b""
    for number in range(1, count + 1):
        one = pb.UsageDocument(
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
        found.append(one)
        previous = documents.compute_digest(documents.serialize(one))
    return found


def findings(found):
    return [
        str(one)
        for one in check_documents((documents.document_name(one), documents.serialize(one), one) for one in found)
    ]


def test_nothing_is_found_in_what_is_whole_even_when_read_twice():
    found = chain(4)
    assert findings(found) == findings(found + found) == findings([*chain(2, "n2"), *reversed(found)]) == []


def test_a_missing_document_is_a_gap():
    found = chain(4)
    assert findings([found[0], found[3]]) == [
        "gap: n1 19700101T000004.000Z: documents 2 to 3 are missing before n1.e1.19700101T000004.000Z.r0.usage",
        "gap: n1 19700101T000004.000Z: no document covers the records 20 to 39",
    ]
    assert findings(found[1:])[0].startswith("gap: n1: documents 1 to 1 are missing before")


def test_a_changed_document_breaks_the_chain():
    found = chain(3)
    found[1].rows[0].amounts.requests = 99
    assert findings(found) == [
        "chain: n1 19700101T000003.000Z: n1.e1.19700101T000003.000Z.r0.usage names another "
        "document before it than n1.e1.19700101T000002.000Z.r0.usage"
    ]


def test_two_documents_of_one_number_are_a_conflict():
    found = chain(2)
    other = pb.UsageDocument()
    other.CopyFrom(found[1])
    other.rows[0].amounts.requests = 7
    assert findings([*found, other])[0].startswith("conflict: n1 19700101T000002.000Z: two documents are number 2")


def test_two_lives_with_one_epoch_are_found():
    assert findings([*chain(1), *chain(1, life=b"m" * 16)])[0] == (
        "epoch: n1: 2 ledgers share the epoch 1: 6c6c6c6c, 6d6d6d6d"
    )


def test_an_epoch_that_falls_and_periods_and_records_that_overlap_are_found():
    found = chain(2)
    found[1].epoch, found[1].period_ms, found[1].first_sequence = 0, 1400, 15
    told = findings(found)
    assert any("epoch 0 comes after epoch 1" in one for one in told)
    assert any("begins 600 ms before the period 19700101T000001.000Z ends" in one for one in told)
    assert any("covers records from 15 on, and the period before those up to 19" in one for one in told)


def test_a_total_below_zero_is_found():
    found = chain(1)
    found[0].rows[0].amounts.calls = -2
    assert findings(found) == ["total: n1 19700101T000001.000Z a: look/http/served is below zero: -2"]


def test_totals_are_compared_with_a_count_by_node_period_and_club():
    found = chain(3)
    counted = parse_caller_counts("node,period,club,requests\nn1,19700101T000002.000Z,a,5\nn1,,a,6\n,,,6\n,,b,1\n")
    assert [(str(one), one.by) for one in compare_totals(found, counted)] == [
        ("total: (all) b: 0 booked, 1 counted: -1 (0 callers went, 0 in doubt)", -1),
        ("total: n1 19700101T000002.000Z a: 2 booked, 5 counted: -3 (0 callers went, 0 in doubt)", -3),
    ]


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("", "line 1: expected the columns"),
        ("club\na", "line 1: expected the columns"),
        ("club,requests,x\n", "line 1: expected the columns"),
        ("club,requests\na,1\nb,many\n", "line 3: requests is no"),
    ],
)
def test_a_count_that_cannot_be_used_is_named(text, told):
    with pytest.raises(ValueError, match=told):
        parse_caller_counts(text)


def test_documents_as_json_and_csv_for_people():
    one = chain(1)[0]
    told = documents.as_json(one)
    assert (
        told["name"] == documents.document_name(one)
        and told["digest"] == documents.compute_digest(documents.serialize(one)).hex()
    )
    assert documents.as_csv([one]).splitlines()[1] == (
        "n1,1,19700101T000001.000Z,1000,0,a,look,http,served,1,0,0,0,0,0,0"
    )
    assert documents.serialize(documents.parse(documents.serialize(one))) == documents.serialize(one)
