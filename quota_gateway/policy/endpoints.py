"""The endpoint table, with updates from discovery, detachment and selection: docs/decisions/endpoints.md."""

from collections.abc import Iterable
from math import inf

from quota_gateway.model.endpoint_state import DetachmentPeriod, EndpointRecord, Endpoints, EndpointState
from quota_gateway.model.events import Endpoint, EndpointLifecycle, EndpointUpdate, UpdateKind
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.outliers import OutlierDetector
from quota_gateway.policy.slow_start import SlowStart
from quota_gateway.policy.subset import Subset


class Selection:
    """The result of a selection.

    Attributes:
        ready: The ready endpoints to use.
        standby: The other ready endpoints, the nearest last.
    """

    __slots__ = ("ready", "standby")

    def __init__(self, ready: Endpoints, standby: Endpoints) -> None:
        self.ready = ready
        self.standby = standby


class EndpointSelector:
    """Selects the endpoints to use: all that are ready or, in a large fleet, the nearest of them.

    An outlier that has a replacement keeps it until the first selection after its recovery.
    """

    def __init__(self, outliers: OutlierDetector) -> None:
        self._outliers = outliers
        # The list is empty after a membership change until the next selection.
        self._sorted_by_distance: Endpoints = []
        self._replaced_ids: set[int] = set()

    def on_membership_change(self) -> None:
        """Discard the order by distance, as an endpoint was added or removed."""
        self._sorted_by_distance = []

    def select(self, by_id: dict[int, EndpointState], subset_size: int) -> Selection:
        """Select the ready endpoints of the subset, and replacements for its outliers."""
        if len(by_id) <= subset_size:
            return Selection([state for state in by_id.values() if state.is_ready], [])
        if not self._sorted_by_distance:
            self._sorted_by_distance = sorted(by_id.values(), key=lambda state: state.distance)
        nearest_ready = [state for state in self._sorted_by_distance if state.is_ready]
        ready, standby = nearest_ready[:subset_size], nearest_ready[subset_size:]
        standby.reverse()
        self._forget_recovered(ready)
        for _ in range(min(len(self._replaced_ids), len(standby))):
            ready.append(standby.pop())
        return Selection(ready, standby)

    def _forget_recovered(self, ready: Endpoints) -> None:
        is_outlier = self._outliers.is_outlier
        self._replaced_ids = {
            state.id for state in ready if state.id in self._replaced_ids and is_outlier(state)
        }

    def take_replacement(self, outlier: EndpointState, standby: Endpoints) -> EndpointState | None:
        """Remove the nearest endpoint from ``standby`` to replace an outlier.

        Returns:
            The endpoint, or None if ``standby`` is empty or the outlier has a replacement already.
        """
        if not standby or outlier.id in self._replaced_ids:
            return None
        self._replaced_ids.add(outlier.id)
        return standby.pop()


