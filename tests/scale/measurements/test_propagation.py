"""Propagation delay of a version over a fleet."""

import pytest

from scale.measurements.propagation import propagation_delays


def test_version_is_in_force_once_99_in_100_have_it_or_a_later_one():
    received = [[(2, 10.0 + number / 100.0)] for number in range(99)] + [[(3, 50.0)]]
    assert propagation_delays([(2, 9.0)], received) == [pytest.approx(1.98)]
    assert propagation_delays([(3, 9.0)], received) == [float("inf")]
    assert propagation_delays([(2, 9.0)], received[:98] + received[99:] * 2) == [41.0]
