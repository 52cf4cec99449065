"""Fixtures for the tests of the scale run."""

import asyncio

import pytest
import uvloop


@pytest.fixture
def event_loop_policy() -> asyncio.AbstractEventLoopPolicy:
    """Run asynchronous tests on the loop that the children of a scale run use."""
    return uvloop.EventLoopPolicy()
