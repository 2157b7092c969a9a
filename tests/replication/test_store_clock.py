"""Clock adjustments while the process of a store is down: entries are kept for as long as the real time requires, where
that is known, and never for less."""

from __future__ import annotations

import pytest
from replication.test_store import NOW_MS, create_store, entry, open_folder

HOUR_MS = 3_600_000.0


@pytest.mark.parametrize("unix_step_ms", [-HOUR_MS, 0.0, HOUR_MS])
def test_a_wall_clock_step_does_not_shorten_a_window(unix_step_ms):
    files = create_store()
    store = open_folder(files, NOW_MS)
    store.write([entry(1)], NOW_MS)
    store.close()
    reopened = open_folder(files, NOW_MS + 1000.0, unix_ms=NOW_MS + 1000.0 + unix_step_ms)
    assert [found.remaining_ms for found in reopened.recovered.entries] == [29_000.0]


@pytest.mark.parametrize("monotonic_ms", [10.0, NOW_MS + 1000.0, NOW_MS + HOUR_MS])
def test_after_a_restart_of_the_machine_a_window_starts_again(monotonic_ms):
    """The monotonic clock restarted with the machine, so its former readings mean nothing."""
    files = create_store()
    store = open_folder(files, NOW_MS)
    store.write([entry(1)], NOW_MS)
    store.close()
    reopened = open_folder(files, monotonic_ms, boot="b2", synced=True)
    assert [found.remaining_ms for found in reopened.recovered.entries] == [30_000.0]
