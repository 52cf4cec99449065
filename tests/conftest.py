"""Fixtures for all tests."""

import pytest

from tests.support.engine_harness import Rig, entry


@pytest.fixture
def rig() -> Rig:
    made = Rig()
    made.servers(entry(1), entry(2))
    return made
