"""Fixtures for all tests."""

import pytest

from tests.support.engine_harness import Rig, entry


@pytest.fixture
def rig() -> Rig:
    """A policy engine with two endpoints, on a scripted clock."""
    engine = Rig()
    engine.servers(entry(1), entry(2))
    return engine
