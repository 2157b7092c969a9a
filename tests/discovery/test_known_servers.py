"""What is known of a list that loses its entries without an error."""

from __future__ import annotations

import pytest

from flintshift.discovery.known_servers import KnownServers

NONE, A, B = [], ["a"], ["b"]
# What each look found; what is known after it.
LOOKS = [
    ([NONE, A], [NONE, A]),
    ([A, NONE, NONE, NONE], [A, A, A, NONE]),
    ([A, NONE, NONE, A, NONE, NONE, NONE], [A, A, A, A, A, A, NONE]),
    ([A, NONE, B], [A, A, B]),
    ([A, NONE, NONE, NONE, NONE, B], [A, A, A, NONE, NONE, B]),
]


@pytest.mark.parametrize(("found", "known"), LOOKS)
def test_a_list_that_names_nobody_any_longer_is_believed_at_the_third_look_in_a_row(found, known):
    servers = KnownServers(empty_looks=3)
    for now, then in zip(found, known, strict=True):
        before = servers.servers
        assert servers.record_poll(now) is (bool(before) and not now)
        assert servers.servers == then
        assert servers.empty_unconfirmed is (not now and bool(then))
