"""Check that servers that are draining or gone get no new requests.

Rule of docs/invariants.md:

    "no new attempt goes to a server that drains, is gone or is detached"
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

from soak.oracle.notification import Notifications
from soak.oracle.record_index import RecordIndex
from soak.oracle.tolerances import DEADLINE_SLACK_S
from soak.records import EndpointChange, EndpointLifecycle
from soak.settings import DRAIN_GRACE_S
from soak.violation import Rule, Violation


def find_violations(index: RecordIndex) -> Iterator[Violation]:
    """Yield attempts that a server got after their gateway must have known that it was not ready."""
    notifications = Notifications(index.records)
    changes = sorted(index.records.endpoint_changes, key=lambda change: change.at_s)
    for position, change in enumerate(changes):
        if change.lifecycle is EndpointLifecycle.READY:
            continue
        ready_again_s = _ready_again_s(change.server, changes[position + 1 :])
        for command in index.received_by(change.server, change.at_s, ready_again_s):
            gateway = index.gateway_of(command)
            notified_s = notifications.latest_s(change.at_s, gateway)
            if command.earliest_received_s > notified_s + DRAIN_GRACE_S + DEADLINE_SLACK_S:
                detail = (
                    f"attempt at {change.lifecycle} {change.server} by n{'' if gateway is None else gateway}"
                )
                yield Violation(Rule.DRAIN, command.request_id, detail)


def _ready_again_s(server: str, later_changes: list[EndpointChange]) -> float:
    """Return when a server was next published as ready; infinity if it never was."""
    returns = (
        change.at_s
        for change in later_changes
        if change.server == server and change.lifecycle is EndpointLifecycle.READY
    )
    return next(returns, inf)
