"""The store of the copies over steps of the wall clock while its process is down: what it holds counts for as long as
real time says, as long as that can be known, and never for shorter."""

from __future__ import annotations

import pytest
from replication.test_store import NOW, entry, founded, opened

HOUR_MS = 3_600_000.0


@pytest.mark.parametrize("unix_step_ms", [-HOUR_MS, 0.0, HOUR_MS])
def test_a_step_of_the_wall_clock_takes_nothing_of_a_window(unix_step_ms):
    files = founded()
    store = opened(files, NOW)
    store.write([entry(1)], NOW)
    store.close()
    again = opened(files, NOW + 1000.0, unix_ms=NOW + 1000.0 + unix_step_ms)
    assert [one.remaining_ms for one in again.recovered.entries] == [29_000.0]


@pytest.mark.parametrize("steady_ms", [10.0, NOW + 1000.0, NOW + HOUR_MS])
def test_after_a_start_of_the_machine_a_window_counts_anew(steady_ms):
    """The steady clock began anew with it, so what it showed before tells nothing."""
    files = founded()
    store = opened(files, NOW)
    store.write([entry(1)], NOW)
    store.close()
    again = opened(files, steady_ms, boot="b2", synced=True)
    assert [one.remaining_ms for one in again.recovered.entries] == [30_000.0]