class EndpointTable:
    """All known endpoints, and those that this gateway uses.

    Attributes:
        subset: Computes how many endpoints are used, and the distance of each.
        by_id: All known endpoints, by id.
        listed_count: Number of endpoints that discovery lists; ``by_id`` may have only the nearest of them.
        ready: The endpoints in use: all that are ready, or the subset and the replacements of its outliers.
        warming: The warming endpoints among ``ready``.
        standby: Ready endpoints beyond the subset, the nearest last.
        detached: Clock time in milliseconds at which operators detached an endpoint, by id.
        attached: Last detachment period of each endpoint that operators have attached again, by id.
    """

    def __init__(
        self, clock: DecayClock, subset: Subset, slow_start: SlowStart, outliers: OutlierDetector
    ) -> None:
        self._clock = clock
        self.subset = subset
        self._slow_start = slow_start
        self._selector = EndpointSelector(outliers)
        self.by_id: dict[int, EndpointState] = {}
        self.listed_count = 0
        self.ready: Endpoints = []
        self.warming: Endpoints = []
        self.standby: Endpoints = []
        self.detached: dict[int, float] = {}
        self.attached: dict[int, DetachmentPeriod] = {}

    @property
    def subset_radius(self) -> float:
        """The distance of the farthest endpoint in use; infinite if no endpoint is on standby."""
        return self.ready[-1].distance if self.standby else inf

    def update(self, event: EndpointUpdate) -> None:
        """Apply an update from discovery, then select the endpoints to use."""
        if event.kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED):
            listed = {endpoint.server for endpoint in event.endpoints}
            self._remove(endpoint_id for endpoint_id in list(self.by_id) if endpoint_id not in listed)
        for endpoint in event.endpoints:
            self._apply(endpoint)
        self.listed_count = event.listed or len(self.by_id)
        self.select()

    def _apply(self, endpoint: Endpoint) -> None:
        if endpoint.state is EndpointLifecycle.GONE:
            self._remove([endpoint.server])
            return
        state = self.by_id.get(endpoint.server)
        if state is None:
            state = self._add(endpoint)
        elif endpoint.started_ms > state.started_ms:
            state.reset()
        state.update(endpoint)
        self._apply_detachment(state)

    def _add(self, endpoint: Endpoint) -> EndpointState:
        distance = self.subset.distance(endpoint.name or str(endpoint.server))
        state = self.by_id[endpoint.server] = EndpointState(endpoint, distance)
        self._selector.on_membership_change()
        return state

    def _remove(self, endpoint_ids: Iterable[int]) -> None:
        for endpoint_id in endpoint_ids:
            state = self.by_id.pop(endpoint_id, None)
            if state:
                state.is_ready = False
                self._selector.on_membership_change()

    def _apply_detachment(self, state: EndpointState) -> None:
        """Apply the detachment or attachment of an endpoint by operators, which discovery may not know of."""
        if state.id in self.detached:
            state.is_ready = False
        elif state.id in self.attached:
            since_ms, until_ms = self.attached[state.id]
            if state.started_ms <= since_ms:  # no update has reported a start during the detachment
                state.started_ms = until_ms
            if self._slow_start.is_over(until_ms):
                del self.attached[state.id]

    def select(self) -> None:
        """Select the endpoints to use, after an endpoint has changed."""
        self._clock.set_endpoint_count(len(self.by_id))
        subset_size = self.subset.size(self.listed_count)
        selection = self._selector.select(self.by_id, subset_size)
        self.ready = selection.ready
        self.standby = selection.standby
        self.warming = self._slow_start.warming_up(self.ready)

    def replace(self, outlier: EndpointState) -> None:
        """Use the nearest standby endpoint, if any, in addition to an outlier that has no replacement yet."""
        replacement = self._selector.take_replacement(outlier, self.standby)
        if replacement:
            self.ready.append(replacement)
            if self._slow_start.capacity_share(replacement) < 1.0:
                self.warming.append(replacement)

    def detach(self, endpoint_id: int, since_ms: float | None = None) -> bool:
        """Stop sending requests to an endpoint, which may be unknown so far.

        Args:
            endpoint_id: The endpoint's id.
            since_ms: Clock time of the detachment, from a restored state; None means now.

        Returns:
            Whether the endpoint was not detached before.
        """
        is_new = endpoint_id not in self.detached
        if is_new or since_ms is not None:
            self.detached[endpoint_id] = self._clock.now_ms if since_ms is None else since_ms
        self.attached.pop(endpoint_id, None)
        state = self.by_id.get(endpoint_id)
        if state:
            state.is_ready = False
        self.select()
        return is_new

    def attach(self, endpoint_id: int) -> bool:
        """Use a detached endpoint again, as if it had just started; return whether it was detached."""
        since_ms = self.detached.pop(endpoint_id, None)
        if since_ms is None:
            return False
        self.attached[endpoint_id] = DetachmentPeriod(since_ms, self._clock.now_ms)
        state = self.by_id.get(endpoint_id)
        if state:
            state.reset()
            state.is_ready = state.is_listed
            self._apply_detachment(state)
        self.select()
        return True

    def restore(self, records: dict[int, EndpointRecord], attached: dict[int, DetachmentPeriod]) -> None:
        """Restore the records of endpoints from the previous process, then select the endpoints to use."""
        self.attached.update(attached)
        for endpoint_id, state in self.by_id.items():
            if endpoint_id in records:
                state.restore(records[endpoint_id])
        self.select()
