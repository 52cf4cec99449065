"""The mechanisms of one gateway's policy: docs/decisions/engine.md."""

from random import Random

from quota_gateway.model.settings import Settings
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.concurrency import ConcurrencyLimit
from quota_gateway.policy.customer_table import CustomerTable
from quota_gateway.policy.endpoints import EndpointTable
from quota_gateway.policy.executed_requests import ExecutedRequests
from quota_gateway.policy.hard_ceiling import HardCeiling
from quota_gateway.policy.in_flight_limit import InFlightLimit
from quota_gateway.policy.latency import LatencyStatistics
from quota_gateway.policy.leaky_bucket import LeakyBucket
from quota_gateway.policy.load_balancing import LoadBalancer
from quota_gateway.policy.outliers import FailureTracker, OutlierDetector
from quota_gateway.policy.pending_queue import PendingQueue
from quota_gateway.policy.quota import LocalQuota
from quota_gateway.policy.retry_budget import RetryBudget
from quota_gateway.policy.slow_start import SlowStart
from quota_gateway.policy.subset import Subset
from quota_gateway.policy.unknown_customers import UnknownCustomerAdmission


class Mechanisms:
    """Holds one object per mechanism, all with the same clock and random generator, and decides nothing."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.random = random
        self.clock = clock = DecayClock()
        self.quota = LocalQuota(settings, clock)
        self.unknown_customers = UnknownCustomerAdmission(settings, clock, random, self.quota)
        self.ceiling = HardCeiling(clock)
        self.customers = CustomerTable(settings, clock, self.quota, self.ceiling)
        self.bucket = LeakyBucket(settings, clock, self.quota)
        self.in_flight_limit = InFlightLimit(settings, clock)
        self.latencies = LatencyStatistics(settings.classes, clock)
        self.concurrency = ConcurrencyLimit()
        self.queue = PendingQueue(self.latencies)
        self.executed_requests = ExecutedRequests(settings, clock)
        self.retry_budget = RetryBudget(settings.limits)
        self.failures = FailureTracker(clock)
        self.outliers = OutlierDetector(self.failures)
        self.slow_start = SlowStart(settings.service_rules, clock)
        self.balancer = LoadBalancer(settings, clock, random, self.slow_start, self.outliers)
        self.subset = Subset(settings.gateways, settings.index)
        self.endpoints = EndpointTable(clock, self.subset, self.slow_start, self.outliers)
