"""Seeded runs of the soak with its default faults and clients: real gateway processes violate no rule."""

import asyncio

import pytest

from soak.oracle import find_violations
from soak.play import run_soak
from soak.settings import SoakConfig


@pytest.mark.parametrize("seed", [1, 3])
def test_seeded_run_violates_no_rule(tmp_path, seed):
    records = asyncio.run(run_soak(SoakConfig(seed=seed), tmp_path))
    assert find_violations(records) == []
    assert len(records.requests) > 1_000
    behaviours = {request.behaviour for request in records.requests}
    assert {"slow_reader", "downloads"} <= behaviours
