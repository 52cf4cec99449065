"""Asyncio tests in this folder run on uvloop with a time limit."""

from tests.support.async_tests import pytest_asyncio_loop_factories, pytest_runtest_call

__all__ = ["pytest_asyncio_loop_factories", "pytest_runtest_call"]
