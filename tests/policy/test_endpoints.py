"""The endpoint table: selection of the subset, replacements of outliers, detachments."""

import pytest

from quota_gateway import AttemptStatus, Endpoint, EndpointLifecycle, EndpointUpdate, Request, UpdateKind
from quota_gateway.model.customer_state import CustomerState
from quota_gateway.model.endpoint_state import DetachmentPeriod
from quota_gateway.model.pending_request import PendingRequest
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.endpoints import EndpointTable
from quota_gateway.policy.outliers import FailureTracker, OutlierDetector
from quota_gateway.policy.slow_start import SlowStart
from quota_gateway.policy.subset import Subset
from tests.support.engine_harness import CLASSES, PLANS, SETTINGS

SUBSET_SIZE = 3
SERVERS = 10
WARM_UP_MS = SETTINGS.service_rules.warm_up_ms


@pytest.fixture
def clock() -> DecayClock:
    clock = DecayClock()
    clock.advance(50_000.0)
    return clock


@pytest.fixture
def detector(clock) -> OutlierDetector:
    return OutlierDetector(FailureTracker(clock))


@pytest.fixture
def table(clock, detector) -> EndpointTable:
    """A table of ten endpoints, of which a gateway of a large fleet works with three."""
    slow_start = SlowStart(SETTINGS.service_rules, clock)
    table = EndpointTable(clock, Subset(1000, 0, SUBSET_SIZE), slow_start, detector)
    update(table, *(Endpoint(number, "a") for number in range(1, SERVERS + 1)), kind=UpdateKind.SNAPSHOT)
    return table


def update(table: EndpointTable, *endpoints: Endpoint, kind: UpdateKind = UpdateKind.DELTA) -> None:
    table.update(EndpointUpdate(kind, endpoints))


def ids_by_distance(table: EndpointTable) -> list[int]:
    return sorted(table.by_id, key=lambda number: table.by_id[number].distance)


def ids(endpoints) -> list[int]:
    return [endpoint.id for endpoint in endpoints]


def make_outlier(detector: OutlierDetector, endpoint) -> None:
    request = Request("r", "safe", "free", "c", 4000.0)
    pending = PendingRequest(request, CLASSES[0], PLANS[3], CustomerState(0.0, 0.0), 0.0, 0.0)
    assert detector.on_outcome(pending, endpoint, AttemptStatus.CONNECT_FAILED)


def test_subset_is_the_nearest_ready_endpoints_and_standby_has_the_others_nearest_last(table):
    ranked = ids_by_distance(table)
    assert ids(table.ready) == ranked[:SUBSET_SIZE]
    assert ids(table.standby) == ranked[: SUBSET_SIZE - 1 : -1]
    assert table.subset_radius == table.by_id[ranked[SUBSET_SIZE - 1]].distance
    update(table, Endpoint(ranked[0], "a", state=EndpointLifecycle.DRAINING))
    assert ids(table.ready) == ranked[1 : SUBSET_SIZE + 1]


def test_new_endpoint_takes_its_place_by_distance(table):
    update(table, *(Endpoint(number, "a") for number in range(100, 140)))
    assert ids(table.ready) == ids_by_distance(table)[:SUBSET_SIZE]


def test_endpoint_that_is_gone_is_never_ready_again(table):
    gone = table.ready[0]
    update(table, Endpoint(gone.id, "a", state=EndpointLifecycle.GONE))
    assert gone.id not in table.by_id
    assert not gone.is_ready
    assert len(table.ready) == SUBSET_SIZE


def test_outlier_gets_one_replacement_until_the_first_selection_after_its_recovery(table, detector):
    ranked = ids_by_distance(table)
    outlier = table.ready[0]
    make_outlier(detector, outlier)
    for _ in range(2):
        table.replace(outlier)
        assert ids(table.ready) == ranked[: SUBSET_SIZE + 1]
    table.select()
    assert ids(table.ready) == ranked[: SUBSET_SIZE + 1]
    outlier.failures.clear()
    assert ids(table.ready) == ranked[: SUBSET_SIZE + 1]
    table.select()
    assert ids(table.ready) == ranked[:SUBSET_SIZE]


def test_outlier_has_no_replacement_where_none_is_on_standby(table):
    update(table, *(Endpoint(number, "a") for number in (1, 2)), kind=UpdateKind.SNAPSHOT)
    assert not table.standby
    table.replace(table.ready[0])
    assert sorted(ids(table.ready)) == [1, 2]


def test_replacement_that_warms_up_is_among_the_warming_endpoints(table, detector, clock):
    nearest_standby = table.standby[-1]
    update(table, Endpoint(nearest_standby.id, "a", started_ms=clock.now_ms))
    assert not table.warming
    make_outlier(detector, table.ready[0])
    table.replace(table.ready[0])
    assert table.warming == [nearest_standby]


def test_attached_endpoint_counts_as_started_when_it_was_attached(table, clock):
    number = table.ready[0].id
    assert table.detach(number)
    assert not table.detach(number)
    clock.advance(60_000.0)
    assert table.attach(number)
    assert not table.attach(number)
    assert table.attached[number] == DetachmentPeriod(since_ms=50_000.0, until_ms=60_000.0)
    update(table, Endpoint(number, "a"))  # discovery reports no start time
    assert table.by_id[number].started_ms == 60_000.0


def test_start_during_the_detachment_that_discovery_reports_is_kept(table, clock):
    number = table.ready[0].id
    table.detach(number)
    clock.advance(60_000.0)
    table.attach(number)
    update(table, Endpoint(number, "a", started_ms=55_000.0))
    assert table.by_id[number].started_ms == 55_000.0


def test_detachment_period_is_forgotten_after_the_warm_up(table, clock):
    number = table.ready[0].id
    table.detach(number)
    table.attach(number)
    clock.advance(50_000.0 + WARM_UP_MS)
    update(table, Endpoint(number, "a"))
    assert number not in table.attached


def test_restored_detachment_keeps_its_time(table):
    table.detach(1)
    assert not table.detach(1, since_ms=40_000.0)
    assert table.detached == {1: 40_000.0}
