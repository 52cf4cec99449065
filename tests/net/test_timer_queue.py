"""The timer queue, which runs many timers on one timer of the event loop."""

import asyncio

from quota_gateway.net.clock import Clock
from quota_gateway.net.timer_queue import TimerQueue


async def test_timer_between_two_milliseconds_does_not_spin_until_it_is_due(monkeypatch):
    wake_ups = []
    fire = TimerQueue._fire
    monkeypatch.setattr(TimerQueue, "_fire", lambda self: wake_ups.append(1) or fire(self))
    clock = Clock()
    timers = TimerQueue(clock)
    due = asyncio.Event()
    for number in range(20):
        due.clear()
        timers.call_at(clock() + 5.0 + number / 20.0, lambda _: due.set(), None)
        await due.wait()
    assert 20 <= len(wake_ups) <= 100
