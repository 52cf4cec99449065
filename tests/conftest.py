"""Fixtures and pytest hooks for all tests."""

import pytest

from tests.support.engine_harness import EngineHarness, make_endpoint
from tests.support.known_failures import pytest_collection_modifyitems, pytest_terminal_summary

__all__ = ["harness", "pytest_collection_modifyitems", "pytest_terminal_summary"]


@pytest.fixture
def harness() -> EngineHarness:
    """A policy engine with two endpoints, on a scripted clock."""
    engine_harness = EngineHarness()
    engine_harness.update_endpoints(make_endpoint(1), make_endpoint(2))
    return engine_harness
