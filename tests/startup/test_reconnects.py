"""Reconnects and repeated polls use random, growing delays: checked by the ranges that the drivers draw from."""

from __future__ import annotations

import anyio
import pytest

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.lab.ports import free_ports
from flintshift.wire import dnssd
from flintshift.wire.dnssd import Browser
from flintshift.wire.pool import PoolLink

pytestmark = pytest.mark.anyio


class RecordedDraws:
    """A uniform draw that records its ranges and returns the upper end."""

    def __init__(self):
        self.ranges: list[tuple[float, float]] = []

    def __call__(self, low, high):
        self.ranges.append((low, high))
        return high


async def test_a_pool_that_is_down_is_retried_after_growing_random_delays():
    async def ignore(report):
        pass

    draws, limits = RecordedDraws(), Limits(backoff_ms=4.0, max_backoff_ms=40.0)
    pool = PoolLink(("127.0.0.1", free_ports(1)[0]), [], limits, Counters(), ignore, draws)
    with anyio.move_on_after(0.5):
        await pool.run()
    assert draws.ranges[:3] == [(6.0, 12.0), (18.0, 36.0), (20.0, 40.0)] and set(draws.ranges[3:]) == {(20.0, 40.0)}


async def test_a_resolver_that_names_no_servers_is_polled_after_growing_delays_and_known_servers_are_kept(monkeypatch):
    delays_ms, draws = [], RecordedDraws()
    browser = Browser(None, "_uwsgi._tcp", "desks.example", Limits(), Counters(), draws)
    answers = [[], OSError(), [], ["server"], OSError(), OSError(), ["server"], []]

    async def browse():
        answer = answers.pop(0)
        if isinstance(answer, OSError):
            raise answer
        return answer

    async def sleep(seconds):
        delays_ms.append(round(seconds * 1000))
        if not answers:
            raise EOFError

    monkeypatch.setattr(browser, "_browse", browse)
    monkeypatch.setattr(dnssd.anyio, "sleep", sleep)
    with pytest.raises(EOFError):
        await browser.run()
    # No servers are known: from 1.5 s on. Then the period, also while the resolver fails; then the first delay again.
    assert delays_ms == [1500, 4500, 5000, 5250, 5250, 5250, 5250, 1500]
    assert (750.0, 1500.0) in draws.ranges and (0.95, 1.05) in draws.ranges
