"""The comparison of subset strategies gives the metrics of the committed results."""

import json
from pathlib import Path

import pytest

from quota_gateway.policy import subset
from scale.subsets.comparison import compare
from scale.subsets.strategies import STRATEGIES

RESULTS = Path(__file__).parent.parent.parent / "docs" / "capacity" / "subsets"
TIMES = {"us a row", "ms a list", "us a change"}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_comparison_gives_the_metrics_of_the_committed_results(seed):
    committed = json.loads((RESULTS / f"40-{seed}.json").read_text())
    result = compare(
        committed["gateways"], committed["servers"], seed, subset.MIN_SUBSET_SIZE, list(STRATEGIES)
    )
    assert result.size == committed["size"]
    assert list(result.ways) == list(committed["ways"])
    for strategy, expected in committed["ways"].items():
        metrics = result.ways[strategy]
        assert list(metrics) == list(expected)
        for name in set(expected) - TIMES:
            assert metrics[name] == pytest.approx(expected[name], rel=1e-9), (strategy, name)
