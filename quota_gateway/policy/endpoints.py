"""The endpoint table: endpoint updates, detached endpoints, selection: docs/decisions/endpoints.md."""

from collections.abc import Iterable
from math import inf

from quota_gateway.model.endpoint_state import EndpointRecord, EndpointState
from quota_gateway.model.events import Endpoint, EndpointLifecycle, EndpointUpdate, UpdateKind
from quota_gateway.policy.clock import DecayClock
from quota_gateway.policy.outliers import OutlierDetector
from quota_gateway.policy.slow_start import SlowStart
from quota_gateway.policy.subset import Subset


class EndpointTable:
    """All endpoints known, and those of them that are worked with."""

    def __init__(
        self, clock: DecayClock, subset: Subset, slow_start: SlowStart, outliers: OutlierDetector
    ) -> None:
        self._clock = clock
        self.subset = subset
        self._slow_start = slow_start
        self._outliers = outliers
        self.by_id: dict[int, EndpointState] = {}
        self.listed_count = 0  # how many discovery names, also where it hands over the nearest alone
        self.ready: list[EndpointState] = []  # those worked with: all, or the subset and its replacements
        self.warming: list[EndpointState] = []  # those of them that don't have their whole capacity yet
        self.standby: list[EndpointState] = []  # ready ones beyond the subset, the nearest last
        self.detached: dict[int, float] = {}  # those that operators took out, and since when
        self.attached: dict[int, tuple[float, float]] = {}  # and attached again: since when out, until when
        self._nearest: list[EndpointState] = []  # all by distance, while none has come or gone
        self._replaced: set[int] = set()  # outliers for which one of the reserve works

    @property
    def subset_radius(self) -> float:
        """The distance of the farthest endpoint that is worked with; infinity where all are."""
        return self.ready[-1].distance if self.standby else inf

    def update(self, event: EndpointUpdate) -> None:
        """Take over an update from discovery."""
        if event.kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED):
            listed = {endpoint.server for endpoint in event.endpoints}
            self._remove(number for number in list(self.by_id) if number not in listed)
        for endpoint in event.endpoints:
            self._take(endpoint)
        self.listed_count = event.listed or len(self.by_id)
        self.select()

    def _take(self, endpoint: Endpoint) -> None:
        if endpoint.state is EndpointLifecycle.GONE:
            self._remove([endpoint.server])
            return
        state = self.by_id.get(endpoint.server)
        if state is None:
            distance = self.subset.distance(endpoint.name or str(endpoint.server))
            state = self.by_id[endpoint.server] = EndpointState(endpoint, distance)
            self._nearest = []
        elif endpoint.started_ms > state.started_ms:
            state.reset()
        state.update(endpoint)
        self._apply_detachment(state)

    def _remove(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            state = self.by_id.pop(number, None)
            if state:
                state.is_ready = False
                self._nearest = []

    def _apply_detachment(self, state: EndpointState) -> None:
        """Bring what discovery lists in line with what operators said, which discovery may not know."""
        if state.id in self.detached:
            state.is_ready = False
        elif state.id in self.attached:
            since_ms, until_ms = self.attached[state.id]
            if state.started_ms <= since_ms:  # no update has told of the start while it was out
                state.started_ms = until_ms
            if self._slow_start.is_over(until_ms):
                del self.attached[state.id]

    def select(self) -> None:
        """Select the ready endpoints to work with: all, or the subset with a replacement for each outlier."""
        self._clock.set_endpoint_count(len(self.by_id))
        size = self.subset.size(self.listed_count)
        self.standby = []
        if len(self.by_id) <= size:
            self.ready = [state for state in self.by_id.values() if state.is_ready]
        else:
            if not self._nearest:
                self._nearest = sorted(self.by_id.values(), key=lambda state: state.distance)
            ready = [state for state in self._nearest if state.is_ready]
            self.ready = ready[:size]
            self.standby = ready[: size - 1 : -1]
            is_outlier = self._outliers.is_outlier
            self._replaced = {s.id for s in self.ready if s.id in self._replaced and is_outlier(s)}
            for _ in range(min(len(self._replaced), len(self.standby))):
                self.ready.append(self.standby.pop())
        self.warming = self._slow_start.warming_up(self.ready)

    def replace(self, outlier: EndpointState) -> None:
        """Let one of the reserve work beside an outlier, until the first update after its recovery."""
        if self.standby and outlier.id not in self._replaced:
            self._replaced.add(outlier.id)
            replacement = self.standby.pop()
            self.ready.append(replacement)
            if self._slow_start.capacity_share(replacement) < 1.0:
                self.warming.append(replacement)

    def detach(self, number: int, since_ms: float | None = None) -> bool:
        """Send nothing more to an endpoint, since now or as restored; whether it was not detached before."""
        is_new = number not in self.detached
        if is_new or since_ms is not None:
            self.detached[number] = self._clock.now_ms if since_ms is None else since_ms
        self.attached.pop(number, None)
        state = self.by_id.get(number)
        if state:
            state.is_ready = False
        self.select()
        return is_new

    def attach(self, number: int) -> bool:
        """Let an endpoint serve again, as one that has just started; whether it was detached."""
        since_ms = self.detached.pop(number, None)
        if since_ms is None:
            return False
        self.attached[number] = since_ms, self._clock.now_ms
        state = self.by_id.get(number)
        if state:
            state.reset()
            state.is_ready = state.is_listed
            self._apply_detachment(state)
        self.select()
        return True

    def restore(self, records: dict[int, EndpointRecord], attached: dict[int, tuple[float, float]]) -> None:
        """Go on from what the process before knew of its endpoints."""
        self.attached.update(attached)
        for number, state in self.by_id.items():
            if number in records:
                state.restore(records[number])
        self.select()
