"""What a member knows under a list of members that differs from the one before."""

from __future__ import annotations

from flintshift.core.keys import Stage
from flintshift.replication.messages import Value
from flintshift.replication.placement import Placement
from flintshift.replication.registers import Entry, HolderBounds, Registers

HALLS = {"n1": "ruwi-hall", "n2": "ruwi-hall", "n3": "seeb-hall"}
LONGER_LIST = HALLS | {f"n{number}": "seeb-hall" for number in range(4, 9)}


def test_any_listed_member_may_hold_the_log_of_one_that_is_not_listed():
    """Guards against members that end by KeyError, as they hold a replica of a retired member's ledger."""
    assert Placement(HALLS, 3).log_holders("n9") == ("n1", "n2", "n3")


def test_the_digest_of_a_placement_changes_with_all_that_it_is_computed_from():
    placements = [
        Placement(HALLS, 3),
        Placement(HALLS, 2),
        Placement(HALLS | {"n3": "ruwi-hall"}, 3),
        Placement(LONGER_LIST, 3),
        Placement({"n1": "ruwi-hall", "n2": "ruwi-hall"}, 3),
    ]
    assert len({placement.digest for placement in placements}) == len(placements)
    assert Placement(dict(reversed(HALLS.items())), 3).digest == placements[0].digest


def test_claims_on_keys_that_a_member_does_not_hold_any_more_are_left_to_their_holders():
    """Guards against members that end by ValueError, as they hold open claims and a member was added to the list."""
    placement = Placement(LONGER_LIST, 3)
    registers = Registers("n1", 1, placement, HolderBounds(), True, 0.0)
    for number in range(50):
        value = Value(Stage.CLAIMED, f"r{number}", "n2#1", b"p" * 16, 30_000.0)
        registers.merge(0.0, Entry(("submit-time", f"k{number}"), (1, "n2#1"), (0, "n2#1"), value, 30_000.0))
    orphaned = {key for key, _ in registers.find_orphaned_claims(10_000.0, lambda runner: False, 400.0)}
    assert orphaned == {key for key in registers.table if "n1" in placement.holders(key)}
    assert 0 < len(orphaned) < 50
