"""Placement, and the encoding of the messages between members."""

from __future__ import annotations

import pytest
from replication.test_store import entry

from flintshift.core.keys import Stage
from flintshift.interface import Outcome
from flintshift.peers.members import Accuse, Accused
from flintshift.proto import peers_pb2 as pb
from flintshift.replication.messages import NO_BALLOT, Ask, Ended, Step, Value, Verdict, Vote
from flintshift.replication.placement import Placement
from flintshift.replication.refill import FillAsk, Page
from flintshift.startup.permits import Permit, PermitRequest
from flintshift.wire.peer_codec import OUTCOMES, PeerMessageError, decode_messages, encode_batch, parse_batch
from flintshift.wire.peer_link import SCHEMA, Handshake

KEYS = [("submit-time", f"k{number}") for number in range(2000)]
VALUE = Value(Stage.CLAIMED, "r1", "n1#1", b"\0\xff" * 8, 1234.5)
MESSAGES = [
    Ask(1, "n1#1", Step.READ, ("c", "k"), NO_BALLOT, (1, 2, 3), None, True),
    Ask(2, "n1#1", Step.ACCEPT, ("c", "k"), (7, "n1#1"), (0, 2**63, 3), VALUE),
    Vote(3, Verdict.OK, (0, "n2#9"), (0, "n2#9"), VALUE, (1, 2, 3)),
    Vote(4, Verdict.STALE, NO_BALLOT, NO_BALLOT, None, (1,)),
    PermitRequest(7, True),
    PermitRequest(8, done=True),
    Permit(7, True),
    Permit(8, False),
    Ended(("c", "k")),
    FillAsk(5, None),
    FillAsk(5, ("c", "k")),
    Page((entry(1),), ("submit-time", "k1"), True, False, 9),
    *(
        Vote(6, Verdict.OK, (1, "x"), (1, "x"), Value(Stage.FINISHED, "r", "x", b"", 1.0, outcome, b"z"), ())
        for outcome in OUTCOMES
    ),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_messages_are_decoded_as_they_were_encoded(message):
    data = encode_batch([message]).SerializeToString()
    assert decode_messages(parse_batch(data), "n1", "n1#1") == [message]


def test_an_accusation_is_decoded_with_its_accuser_and_every_outcome_has_a_number():
    assert decode_messages(encode_batch([Accuse("n3#1", True)]), "n2", "n2#1") == [Accused("n2", "n3#1", True)]
    assert set(OUTCOMES) == set(Outcome)


@pytest.mark.parametrize(
    "batch",
    [
        pb.Batch(asks=[pb.Ask(step=9)]),
        pb.Batch(votes=[pb.Vote(verdict=0)]),
        pb.Batch(votes=[pb.Vote(verdict=1, value=pb.Value(stage=1, outcome=99))]),
        pb.Batch(asks=[pb.Ask(step=2, value=pb.Value(stage=8))]),
    ],
)
def test_invalid_messages_are_rejected(batch):
    with pytest.raises(PeerMessageError):
        decode_messages(batch, "n1", "n1#1")


def test_a_malformed_batch_is_rejected_and_fields_of_a_later_release_are_skipped():
    with pytest.raises(PeerMessageError):
        parse_batch(b"\xff" * 9)
    later = encode_batch([MESSAGES[1]]).SerializeToString() + b"\xfa\x07\x03abc"  # field 127
    assert decode_messages(parse_batch(later), "n1", "n1#1") == [MESSAGES[1]]


@pytest.mark.parametrize(
    ("schema", "accepted"), [(SCHEMA - 1, True), (SCHEMA, True), (SCHEMA + 1, True), (SCHEMA + 2, False)]
)
def test_members_one_release_apart_accept_each_other(schema, accepted):
    greeting, member_names = Handshake("n1", "n1#1", 1, b"digest"), ["n1", "n2"]
    hello = Handshake("n2", "n2#1", 1, b"digest").hello(7, 0).hello
    hello.schema = schema
    received = parse_batch(pb.Batch(hello=hello).SerializeToString() + b"\xfa\x07\x03abc").hello  # and an unknown field
    assert bool(greeting.rejection_reason(received, member_names)) is not accepted


@pytest.mark.parametrize(
    ("halls", "replica_count", "min_halls"),
    [
        ({"n1": "a", "n2": "a", "n3": "a", "n4": "b", "n5": "b"}, 3, 2),
        ({f"n{n}": f"h{n % 3}" for n in range(9)}, 3, 3),
        ({"n1": "a", "n2": "a"}, 3, 1),
        ({"n1": "a"}, 1, 1),
        ({f"n{n}": f"h{n % 2}" for n in range(7)}, 5, 2),
    ],
)
def test_replicas_are_on_different_members_and_in_as_many_halls_as_possible(halls, replica_count, min_halls):
    placement = Placement(halls, replica_count)
    for key in KEYS[:200]:
        holders = placement.holders(key)
        assert len(set(holders)) == len(holders) == min(replica_count, len(halls))
        assert len({halls[name] for name in holders}) >= min_halls


def test_only_the_keys_of_a_removed_member_move():
    halls = {f"n{n}": f"h{n % 3}" for n in range(12)}
    before, after = Placement(halls, 3), Placement({name: hall for name, hall in halls.items() if name != "n4"}, 3)
    for key in KEYS:
        old_holders, new_holders = set(before.holders(key)), set(after.holders(key))
        assert new_holders >= old_holders - {"n4"} if "n4" in old_holders else new_holders == old_holders


def test_the_order_of_the_members_does_not_matter():
    first, second = Placement({"a": "x", "b": "y", "c": "x"}, 2), Placement({"c": "x", "b": "y", "a": "x"}, 2)
    assert all(first.holders(key) == second.holders(key) for key in KEYS[:100])
