"""The same seed gives the same endpoints, churn and load."""

from scale.config import Churn
from scale.load import arrivals
from scale.stubs import churn, endpoint_catalog


def test_same_seed_gives_the_same_churn():
    day = Churn(speedup=1.0)
    events = churn.churn_events(7, day, churn.SECONDS_PER_DAY)
    assert events == churn.churn_events(7, day, churn.SECONDS_PER_DAY)
    assert events != churn.churn_events(8, day, churn.SECONDS_PER_DAY)
    assert events == sorted(events)
    assert all(0.0 <= event.draw < 1.0 for event in events)
    counts = {kind: sum(event.kind == kind for event in events) for kind in ("change", "restart", "failure")}
    # The expected means of changes, restarts and failures are 2,100, 11,000 and 61.
    assert counts == {"change": 2036, "restart": 11043, "failure": 47}


def test_same_seed_gives_the_same_endpoints():
    endpoints = endpoint_catalog.make_endpoints(7, 50, [1], 15)
    assert endpoints == endpoint_catalog.make_endpoints(7, 50, [1], 15)
    assert endpoints != endpoint_catalog.make_endpoints(8, 50, [1], 15)


def test_same_seed_gives_the_same_skewed_load():
    requests = list(arrivals.poisson_arrivals(7, 100.0, 20.0, 1000, 1.1))
    assert requests == list(arrivals.poisson_arrivals(7, 100.0, 20.0, 1000, 1.1))
    assert abs(len(requests) - 2000) < 200
    assert requests == sorted(requests)
    first_customer_requests = sum(arrival.customer == 0 for arrival in requests)
    tenth_customer_requests = sum(arrival.customer == 9 for arrival in requests)
    assert first_customer_requests > 4 * tenth_customer_requests > 0
