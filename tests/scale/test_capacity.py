"""The table of docs/CAPACITY.md is generated from the committed results; the calculation is tested here."""

from pathlib import Path

import pytest

from quota_gateway.policy.subset import Subset
from scale import capacity, config, results

ROOT = Path(__file__).parent.parent.parent


def make_result(
    *points: tuple[float, float],
    name="memory",
    by="servers",
    role="gateway",
    started="1",
    sizes_without_values=(),
):
    """Return a result with one series."""
    series = results.Series(name, role, by, "MB")
    for size, value in points:
        series.add(size, [value])
    for size in sizes_without_values:
        series.add(size, [], "refused")
    return results.Result("slopes", 1, "", started, 1.0, "", {}, {}, config.Config(), [series], {})


def table_row(table: str, quantity: str) -> list[str]:
    (line,) = [line for line in table.splitlines() if f"| {quantity} |" in line]
    return [cell.strip() for cell in line.strip("|").split("|")]


PAGES = [("CAPACITY.md", "capacity"), ("CAPACITY-before.md", "capacity/before")]


@pytest.mark.parametrize(("page", "folder"), PAGES)
def test_page_contains_the_table_generated_from_the_committed_results(page, folder):
    paths = sorted((ROOT / "docs" / folder).glob("*.json"))
    assert paths, "no results"
    text = (ROOT / "docs" / page).read_text()
    assert capacity.extract_table(text) == capacity.make_table([results.read_result(path) for path in paths])


def test_page_states_the_subset_size_that_gateways_use():
    text = (ROOT / "docs" / "CAPACITY.md").read_text()
    subset = Subset(3_800, 0)
    assert f"{subset.size(38_000)} servers" in text
    assert f"{subset.gateways_per_server(38_000):.1f} gateways" in text


def test_committed_results_are_complete_and_their_lines_match_their_points():
    for path in (ROOT / "docs" / "capacity").rglob("*-slopes-*.json"):
        result = results.read_result(path)
        assert not result.stopped, path
        for series in result.series:
            values = [(point.size, point.value) for point in series.points if point.value is not None]
            assert series.fit == results.fit_line(values), (path, series.name)


def test_figure_is_extrapolated_to_the_fleet_size_and_compared_with_the_budget():
    within = table_row(
        capacity.make_table([make_result((100, 20.1), (200, 20.2), (400, 20.4), (800, 20.8))]), "memory, all"
    )
    assert within == [
        "gateway",
        "memory, all",
        "0.001 MB",
        "100, 200, 400, 800",
        "0%",
        "38,000 servers",
        "58 MB",
        "128 MB",
        "within",
        "47.5 times",
    ]
    points = ((100, 20.3), (200, 20.6), (400, 21.2), (19000, 77.0))
    over = table_row(capacity.make_table([make_result(*points, sizes_without_values=[38000])]), "memory, all")
    assert over[3] == "100, 200, 400, 19000; 38000: refused"
    assert over[6:] == ["134 MB", "128 MB", "over", "2.0 times"]


@pytest.mark.parametrize(
    "points",
    [
        [(1, 1.0), (2, 2.0), (3, 3.0)],
        [(1, 1.0), (2, 1.0), (3, 9.0), (4, 1.0)],
        [(1, 1.0)],
    ],
)
def test_verdict_is_unknown_for_fewer_than_four_sizes_or_a_large_residual(points):
    cells = table_row(capacity.make_table([make_result(*points)]), "memory, all")
    assert cells[8] == "unknown"
    assert (
        table_row(capacity.make_table([make_result(*points)]), "memory, routes as classes")[3]
        == "not measured"
    )


def test_value_measured_at_the_fleet_size_takes_precedence_over_the_line():
    series = make_result((50, 9.0), (100, 1.0), (218, 1.2), (300, 9.0), name="added_p99", by="requests/s")
    cells = table_row(capacity.make_table([series]), "added at p99, by load")
    assert cells[6:] == ["1.2 ms", "1.3 ms", "within", "no"]


def test_single_size_at_the_fleet_size_is_shown_and_does_not_replace_an_earlier_line():
    refused = "refused list asked for again, bytes"
    first = make_result((1, 1.0), (2, 2.0), (3, 3.0), (4, 4.0), started="2026-01-01")
    later = make_result((38000, 7000.0), name="refused_sent", started="2026-01-02")
    later.series += make_result(sizes_without_values=[38000]).series
    assert refused not in capacity.make_table([first])
    table = capacity.make_table([first, later])
    assert table_row(table, refused)[2:] == [
        "none",
        "38000",
        "0%",
        "38,000 servers",
        "7,000 bytes/s",
        "5,000 bytes/s",
        "over",
        "no",
    ]
    assert table_row(table, "memory, all")[3] == "1, 2, 3, 4"


def test_latest_result_of_a_series_is_used():
    first = make_result((1, 1.0), (2, 2.0), (3, 3.0), (4, 4.0), started="2026-01-01")
    later = make_result((1, 5.0), (2, 5.0), (3, 5.0), (4, 5.0), started="2026-01-02")
    for order in ([first, later], [later, first]):
        assert table_row(capacity.make_table(order), "memory, all")[6] == "5 MB"


def test_only_the_text_between_the_markers_is_replaced():
    page = f"before\n{capacity.BEGIN_MARKER}\nold\n{capacity.END_MARKER}\nafter\n"
    assert (
        capacity.replace_table(page, "new")
        == f"before\n{capacity.BEGIN_MARKER}\nnew\n{capacity.END_MARKER}\nafter\n"
    )
    assert capacity.extract_table(capacity.replace_table(page, "new")) == "new"
    with pytest.raises(ValueError, match="mark"):
        capacity.replace_table(f"{capacity.BEGIN_MARKER} only", "new")
