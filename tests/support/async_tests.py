"""A pytest plugin for asyncio tests: the gateway's event loop, and a time limit on each test."""

from __future__ import annotations

import asyncio
import functools
import inspect
from collections.abc import Awaitable, Callable, Generator, Mapping
from typing import ParamSpec, TypeVar

import pytest
import uvloop

TIME_LIMIT_S = 60.0  # generous: a test that takes so long hangs

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


def with_time_limit(test: Callable[Parameters, Awaitable[Result]]) -> Callable[Parameters, Awaitable[Result]]:
    """Wrap a coroutine function so that it is cancelled after ``TIME_LIMIT_S``.

    Raises:
        TimeoutError: from the wrapped function, once the limit is over.
    """

    @functools.wraps(test)
    async def limited(*args: Parameters.args, **kwargs: Parameters.kwargs) -> Result:
        return await asyncio.wait_for(test(*args, **kwargs), TIME_LIMIT_S)

    return limited


def pytest_asyncio_loop_factories() -> Mapping[str, Callable[[], asyncio.AbstractEventLoop]]:
    """Run asyncio tests on uvloop, as the gateway runs."""
    return {"uvloop": uvloop.new_event_loop}


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_call(item: pytest.Item) -> Generator[None, None, None]:
    """Limit the body of each asyncio test; a time limit in a fixture would not reach it."""
    if not isinstance(item, pytest.Function) or not inspect.iscoroutinefunction(item.obj):
        return (yield)
    test = item.obj
    item.obj = with_time_limit(test)
    try:
        return (yield)
    finally:
        item.obj = test
