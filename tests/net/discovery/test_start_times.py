"""Translation of servers' start times to the gateway's clock, also if the wall clock has been set."""

import time

import pytest

from quota_gateway.net.clock import Clock
from quota_gateway.net.discovery.endpoint_registry import EndpointRegistry
from quota_gateway.net.discovery.start_times import StartTimes
from tests.support.fake_discovery import make_instance

NOW_S = 1_800_000_000.0
HOUR_S = 3600.0
AGE_S = 5.0


class SteppedClock:
    """The gateway's clock, and a wall clock that is ahead of it by ``step_s``."""

    def __init__(self, monkeypatch, step_s):
        self.now_s = NOW_S
        monkeypatch.setattr(time, "time", lambda: self.now_s + step_s)

    def __call__(self):
        """Return the gateway's time in milliseconds."""
        return 1000.0 * self.now_s


@pytest.mark.parametrize("step_s", [0.0, HOUR_S, -HOUR_S, 7.0, -7.0])
@pytest.mark.parametrize("is_server_clock_set_too", [False, True])
def test_age_of_a_server_that_has_just_started_is_not_overestimated(
    monkeypatch, step_s, is_server_clock_set_too
):
    clock = SteppedClock(monkeypatch, step_s)
    reported_ms = 1000.0 * (NOW_S - AGE_S + (step_s if is_server_clock_set_too else 0.0))
    age_ms = clock() - StartTimes(clock).by_gateway_clock("s", reported_ms)
    # If the reported time may be by either clock, the server may seem younger than it is.
    assert 0.0 <= age_ms <= 1000.0 * AGE_S


@pytest.mark.parametrize("step_s", [HOUR_S, -HOUR_S])
def test_start_time_is_kept_when_the_wall_clock_is_set_later(monkeypatch, step_s):
    clock = SteppedClock(monkeypatch, 0.0)
    start_times = StartTimes(clock)
    reported_ms = 1000.0 * (NOW_S - AGE_S)
    assert start_times.by_gateway_clock("s", reported_ms) == reported_ms
    monkeypatch.setattr(time, "time", lambda: NOW_S + step_s)
    assert start_times.by_gateway_clock("s", reported_ms) == reported_ms
    start_times.forget("s")
    assert start_times.by_gateway_clock("s", 0.0) == 0.0


def test_start_time_in_the_future_is_replaced_by_the_current_time(monkeypatch):
    clock = SteppedClock(monkeypatch, 0.0)
    start_times = StartTimes(clock)
    started_ms = start_times.by_gateway_clock("s", 1000.0 * (NOW_S + HOUR_S))
    assert started_ms == clock()
    clock.now_s += AGE_S
    assert start_times.by_gateway_clock("s", 1000.0 * (NOW_S + HOUR_S)) == started_ms


def test_registry_gives_the_policy_engine_the_translated_start_time(monkeypatch):
    clock = SteppedClock(monkeypatch, HOUR_S)
    registry = EndpointRegistry(start_times=StartTimes(clock))
    row = make_instance("s-1", 1, started_ms=int(1000.0 * (NOW_S + HOUR_S - AGE_S)))
    change = registry.read({"generation": 1, "reset": True, "instances": [row]})
    assert change.update.endpoints[0].started_ms == pytest.approx(1000.0 * (NOW_S - AGE_S))


def test_adopted_clock_continues_the_clock_of_the_other_process(monkeypatch):
    old = Clock()
    wall_s = time.time()
    monkeypatch.setattr(time, "time", lambda: wall_s + HOUR_S)
    new = Clock()
    assert new() - old() > 1000.0 * (HOUR_S - 60.0)
    new.adopt(old.offset_ms)
    assert 0.0 <= new() - old() + 1.0 < 60_000.0
