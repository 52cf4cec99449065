"""Counters and the trace of the last events."""

from quota_gateway.telemetry import EventTrace, Metric, Metrics
from quota_gateway.telemetry.event_trace import MAX_EVENTS, MAX_SHOWN_EVENTS


def test_metrics_are_rendered_with_their_labels_in_order():
    metrics = Metrics()
    for status in ("ok", "reset", "ok"):
        metrics.count(Metric.ATTEMPTS, status)
    lines = metrics.render().splitlines()
    start = lines.index("# TYPE quota_gateway_attempts_total counter")
    assert lines[start + 1 : start + 3] == [
        'quota_gateway_attempts_total{status="ok"} 2',
        'quota_gateway_attempts_total{status="reset"} 1',
    ]
    assert metrics.total(Metric.ATTEMPTS) == 3
    assert metrics.value(Metric.ATTEMPTS, "timeout") == 0


def test_trace_is_bounded_and_separates_subjects():
    trace = EventTrace()
    trace.add("a", "received")
    for number in range(MAX_EVENTS):
        trace.add("b", "attempt started", number)
    assert trace.of("a") == []
    assert len(trace.of("b")) == MAX_EVENTS
    assert trace.describe("b").count("attempt started") == MAX_SHOWN_EVENTS
    assert trace.describe("b").endswith(f"attempt started({MAX_EVENTS - 1})")
