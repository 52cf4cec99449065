"""The soak itself: the same seed draws the same plan, and a play without troubles breaks nothing."""

import asyncio
from collections import Counter

import pytest

from soak.oracle import find_violations
from soak.plan import KIND_WEIGHTS, draw_plan
from soak.play import SoakPlay
from soak.settings import SoakConfig

QUIET = SoakConfig(
    seed=1, seconds=3.0, gateways=2, server_processes=1, client_processes=1, connections=6, troubles_per_s=0.0
)


def test_plan_is_drawn_from_its_seed_and_has_every_kind():
    config = SoakConfig(seed=7, seconds=1000.0)
    plan = draw_plan(config)
    assert plan == draw_plan(config)
    assert plan != draw_plan(SoakConfig(seed=8, seconds=1000.0))
    assert {trouble.kind for trouble in plan} == set(KIND_WEIGHTS)
    assert all(0.0 < trouble.at_s < config.seconds for trouble in plan)


def test_every_trouble_can_be_played():
    played = {name.removeprefix("_play_") for name in dir(SoakPlay) if name.startswith("_play_")}
    from_servers_and_links = {kind for kind in KIND_WEIGHTS if kind not in played}
    assert played - set(KIND_WEIGHTS) == {"trouble", "at", "calls"}
    assert from_servers_and_links  # played by one method


@pytest.mark.parametrize("planted", ["", "drop_answers"])
def test_quiet_play_breaks_nothing_unless_a_fault_is_planted(tmp_path, planted):
    config = SoakConfig(
        **{name: getattr(QUIET, name) for name in QUIET.__struct_fields__} | {"planted": planted}
    )
    records = asyncio.run(SoakPlay(config, tmp_path).run())
    answered = Counter(request.end for request in records.requests)["answered"]
    checks = Counter(violation.rule for violation in find_violations(records))
    assert ("answered" in checks) == bool(planted)
    if not planted:
        assert not checks
        assert answered > 50
