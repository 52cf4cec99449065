"""The line fitted to a series of measurements, and its residual."""

import pytest

from scale import results


def test_least_squares_line_and_its_residual():
    straight = results.fit_line([(1.0, 3.0), (2.0, 5.0), (4.0, 9.0), (8.0, 17.0)])
    assert straight
    assert (straight.slope, straight.intercept, straight.residual) == (2.0, 1.0, 0.0)
    bent = results.fit_line([(1.0, 1.0), (2.0, 4.0), (3.0, 9.0), (4.0, 16.0)])
    assert bent
    assert (bent.slope, bent.intercept) == pytest.approx((5.0, -5.0))
    # Each of the four points is 1 away from the line, and the largest value is 16.
    assert bent.residual == pytest.approx(1.0 / 16.0, abs=1e-4)
    assert results.fit_line([(1.0, 2.0), (1.0, 3.0)]) is None
    series = results.Series("cpu", "gateway", "servers", "ms")
    for size in (1, 2):
        series.add(size, [size, 3.0 * size, 100.0])
    series.add(3, [], "refused")
    assert series.fit
    assert series.fit.slope == 3.0
    assert series.fit.sizes == [1, 2]
