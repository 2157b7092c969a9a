"""Whoever reconnects or looks again takes drawn, growing waits: the drivers, by the ranges that they draw from."""

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


class Draws:
    """A uniform draw that keeps the ranges it was asked for, and gives the upper end."""

    def __init__(self):
        self.ranges: list[tuple[float, float]] = []

    def __call__(self, low, high):
        self.ranges.append((low, high))
        return high


async def test_a_pool_that_is_away_is_tried_after_waits_that_grow_and_are_drawn():
    async def told(report):
        pass

    draws, limits = Draws(), Limits(backoff_ms=4.0, max_backoff_ms=40.0)
    pool = PoolLink(("127.0.0.1", free_ports(1)[0]), [], limits, Counters(), told, draws)
    with anyio.move_on_after(0.5):
        await pool.run()
    assert draws.ranges[:3] == [(6.0, 12.0), (18.0, 36.0), (20.0, 40.0)] and set(draws.ranges[3:]) == {(20.0, 40.0)}


async def test_a_resolver_that_names_nobody_is_asked_after_growing_waits_and_what_is_known_stands(monkeypatch):
    waited, draws = [], Draws()
    browser = Browser(None, "_uwsgi._tcp", "desks.example", Limits(), Counters(), draws)
    answers = [[], OSError(), [], ["server"], OSError(), OSError(), ["server"], []]

    async def browse():
        answer = answers.pop(0)
        if isinstance(answer, OSError):
            raise answer
        return answer

    async def sleep(seconds):
        waited.append(round(seconds * 1000))
        if not answers:
            raise EOFError

    monkeypatch.setattr(browser, "_browse", browse)
    monkeypatch.setattr(dnssd.anyio, "sleep", sleep)
    with pytest.raises(EOFError):
        await browser.run()
    # Nobody is known: 1.5 s and on. Then the period, also while the resolver fails; and from the first wait again.
    assert waited == [1500, 4500, 5000, 5250, 5250, 5250, 5250, 1500]
    assert (750.0, 1500.0) in draws.ranges and (0.95, 1.05) in draws.ranges
