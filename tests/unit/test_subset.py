"""Which servers a gateway works with: properties over random fleets, lists and churn."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quota_gateway.net.nearest_endpoints import NearestEndpoints
from quota_gateway.policy import concurrency, subset
from quota_gateway.policy.subset import Subset

FLEETS = st.tuples(st.integers(1, 400), st.integers(1, 400), st.integers(1, 40))  # gateways, servers, least
SEEDS = st.integers(0, 1 << 30)


def names_of(servers, seed):
    return [f"s-{number:08x}" for number in random.Random(seed).sample(range(1 << 32), servers)]


def own(view, names):
    return sorted(names, key=lambda name: (view.distance(name), name))[: view.size(len(names))]


def sharers_of(gateways, names, least):
    counts = dict.fromkeys(names, 0)
    for index in range(gateways):
        for name in own(Subset(gateways, index, least), names):
            counts[name] += 1
    return counts


@given(st.text(min_size=1) | st.sampled_from(["\ud800", "\x00", "s-5be2a07c"]), st.integers(0, 5000))
def test_a_distance_is_on_the_ring_for_any_name(name, index):
    assert 0.0 <= Subset(5001, index).distance(name) < 1.0
    assert Subset(5001, index).distance(name) == Subset(5001, index).distance(name)


def test_distances_are_the_same_in_every_process_and_version():
    view = Subset(3800, 17)
    assert [view.distance(name) for name in ("s-5be2a07c", "s-0", "")] == [
        0.0076487206388264894,
        0.7366848201490939,
        0.6642177470494062,
    ]


@given(FLEETS, SEEDS)
def test_all_fit_below_the_size_and_no_subset_is_smaller(fleet, seed):
    gateways, servers, least = fleet
    view = Subset(gateways, seed % gateways, least)
    size = view.size(servers)
    assert min(servers, least) <= size <= servers
    assert size >= min(servers, subset.SPARE * subset.PLACES * servers / gateways)
    assert size in (servers, least) or size - 1 < subset.SPARE * subset.PLACES * servers / gateways
    assert view.sharers(servers) == pytest.approx(gateways * size / servers)
    if size == servers:
        assert view.sharers(servers) == gateways
    assert view.size(0) == 0
    assert view.sharers(0) == gateways


def test_the_sizes_of_known_fleets():
    assert [
        Subset(gateways, 0).size(servers)
        for gateways, servers in ((3800, 38000), (500, 5000), (200, 200), (40, 60), (20, 38000), (100, 38000))
    ] == [256, 256, 200, 60, 38000, 9120]
    assert subset.PLACES == concurrency.FIRST_LIMIT  # its even part of these is what a gateway has to spread


def check_sharers(gateways, servers, seed, least=0.0):
    counts = sharers_of(gateways, names_of(servers, seed), 24)
    mean = sum(counts.values()) / len(counts)
    assert min(counts.values()) > least * mean
    assert max(counts.values()) <= 1.8 * mean  # drawn at random, some would have two to three times the mean


@settings(max_examples=25, deadline=None)
@given(st.integers(30, 120), st.integers(1, 4), SEEDS)
def test_every_server_has_gateways_and_none_many_more_than_the_mean(gateways, servers_each, seed):
    check_sharers(gateways, gateways * servers_each, seed)


def test_the_same_at_a_tenth_of_the_fleet():
    check_sharers(380, 3800, 1, least=0.65)  # with the same step on both rings some have half of the mean


@settings(max_examples=10, deadline=None)
@given(st.integers(120, 240), SEEDS)
def test_who_shares_servers_on_one_ring_does_not_on_the_other(gateways, seed):
    """Guards against neighbours that all have too much traffic, and no server with less to move it to."""
    names = names_of(gateways, seed)
    subsets = [set(own(Subset(gateways, index, 24), names)) for index in range(gateways)]
    for one in subsets:
        reach = set().union(*(other for other in subsets if one & other))
        assert len(reach) >= 3.5 * len(one)  # on one ring it is at most three times


@settings(max_examples=25, deadline=None)
@given(st.integers(30, 120), st.integers(60, 400), SEEDS, st.data())
def test_a_server_that_goes_or_comes_changes_one_entry_of_those_that_have_it(gateways, servers, seed, data):
    names = names_of(servers, seed)
    gone = data.draw(st.sampled_from(names))
    for index in range(gateways):
        view = Subset(gateways, index, 24)
        ranked = sorted(names, key=lambda name: (view.distance(name), name))
        size = view.size(servers)
        before, after = set(ranked[:size]), set([name for name in ranked if name != gone][:size])
        assert after - before == (set(ranked[size : size + 1]) if gone in before else set())
        assert before - after == ({gone} & before)
        assert set(own(view, [name for name in names if name != gone])) <= after


@given(st.integers(1, 5000), st.integers(1, 5000), st.data())
def test_a_gateway_that_comes_or_goes_moves_nobody_else(gateways, others, data):
    index = data.draw(st.integers(0, min(gateways, others) - 1))
    name = data.draw(st.text())
    assert Subset(gateways, index).distance(name) == Subset(others, index).distance(name)


@settings(max_examples=100, deadline=None)
@given(FLEETS, SEEDS, st.integers(0, 400))
def test_the_nearest_are_those_of_the_whole_list_sorted(fleet, seed, steps):
    """Whatever is added and dropped in whatever order; as far as it says that it is sure."""
    gateways, servers, least = fleet
    view, drawn = Subset(gateways, seed % gateways, least), random.Random(seed)
    nearest, unused, listed = NearestEndpoints(view), names_of(servers + 400, seed), []
    kept = set()
    for step in range(servers + steps):
        if step < servers or not listed or drawn.random() < 0.4:
            name = unused.pop()
            listed.append(name)
            taken, displaced = nearest.offer(name)
            kept |= {name} if taken else set()
            kept -= {displaced}
        else:
            name = listed.pop(drawn.randrange(len(listed)))
            assert nearest.drop(name) == (name in kept)
            kept -= {name}
        assert len(nearest) <= subset.RESERVE * view.size(servers + 400)
    ranked = sorted(listed, key=lambda name: (view.distance(name), name))
    assert set(nearest) == kept
    assert all(name in nearest for name in kept)
    assert not any(name in nearest for name in set(listed) - kept)
    assert list(nearest) == sorted(kept, key=lambda name: (view.distance(name), name))
    assert nearest.listed == len(listed)
    assert nearest.farthest == max((view.distance(name) for name in kept), default=0.0)
    sure = nearest.certain_count()
    assert list(nearest)[:sure] == ranked[:sure]
    if steps == 0 and view.size(servers) in (least, servers):
        assert sure >= view.size(servers)


@pytest.mark.parametrize(("gateways", "servers"), [(3800, 2000), (300, 4000), (100, 3000)])
def test_a_list_that_is_read_once_tells_the_subset(gateways, servers):
    """Also where the size grows while it is read."""
    names = names_of(servers, gateways)
    for index in (0, gateways // 2):
        view = Subset(gateways, index)
        for order in (names, sorted(names), sorted(names)[::-1]):
            nearest = NearestEndpoints(view)
            for name in order:
                nearest.offer(name)
            assert nearest.certain_count() >= view.size(servers)
            assert list(nearest)[: view.size(servers)] == own(view, names)


def test_where_rows_were_passed_over_too_soon_it_does_not_claim_to_be_sure():
    """By names alone no list comes in this order: the nearest first, while the size still grows."""
    view = Subset(100, 0)
    ranked = sorted(names_of(3000, 100), key=view.distance)
    nearest = NearestEndpoints(view)
    for name in ranked:
        nearest.offer(name)
    assert 0 < nearest.certain_count() < view.size(3000)
    assert list(nearest)[: nearest.certain_count()] == ranked[: nearest.certain_count()]


def test_a_name_that_is_offered_twice_is_kept_once():
    nearest = NearestEndpoints(Subset(3800, 0, 1))
    assert nearest.offer("one") == (True, None)
    assert nearest.offer("one") == (True, None)
    assert list(nearest) == ["one"]
    assert nearest.listed == 1
    assert nearest.drop("one")
    assert not nearest.drop("one")
    assert nearest.listed == 0


class Distances(Subset):
    """Counts the distances worked out, and the comparisons of them."""

    worked_out = compared = 0

    def distance(self, name):
        """Count the call."""
        self.worked_out += 1
        return Distance(super().distance(name), self)


class Distance(float):
    """Counts how often it is compared."""

    def __new__(cls, value, counter):
        """Make the number with its counter."""
        made = super().__new__(cls, value)
        made.counter = counter
        return made

    def _count(self):
        self.counter.compared += 1

    def __eq__(self, other):
        self._count()
        return float(self) == float(other)

    def __lt__(self, other):
        self._count()
        return float(self) < float(other)

    __hash__ = float.__hash__


@pytest.mark.parametrize("change", ["offer", "drop"])
def test_a_row_costs_the_same_at_38000_servers_as_at_600(change):
    most = {}
    for servers in (600, 38000):
        view = Distances(3800, 5)
        nearest, names = NearestEndpoints(view), names_of(servers, 7)
        for name in names:
            nearest.offer(name)
        costs = []
        for name in names_of(200, 8) if change == "offer" else names[:200]:
            view.worked_out = view.compared = 0
            getattr(nearest, change)(name)
            costs.append((view.worked_out, view.compared))
        assert len(nearest) <= subset.RESERVE * subset.LEAST
        most[servers] = max(costs)
    assert most[38000][0] == most[600][0] == 1
    assert 0 < most[38000][1] <= 1.5 * most[600][1]
