"""The servers known from a list that loses its entries without an error."""

from __future__ import annotations

import pytest

from flintshift.discovery.known_servers import KnownServers

NONE, A, B = [], ["a"], ["b"]
# What each poll found, and the servers known after it.
POLLS = [
    ([NONE, A], [NONE, A]),
    ([A, NONE, NONE, NONE], [A, A, A, NONE]),
    ([A, NONE, NONE, A, NONE, NONE, NONE], [A, A, A, A, A, A, NONE]),
    ([A, NONE, B], [A, A, B]),
    ([A, NONE, NONE, NONE, NONE, B], [A, A, A, NONE, NONE, B]),
]


@pytest.mark.parametrize(("found", "known"), POLLS)
def test_an_empty_list_is_believed_at_the_third_poll_in_a_row(found, known):
    servers = KnownServers(max_empty_polls=3)
    for polled, expected in zip(found, known, strict=True):
        before = servers.servers
        assert servers.record_poll(polled) is (bool(before) and not polled)
        assert servers.servers == expected
        assert servers.empty_unconfirmed is (not polled and bool(expected))
