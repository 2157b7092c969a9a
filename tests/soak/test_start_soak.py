"""Starts a real node under faults drawn by seed; a short run of `benchmarks/start_soak.py`."""

from __future__ import annotations

import json

import pytest

from flintshift.lab.faulty_start import soak

pytestmark = pytest.mark.anyio

SEEDS = (3, 20, 23, 34, 38, 41, 48, 59, 61, 64)
"""Ten of the 29 seeds from 1 to 100 whose start failed on an earlier version."""


@pytest.mark.parametrize("seed", SEEDS)
async def test_a_start_under_drawn_faults_serves_and_leaves(seed, tmp_path):
    result = await soak(seed, tmp_path / "node")
    assert result["served"], json.dumps(result)
