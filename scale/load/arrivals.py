"""Requests of an open-loop load: Poisson arrivals of Zipf-distributed customers, and their encoding."""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Iterator
from itertools import accumulate
from typing import NamedTuple


class Arrival(NamedTuple):
    """A request: its due time in seconds from the start, and its customer's number, counted from 0."""

    due_s: float
    customer: int


def poisson_arrivals(
    seed: int,
    requests_per_s: float,
    seconds: float,
    customers: int,
    skew: float,
) -> Iterator[Arrival]:
    """Yield the arrivals of a load in order of their times; the same seed gives the same arrivals.

    Args:
        seed: Seed of times and customers.
        requests_per_s: Mean rate.
        seconds: Duration of the load.
        customers: Number of customers.
        skew: Exponent of the Zipf distribution over the customers.
    """
    source = random.Random(f"load {seed}")
    due_s = 0.0
    cumulative_weights = list(accumulate((rank + 1) ** -skew for rank in range(customers)))
    total_weight = cumulative_weights[-1]
    while (due_s := due_s + source.expovariate(requests_per_s)) < seconds:
        rank = bisect(cumulative_weights, source.random() * total_weight)
        yield Arrival(due_s, min(customers - 1, rank))


def encode_request(
    class_name: str,
    plan: str,
    timeout_ms: float,
    customer: int,
    number: int,
    gateway_set_size: int,
) -> bytes:
    """Encode a request as a client writes it (PROTOCOL, Clients to gateways)."""
    fields = f"c={class_name},t={plan},d={timeout_ms:.0f},units=1,spread={gateway_set_size},first=0"
    words = (b"CALL.GET", b"%016x" % (customer + 1), b"%016x" % number, fields.encode())
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)
