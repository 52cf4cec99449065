"""The public library: the README's example, polled discovery, quotas without reports, invalid settings."""

import re
from dataclasses import replace
from pathlib import Path

import pytest

from quota_gateway import Action, DiscoveryMode, Event, Plan, Settings, Subscribe, UpdateKind
from tests.support.engine_harness import SETTINGS, EngineHarness, make_endpoint, make_harness

README = Path(__file__).parent.parent.parent / "README.md"


class SubscriptionRecorder(EngineHarness):
    """A harness that records the subscriptions to discovery that its engine requests."""

    def __init__(self, settings: Settings) -> None:
        self.subscriptions: list[Subscribe] = []
        super().__init__(settings)

    def handle(self, event: Event) -> list[Action]:
        """Pass an event to the engine and record the subscriptions among its actions."""
        actions = super().handle(event)
        self.subscriptions.extend(action for action in actions if isinstance(action, Subscribe))
        return actions


def test_readme_example_runs(capsys):
    (code,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.S)
    exec(compile(code, "README.md", "exec"), {})
    assert "send r1 to 1" in capsys.readouterr().out


def test_discovery_that_must_be_polled_is_subscribed_to_again_after_a_failure():
    harness = SubscriptionRecorder(replace(SETTINGS, discovery=DiscoveryMode.ASK))
    harness.update_endpoints(make_endpoint(1), kind=UpdateKind.CACHED)
    harness.run(10.0)
    assert len(harness.subscriptions) == 1
    harness.update_endpoints(kind=UpdateKind.FAILED)
    harness.run(5000.0)  # half of the poll deadline
    assert len(harness.subscriptions) == 2
    assert harness.send_request() in harness.sent


def test_quota_is_divided_evenly_without_usage_reports():
    harness = make_harness(usage_period_ms=0.0)
    harness.update_endpoints(make_endpoint(1), make_endpoint(2))
    forwarded = [harness.send_request("metered") in harness.sent for _ in range(5)]
    assert forwarded == [True] * 4 + [False]


@pytest.mark.parametrize(
    ("field", "value"), [("gateways", 0), ("index", 2), ("tick_ms", -1.0), ("plans", ())]
)
def test_error_of_invalid_settings_names_the_field(field, value):
    with pytest.raises(ValueError, match=field):
        make_harness(**{field: value})


def test_error_of_an_invalid_plan_names_the_field():
    with pytest.raises(ValueError, match="rate"):
        Plan("p", rate=float("nan"))
    assert Settings.__doc__
