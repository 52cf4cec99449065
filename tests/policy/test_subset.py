"""The subset of servers that a gateway works with: properties over random fleets, lists and churn."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quota_gateway.net.discovery.nearest_endpoints import NearestEndpoints
from quota_gateway.policy import concurrency, subset
from quota_gateway.policy.subset import Subset

# Tuples of gateways, servers and minimum size of a subset.
FLEETS = st.tuples(st.integers(1, 400), st.integers(1, 400), st.integers(1, 40))
SEEDS = st.integers(0, 1 << 30)
MAX_STEPS = 400  # number of names that are added or dropped after a list has been read
SMALL_SUBSET_SIZE = 24  # servers; small compared to the fleets of the tests that use it


def random_names(servers, seed):
    """As many distinct server names as ``servers``, drawn at random with the seed."""
    numbers = random.Random(seed).sample(range(1 << 32), servers)
    return [f"s-{number:08x}" for number in numbers]


def ranked_by_distance(gateway_subset, names):
    """The names sorted by distance from the gateway, the nearest first."""
    return sorted(names, key=lambda name: (gateway_subset.distance(name), name))


def subset_names(gateway_subset, names):
    """The names of the servers that the gateway works with, the nearest first."""
    return ranked_by_distance(gateway_subset, names)[: gateway_subset.size(len(names))]


def count_gateways_per_server(gateways, names, min_size):
    """How many gateways work with each server."""
    counts = dict.fromkeys(names, 0)
    for index in range(gateways):
        for name in subset_names(Subset(gateways, index, min_size), names):
            counts[name] += 1
    return counts


@given(st.text(min_size=1) | st.sampled_from(["\ud800", "\x00", "s-5be2a07c"]), st.integers(0, 5000))
def test_distance_is_on_the_ring_for_any_name(name, index):
    assert 0.0 <= Subset(5001, index).distance(name) < 1.0
    assert Subset(5001, index).distance(name) == Subset(5001, index).distance(name)


def test_distances_are_the_same_in_every_process_and_version():
    gateway_subset = Subset(3800, 17)
    assert [gateway_subset.distance(name) for name in ("s-5be2a07c", "s-0", "")] == [
        0.0076487206388264894,
        0.7366848201490939,
        0.6642177470494062,
    ]


@given(FLEETS, SEEDS)
def test_subset_size_is_the_least_that_spreads_a_gateways_attempts_or_all_servers(fleet, seed):
    gateways, servers, min_size = fleet
    gateway_subset = Subset(gateways, seed % gateways, min_size)
    size = gateway_subset.size(servers)
    size_to_spread = (
        subset.SERVERS_PER_CONCURRENT_ATTEMPT * subset.INITIAL_CONCURRENCY_PER_SERVER * servers / gateways
    )
    assert min(servers, min_size) <= size <= servers
    assert size >= min(servers, size_to_spread)
    assert size in (servers, min_size) or size - 1 < size_to_spread
    assert gateway_subset.gateways_per_server(servers) == pytest.approx(gateways * size / servers)
    if size == servers:
        assert gateway_subset.gateways_per_server(servers) == gateways
    assert gateway_subset.size(0) == 0
    assert gateway_subset.gateways_per_server(0) == gateways


def test_subset_sizes_of_known_fleets():
    fleets = ((3800, 38000), (500, 5000), (200, 200), (40, 60), (20, 38000), (100, 38000))
    sizes = [Subset(gateways, 0).size(servers) for gateways, servers in fleets]
    assert sizes == [256, 256, 200, 60, 38000, 9120]
    # A gateway has to spread its even share of the initial concurrency over its subset.
    assert subset.INITIAL_CONCURRENCY_PER_SERVER == concurrency.INITIAL_CONCURRENCY_PER_SERVER


def check_gateways_per_server(gateways, servers, seed, min_share_of_mean=0.0):
    """Check that the number of gateways that work with a server differs little between servers."""
    counts = count_gateways_per_server(gateways, random_names(servers, seed), SMALL_SUBSET_SIZE)
    mean = sum(counts.values()) / len(counts)
    assert min(counts.values()) > min_share_of_mean * mean
    # With subsets drawn at random, some servers would have two to three times the mean.
    assert max(counts.values()) <= 1.8 * mean


@settings(max_examples=25, deadline=None)
@given(st.integers(30, 120), st.integers(1, 4), SEEDS)
def test_every_server_has_gateways_and_none_many_more_than_the_mean(gateways, servers_each, seed):
    check_gateways_per_server(gateways, gateways * servers_each, seed)


def test_servers_are_shared_evenly_at_a_tenth_of_the_fleet():
    # With the same step on both rings, some servers would have half of the mean.
    check_gateways_per_server(380, 3800, 1, min_share_of_mean=0.65)


@settings(max_examples=10, deadline=None)
@given(st.integers(120, 240), SEEDS)
def test_gateways_that_share_servers_on_one_ring_do_not_on_the_other(gateways, seed):
    """Neighboring gateways that all have too much traffic need a less loaded server to move some of it to."""
    names = random_names(gateways, seed)
    subsets = [
        set(subset_names(Subset(gateways, index, SMALL_SUBSET_SIZE), names)) for index in range(gateways)
    ]
    for one_subset in subsets:
        overlapping = [other for other in subsets if one_subset & other]
        reachable = set().union(*overlapping)
        assert len(reachable) >= 3.5 * len(one_subset)  # one ring would give three times the size at most


@settings(max_examples=25, deadline=None)
@given(st.integers(30, 120), st.integers(60, 400), SEEDS, st.data())
def test_server_that_is_added_or_removed_changes_one_name_of_the_subsets_that_have_it(
    gateways, servers, seed, data
):
    names = random_names(servers, seed)
    removed = data.draw(st.sampled_from(names))
    remaining = [name for name in names if name != removed]
    for index in range(gateways):
        gateway_subset = Subset(gateways, index, SMALL_SUBSET_SIZE)
        size = gateway_subset.size(servers)
        ranked = ranked_by_distance(gateway_subset, names)
        before = set(ranked[:size])
        after = set(ranked_by_distance(gateway_subset, remaining)[:size])
        assert after - before == (set(ranked[size : size + 1]) if removed in before else set())
        assert before - after == ({removed} & before)
        assert set(subset_names(gateway_subset, remaining)) <= after


@given(st.integers(1, 5000), st.integers(1, 5000), st.data())
def test_gateway_that_is_added_or_removed_changes_no_distance_of_another(
    gateways_before, gateways_after, data
):
    index = data.draw(st.integers(0, min(gateways_before, gateways_after) - 1))
    name = data.draw(st.text())
    assert Subset(gateways_before, index).distance(name) == Subset(gateways_after, index).distance(name)


@settings(max_examples=100, deadline=None)
@given(FLEETS, SEEDS, st.integers(0, MAX_STEPS))
def test_nearest_endpoints_are_the_first_of_the_sorted_complete_list(fleet, seed, steps):
    """For any order of additions and removals, the first ``certain_count`` names are the nearest ones."""
    gateways, servers, min_size = fleet
    gateway_subset = Subset(gateways, seed % gateways, min_size)
    drawn = random.Random(seed)
    nearest = NearestEndpoints(gateway_subset)
    unused = random_names(servers + MAX_STEPS, seed)
    listed = []
    retained = set()
    for step in range(servers + steps):
        if step < servers or not listed or drawn.random() < 0.4:
            name = unused.pop()
            listed.append(name)
            is_retained, displaced = nearest.offer(name)
            retained |= {name} if is_retained else set()
            retained -= {displaced}
        else:
            name = listed.pop(drawn.randrange(len(listed)))
            assert nearest.drop(name) == (name in retained)
            retained -= {name}
        assert len(nearest) <= subset.RETAINED_NAMES_PER_SUBSET_SERVER * gateway_subset.size(
            servers + MAX_STEPS
        )
    ranked = ranked_by_distance(gateway_subset, listed)
    assert set(nearest) == retained
    assert all(name in nearest for name in retained)
    assert not any(name in nearest for name in set(listed) - retained)
    assert list(nearest) == ranked_by_distance(gateway_subset, retained)
    assert nearest.listed == len(listed)
    assert nearest.farthest == max((gateway_subset.distance(name) for name in retained), default=0.0)
    certain = nearest.certain_count()
    assert list(nearest)[:certain] == ranked[:certain]
    if steps == 0 and gateway_subset.size(servers) in (min_size, servers):
        assert certain >= gateway_subset.size(servers)


@pytest.mark.parametrize(("gateways", "servers"), [(3800, 2000), (300, 4000), (100, 3000)])
def test_list_that_is_read_once_gives_the_complete_subset_in_any_order(gateways, servers):
    """The subset is complete even where its size grows while the list is read."""
    names = random_names(servers, gateways)
    for index in (0, gateways // 2):
        gateway_subset = Subset(gateways, index)
        for order in (names, sorted(names), sorted(names)[::-1]):
            nearest = NearestEndpoints(gateway_subset)
            for name in order:
                nearest.offer(name)
            assert nearest.certain_count() >= gateway_subset.size(servers)
            assert list(nearest)[: gateway_subset.size(servers)] == subset_names(gateway_subset, names)


def test_certain_count_is_below_the_size_where_endpoints_were_displaced_before_the_size_grew():
    """The names are offered nearest first while the size grows; no list sorted by name is in this order."""
    gateway_subset = Subset(100, 0)
    ranked = sorted(random_names(3000, 100), key=gateway_subset.distance)
    nearest = NearestEndpoints(gateway_subset)
    for name in ranked:
        nearest.offer(name)
    assert 0 < nearest.certain_count() < gateway_subset.size(3000)
    assert list(nearest)[: nearest.certain_count()] == ranked[: nearest.certain_count()]


def test_name_that_is_offered_twice_is_retained_once():
    nearest = NearestEndpoints(Subset(3800, 0, 1))
    assert nearest.offer("one") == (True, None)
    assert nearest.offer("one") == (True, None)
    assert list(nearest) == ["one"]
    assert nearest.listed == 1
    assert nearest.drop("one")
    assert not nearest.drop("one")
    assert nearest.listed == 0


class CountingSubset(Subset):
    """A subset that counts how often a distance is calculated and compared."""

    calculations = 0
    comparisons = 0

    def distance(self, name):
        """Calculate a distance whose comparisons are counted by this subset."""
        self.calculations += 1
        return CountingDistance(super().distance(name), self)


class CountingDistance(float):
    """A distance that counts how often it is compared."""

    def __new__(cls, value, counter):
        """Create a distance whose comparisons are added to the counter."""
        distance = super().__new__(cls, value)
        distance.counter = counter
        return distance

    def _count_comparison(self):
        self.counter.comparisons += 1

    def __eq__(self, other):
        self._count_comparison()
        return float(self) == float(other)

    def __lt__(self, other):
        self._count_comparison()
        return float(self) < float(other)

    __hash__ = float.__hash__


@pytest.mark.parametrize("change", ["offer", "drop"])
def test_change_of_an_endpoint_costs_the_same_at_38000_servers_as_at_600(change):
    max_calculations = {}
    max_comparisons = {}
    for servers in (600, 38000):
        gateway_subset = CountingSubset(3800, 5)
        nearest = NearestEndpoints(gateway_subset)
        names = random_names(servers, 7)
        for name in names:
            nearest.offer(name)
        costs = []
        for name in random_names(200, 8) if change == "offer" else names[:200]:
            gateway_subset.calculations = gateway_subset.comparisons = 0
            getattr(nearest, change)(name)
            costs.append((gateway_subset.calculations, gateway_subset.comparisons))
        assert len(nearest) <= subset.RETAINED_NAMES_PER_SUBSET_SERVER * subset.MIN_SUBSET_SIZE
        max_calculations[servers], max_comparisons[servers] = max(costs)
    assert max_calculations[38000] == max_calculations[600] == 1
    assert 0 < max_comparisons[38000] <= 1.5 * max_comparisons[600]
