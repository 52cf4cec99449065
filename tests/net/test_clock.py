"""The gateway's clock."""

import time

from quota_gateway.net.clock import Clock


def test_clock_is_unix_time_and_not_affected_by_changes_of_the_system_clock(monkeypatch):
    clock = Clock()
    assert abs(clock() - time.time() * 1000.0) < 60_000.0
    before = clock()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert clock() >= before
