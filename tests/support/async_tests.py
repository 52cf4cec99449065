"""A pytest plugin that runs asyncio tests on uvloop and limits the duration of each test."""

from __future__ import annotations

import asyncio
import functools
import inspect
from collections.abc import Awaitable, Callable, Generator, Mapping
from typing import ParamSpec, TypeVar

import pytest
import uvloop

TIME_LIMIT_S = 60.0  # A test that runs longer is considered hung.

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


def with_time_limit(test: Callable[Parameters, Awaitable[Result]]) -> Callable[Parameters, Awaitable[Result]]:
    """Wrap a coroutine function so that it is cancelled after ``TIME_LIMIT_S``.

    Raises:
        TimeoutError: The wrapped function raises it when the time limit is exceeded.
    """

    @functools.wraps(test)
    async def limited(*args: Parameters.args, **kwargs: Parameters.kwargs) -> Result:
        return await asyncio.wait_for(test(*args, **kwargs), TIME_LIMIT_S)

    return limited


def pytest_asyncio_loop_factories() -> Mapping[str, Callable[[], asyncio.AbstractEventLoop]]:
    """Run asyncio tests on uvloop, the event loop of the gateway."""
    return {"uvloop": uvloop.new_event_loop}


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_call(item: pytest.Item) -> Generator[None, None, None]:
    """Apply the time limit to the body of each asyncio test, which a limit in a fixture would not cover."""
    if not isinstance(item, pytest.Function) or not inspect.iscoroutinefunction(item.obj):
        return (yield)
    test = item.obj
    item.obj = with_time_limit(test)
    try:
        return (yield)
    finally:
        item.obj = test
