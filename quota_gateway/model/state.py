"""What a gateway knows of customers, endpoints and requests in progress: types alone, nothing decided."""

from __future__ import annotations

from math import ceil, inf

from quota_gateway.model.events import Endpoint, EndpointLifecycle, Request
from quota_gateway.model.settings import Plan, RequestClass

Moment = tuple[float, int]  # the time, and how many attempts had been sent from here
Mark = tuple[float, float, Moment]  # failures and all outcomes, both faded, and when they were noted
NEVER: Moment = (-inf, 0)


class CustomerState:
    """What this gateway knows of one customer: its excess, its late metered use, what it has out."""

    __slots__ = (
        "asked",
        "asked_at",
        "ceiling",
        "ceiling_at",
        "elsewhere",
        "excess",
        "gateway_set_size",
        "largest",
        "out",
        "scarce_until",
        "touched",
        "used",
        "used_at",
    )

    def __init__(self, now: float, ceiling: float) -> None:
        self.excess, self.touched, self.largest, self.gateway_set_size = 0.0, now, 0.0, 1
        self.used, self.used_at = 0.0, -inf
        self.scarce_until = -inf  # until when the places under its cap are shared in turns
        self.asked, self.asked_at = 0.0, now  # an excess that counts what was refused as well
        self.out = self.elsewhere = 0  # attempts out, from here and from the other process of this gateway
        self.ceiling, self.ceiling_at = ceiling, now

    def any_out(self) -> int:
        """Attempts out from this gateway."""
        return self.out + self.elsewhere


class EndpointState:
    """What this gateway knows of one server."""

    __slots__ = (
        "cell",
        "distance",
        "id",
        "listed",
        "marks",
        "out",
        "queue",
        "queue_at",
        "ratio",
        "ratio_at",
        "ready",
        "started",
        "zone",
    )

    def __init__(self, entry: Endpoint, distance: float) -> None:
        self.id, self.distance = entry.server, distance
        self.out: set[tuple[str, int]] = set()  # attempts out
        self.reset()
        self.update(entry)

    def reset(self) -> None:
        """Forget what a process that is gone has shown."""
        self.ratio, self.ratio_at, self.queue, self.queue_at = 1.0, NEVER, 0.0, NEVER
        self.marks: dict[str, Mark] = {}

    def update(self, entry: Endpoint) -> None:
        """Take over what discovery says."""
        self.zone, self.cell, self.started = entry.zone, entry.cell, entry.started_ms
        self.ready = self.listed = entry.state is EndpointLifecycle.READY


class PendingRequest:
    """A request in hand: held, parked or out, or answered with attempts still out."""

    __slots__ = (
        "arrived",
        "closed",
        "crowd",
        "customer",
        "deadline",
        "erred",
        "keys",
        "kind",
        "maybe_ran",
        "out",
        "plan",
        "reached",
        "request",
        "sends",
        "size",
        "streaming",
        "timers",
        "tried",
        "turn",
        "waiting",
    )

    def __init__(
        self,
        request: Request,
        kind: RequestClass,
        plan: Plan,
        customer: CustomerState,
        now: float,
        turn: float,
    ) -> None:
        self.request, self.kind, self.plan, self.customer = request, kind, plan, customer
        self.arrived, self.deadline, self.size = now, now + request.timeout_ms, ceil(request.units)
        self.keys = ("", f"class {kind.name}", f"class {kind.name} of plan {plan.name}")
        self.sends, self.turn = 0, turn  # the turn says which cold servers it may go to, once for all
        self.out: dict[int, tuple[EndpointState, float]] = {}
        self.tried: set[int] = set()
        self.reached = False  # whether a server may have had an attempt whole
        self.closed = self.streaming = self.erred = False  # erred: a server answered, but no good answer
        self.timers: list[int] = []  # tokens of those that are for this request alone
        self.crowd = False  # whether the places under the cap seem to be taken elsewhere
        self.waiting = False  # for the end of a hold; the bucket's timer releases it
        self.maybe_ran: tuple[EndpointState, float] | None = None  # the first attempt that may have run
