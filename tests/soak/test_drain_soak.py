"""Drains a real node under load and faults by seed; a short run of `benchmarks/drain_soak.py`."""

from __future__ import annotations

import json

import pytest

from flintshift.lab.drain_soak import drain_under_faults

pytestmark = pytest.mark.anyio

SEEDS = (1, 5, 8, 11, 12, 15, 18, 24, 30, 36, 101, 102)
"""The drains of the first ten each broke a rule on an earlier version."""


@pytest.mark.parametrize("seed", SEEDS)
async def test_a_drain_under_load_and_faults_breaks_no_rule(seed, tmp_path):
    result = await drain_under_faults(seed, tmp_path / "node")
    assert not result["broken"], json.dumps(result)
