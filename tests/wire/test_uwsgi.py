"""What a block of uwsgi variables may cost to parse."""

from __future__ import annotations

import time

import pytest

from flintshift.core.limits import Limits
from flintshift.wire import uwsgi
from flintshift.wire.fields import RequestError

LIMITS = Limits()
MAX_COST_MS = 2.0


def block(count: int, names: int, value: str = "") -> bytes:
    """A block of so many variables, whose names repeat."""
    return uwsgi.pack((f"HTTP_{number % names:04x}", value) for number in range(count))[uwsgi.HEAD.size :]


@pytest.mark.parametrize(
    ("data", "accepted"),
    [
        (block(LIMITS.max_uwsgi_variables, LIMITS.max_uwsgi_variables, "v" * 40), True),
        (block(LIMITS.max_uwsgi_variables + 1, LIMITS.max_uwsgi_variables), False),
        (block(1200, 1200), False),
        (b"\x01\x00a\x00\x00" * 3200, False),
    ],
    ids=["as many as allowed", "one more", "1,200 names", "3,200 times one name"],
)
def test_the_cost_of_a_block_is_bounded(data, accepted):
    """Guards against blocks of thousands of variables, which kept the event loop for 0.1 s each."""
    assert len(data) <= LIMITS.max_uwsgi_vars_bytes
    costs = []
    for _ in range(20):
        begin = time.thread_time()
        if accepted:
            assert uwsgi.unpack(data, LIMITS.max_uwsgi_variables)
        else:
            with pytest.raises(RequestError) as caught:
                uwsgi.unpack(data, LIMITS.max_uwsgi_variables)
            assert caught.value.status == 431
        costs.append((time.thread_time() - begin) * 1000)
    assert min(costs) <= MAX_COST_MS
