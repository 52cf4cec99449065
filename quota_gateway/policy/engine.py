"""Every decision of the gateway. Its types stand in quota_gateway/model.

The path of a request, from top to bottom of ``PolicyEngine``:
  _on_request  unknown names are refused; the customer's leaky bucket says send, hold or refuse
  _release     after a hold, or at once: the in-flight cap, the ceiling, a server; else it is parked
  _send        an attempt goes out; its server, its customer and the budgets are charged
  _on_outcome  health is judged, the meter read; a failed attempt is sent again or answered
  _answer      refused where a retry is proven harmless, else failed; once, before the deadline
Parked requests are tried again whenever an attempt ends or the list of servers changes.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from math import ceil, exp, inf
from typing import Any

from quota_gateway.model import (
    Action,
    AttachServer,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    DetachServer,
    DiscoveryMode,
    Endpoint,
    EndpointLifecycle,
    EndpointUpdate,
    Event,
    ExportState,
    Fail,
    HealthCheckResult,
    Idempotency,
    IdempotencyScope,
    LogMessage,
    NotifyPeerProcess,
    Outcome,
    PeerProcessExited,
    PeerProcessUsage,
    Plan,
    Reject,
    Request,
    RequestClass,
    RestoreState,
    SetServerDetached,
    SetTimer,
    Settings,
    ShutdownStarted,
    StartAttempt,
    StateSnapshot,
    StreamStarted,
    Subscribe,
    TimerFired,
    UpdateKind,
)
from quota_gateway.model.snapshot import INHERITED, marks_in, moment_in, number_in
from quota_gateway.model.state import NEVER, CustomerState, EndpointState, Mark, Moment, PendingRequest
from quota_gateway.policy.subset import Subset

# Meter and slices
THOUSANDTHS = 1000.0  # of a unit, the unit of the excess
GROWTH = 0.1  # share of the room given out: the meter is late, and all gateways rise on one figure
WORTH_BURST = 0.25  # by which the burst grows for a class of endless worth, to have what others leave
CHEAP_HOLD = 0.1  # of the shortest aim, for which the least worthy class is held: the worthier wait longer
THIN_BURST = 2.0  # requests by which an unused thin slice's burst grows: two by chance are no abuse
TURN_PERIODS = 1.0  # meter periods of a gateway's turn at scarce places: long beside an attempt
SCARCE_PERIODS = 10.0  # meter periods for which places stay scarce after more were out than the cap allows
CROWD_PERIODS = 1.0  # the same after a request found this gateway's place taken, which may be chance
BUSY = 4  # gateways by which most of a customer's requests come at a time: a wider set has idle ones
CROWD_MS = 2000.0  # time constant with which a customer's tries here fade: the lateness of a reading
CROWD_ROOM = 0.75  # such tries that the whole of a cap's room allows
FIRST_ROOM = 0.3  # of a cap: the room taken for a customer of whom nothing has been read yet
FIRST_OPEN = 0.2  # part of a wide plan's unheard-of customers that passes until readings tell more
LEAST_OPEN = 0.08  # of that part at any time: what does not pass is not read
OPEN_STEP = 0.6  # by which one reading over quota lowers it, as a logarithm: a gateway reads a few a second
OPEN_AIM = 0.5  # of the share of such readings that would cost what the others earn: readings are late
NEWS_PERIODS = 4.0  # meter periods a reading stays news: the period, its lateness, a gap in traffic

# Time
ANSWER_TICKS = 2.0  # ticks before the client's deadline of the last answer: one to fire, one to spare
ASK_SHARE = 0.5  # of the time in which discovery must be asked: room for one failed call

# Servers
FIRST_LATENCY = 0.2  # of a class's aim: its latency until answers have been seen
LATENCY_STEP = 0.03  # weight of one answer in a mean latency, once there are as many: thirty of memory
SERVER_STEP = 0.15  # weight of one answer in a server's relative latency: some seven answers of memory
FADE_MS = 4000.0  # time constant with which figures fade, so that a server is tried again; but see _fade
QUEUE_WEIGHT = 1.0  # requests out that one reported as waiting stands for
CROSS_WEIGHT = 10.0  # how many times its price a zone crossing weighs against a mean latency
SPREAD = 0.1  # share of a cost drawn at random, so that gateways with the same reports do not choose alike

# Pressure: how much may be out from here at all servers together, found by what answers show
FIRST_LIMIT = 6.0  # attempts out at a server, over all gateways, before anything is known of it
POOL_GROWTH = 0.035  # attempts by which a quick answer lifts a pool that is used up: thirty lift it by one
POOL_CUT = 0.3  # attempts that a slow answer takes off: one slow answer in ten holds the pool level
LEAST_POOL = 0.3  # attempts out, a share of requests below one: the pool must see answers to recover
QUICK = 0.3  # of the aim: answers faster than this lift the pool
SLOW = 0.5  # of the aim: answers slower than this cut the pool, and attempts out so long are doubtful

# Health: the share of failures that a server shows, apart for its class and for its plan
DOUBT_COST = 6.0  # mean latencies that a failure costs beside a wait: most of a request's worth is lost
DOUBT_PRIOR = 1.0  # answers that the share seen at all servers weighs against a server's own
LOST = 8.0  # mean latencies after which an answer hardly comes: three in ten thousand, if exponential
DOUBTED = 0.5  # share of failures from which a slow attempt is taken elsewhere, and a line is logged
SAMPLE = 10  # servers compared for a request, drawn at random, beside as many that answered it quickly last

# Cold servers
COLD_SAFETY = 0.5  # of the tipping budget: a burst of half as much again and chance fit into the rest
COLD_RANK = 0.75  # of the servers compared: a cold one is taken in its turn unless so many look better

# Attempts
RETRY_SHARE = 0.2  # further attempts per first one, over time: bounds what failures can add to the load
RETRY_STORE = 10.0  # further attempts saved up at most


class PolicyEngine:
    """One gateway's decisions. Feed events in order; carry out the actions in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.classes = {item.name: item for item in settings.classes}
        self.plans = {item.name: item for item in settings.plans}
        self.open = {name: FIRST_OPEN for name in self.plans}  # part of unheard-of customers let pass
        self.customers: dict[tuple[str, str], CustomerState] = {}
        self.servers: dict[int, EndpointState] = {}
        self.flights: dict[str, PendingRequest] = {}
        self.parked: dict[str, PendingRequest] = {}
        self.timers: dict[int, tuple[Callable[[Any], None], Any]] = {}
        self.tokens, self.now, self.started_at, self.ends_at = 0, -inf, inf, inf
        worths = [item.priority_weight for item in settings.classes]
        self.cheap = min(worths) if min(worths) < max(worths) else 0.0  # the least worth, where worths differ
        self.shortest = min(item.latency_objective_ms for item in settings.classes)
        self.latency: dict[str, dict[int, tuple[float, int]]] = {item.name: {} for item in settings.classes}
        self.retries = RETRY_STORE
        self.young: set[tuple[str, int]] = set()  # attempts out that are not slow yet: what the pool counts
        self.pool = inf  # until the first list
        self.marks: dict[str, Mark] = {}  # of all servers together, those of no class by zone
        self.quick: dict[str, dict[int, EndpointState]] = {item.name: {} for item in settings.classes}
        self.sends = 0
        self.subset, self.listed = Subset(settings.gateways, settings.index), 0
        self.ready: list[EndpointState] = []
        self.nearest: list[EndpointState] = []  # all servers by distance, while none has come or gone
        self.reserve: list[EndpointState] = []  # ready servers beyond the subset, the nearest last
        self.stood_in: set[int] = set()  # servers in doubt for which one of those works
        self.cold: list[EndpointState] = []
        self.has_peer_process = False  # whether another process of this gateway has to hear of what is out
        self.detached: dict[int, float] = {}  # servers that operators took out, and since when
        self.attached: dict[int, tuple[float, float]] = {}  # and let in again: since when out, and until when
        self.logged: set[str] = set()
        self.actions: list[Action] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            Request: self._on_request,
            Outcome: self._on_outcome,
            TimerFired: self._on_timer,
            EndpointUpdate: self._on_list,
            ClientDisconnected: self._on_gone,
            StreamStarted: self._on_stream,
            HealthCheckResult: self._on_probe,
            ShutdownStarted: self._on_stopping,
            DetachServer: self._on_detach,
            AttachServer: self._on_attach,
            ExportState: self._on_bequeath,
            RestoreState: self._on_inherit,
            PeerProcessUsage: self._on_elsewhere,
            PeerProcessExited: self._on_alone,
        }

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Decide on one event at this time; times never go back."""
        if not now_ms >= self.now:
            raise ValueError(f"now_ms: {now_ms!r} is before {self.now!r}")
        self.now, self.actions = now_ms, []
        self.started_at = min(self.started_at, now_ms)
        handler = self.handlers.get(type(event))
        if handler:
            handler(event)
        return self.actions

    # ---- Meter and slices

    def _customer(self, request: Request, plan: Plan) -> CustomerState:
        """The customer's state, as the last touched; the longest untouched is forgotten once it is as new."""
        key = (request.plan, request.customer)
        customer = self.customers.pop(key, None)
        if customer is None:
            customer = CustomerState(self.now, self._fresh_ceiling(plan, request.gateway_set_size))
        customer.gateway_set_size = min(request.gateway_set_size, self.settings.gateways)
        customer.largest = max(customer.largest, request.units)
        self.customers[key] = customer
        self._forget(customer)
        return customer

    def _forget(self, current: CustomerState) -> None:
        """Keeps the state bounded: each request brings one customer at most and may take two away.

        One that can't be forgotten yet is looked at again in its turn. Guards against one that is slow to
        drain, or has an attempt out for long, and keeps all behind it.
        """
        for _ in range(2):
            key = next(iter(self.customers))
            old, plan = self.customers[key], self.plans[key[0]]
            if old is current:
                return
            idle = self.now - max(old.touched, old.used_at)
            drained = old.excess <= plan.rate / old.gateway_set_size * idle
            full = self._ceiling_level(old, plan) >= self._fresh_ceiling(plan, old.gateway_set_size)
            recent = idle < NEWS_PERIODS * self.settings.usage_period_ms
            if recent and drained and full and not old.any_out():
                return  # those behind it have been seen later, or are looked at again before long
            del self.customers[key]
            if old.any_out() or recent or not drained or not full:
                self.customers[key] = old

    def _drain_ms(self, customer: CustomerState, plan: Plan) -> float:
        """How long the even slice takes to drain the customer's largest request."""
        return customer.largest * customer.gateway_set_size * THOUSANDTHS / plan.rate if plan.rate else 0.0

    def _drained(self, customer: CustomerState, plan: Plan) -> float:
        """Units the even slice has drained of what the customer asked here."""
        return plan.rate * (self.now - customer.asked_at) / customer.gateway_set_size / THOUSANDTHS

    def _thin(self, customer: CustomerState, plan: Plan) -> bool:
        """Whether the even slice is less than a request, in its burst and in all the time that news lasts.

        Under thin slices what every gateway lets pass at first adds up to many times the quota, and no
        gateway hears of the customer often enough to see it. Exceptions that act there, and only there:
        a marked retry is refused, as it was most likely refused elsewhere for being over quota; and the
        last reading stays news until a request has drained, its room growing the burst while the customer
        asks no more here than its slice and two requests: a low reading of one held back is no room.
        Guards against customers far over quota that try each gateway in turn. Harm: a retry after a failure
        is refused too.
        """
        thin = plan.burst < customer.largest * customer.gateway_set_size
        return thin and self._drain_ms(customer, plan) > NEWS_PERIODS * self.settings.usage_period_ms

    def _unheard_of(self, customer: CustomerState, plan: Plan) -> bool:
        """Whether nothing is known here of a customer whose floor is more than its even share.

        In a wide set each gateway lets one request pass, or one be out, of a customer it has not heard of:
        over two hundred gateways these floors add up to many times the quota, as who is refused at one comes
        again by the next. Nothing tells the one from the other, but the readings of all that passed tell how
        many of a plan are beyond. So a part is let pass that follows them, see _open_up: most come by again,
        and what those far beyond their quota get falls with it. Harm: one inside its quota is refused now
        and then though it has room, as the gateway can't know.
        """
        if customer.gateway_set_size <= BUSY or plan.excess_cost <= plan.excess_value:
            return False  # few gateways, or nothing is lost by what goes beyond
        wide = self._thin(customer, plan) if plan.rate else plan.max_in_flight > 0
        news_ms = max(NEWS_PERIODS * self.settings.usage_period_ms, self._drain_ms(customer, plan))
        return wide and self.now - customer.used_at > news_ms

    def _open_up(self, customer: CustomerState, plan: Plan, used: float) -> None:
        """Move the part of a plan's unheard-of customers that pass by what a reading tells of one.

        Where customers that are over make up 1 / (1 + cost) of what is sent, they cost what the others earn:
        more that is sent on to one of them is beyond, all of it. The part holds them to a share of that.
        """
        if customer.gateway_set_size > BUSY:
            aim = OPEN_AIM / (1.0 + max(0.0, plan.excess_cost - plan.excess_value))
            part = self.open[plan.name] * exp(OPEN_STEP * (aim - (used > 1.0)))
            self.open[plan.name] = min(1.0, max(LEAST_OPEN, part))

    def _room(self, customer: CustomerState, lasts_ms: float) -> float:
        """The room that the late reading leaves; none at or over quota, or when it is no news any more."""
        return max(0.0, 1.0 - customer.used) if self.now - customer.used_at <= lasts_ms else 0.0

    def _share(self, customer: CustomerState) -> float:
        """The slice of the quota: the even floor, and the even part of the room that fresh news leaves."""
        room = self._room(customer, NEWS_PERIODS * self.settings.usage_period_ms)
        return min(1.0, (1.0 + GROWTH * room) / customer.gateway_set_size)

    def _worthier(self, kind: RequestClass) -> float:
        """By how much the burst is larger for a class: nothing for the least worthy.

        Guards against a customer beyond its quota who fills it with what is worth least: an excess near the
        burst is open to the worthier classes alone. Harm: it passes the quota by that much at first.
        """
        return 1.0 + WORTH_BURST * (1.0 - self.cheap / kind.priority_weight) if self.cheap else 1.0

    def _meter(self, customer: CustomerState, plan: Plan, kind: RequestClass, units: float) -> float:
        """Milliseconds to hold the request, inf to refuse it; the excess is stored unless it is refused."""
        if not plan.rate:
            return 0.0
        share = self._share(customer)
        rate = plan.rate * share
        burst = max(plan.burst / customer.gateway_set_size, customer.largest) * THOUSANDTHS
        drained = self._drained(customer, plan)
        customer.asked, customer.asked_at = max(0.0, customer.asked - drained) + units, self.now
        if self._thin(customer, plan) and customer.asked <= THIN_BURST * customer.largest:
            burst *= 1.0 + THIN_BURST * self._room(customer, self._drain_ms(customer, plan))
        burst *= self._worthier(kind)
        elapsed = self.now - customer.touched
        excess = max(0.0, customer.excess - rate * elapsed + THOUSANDTHS * units)
        if excess > 2.0 * burst:
            return inf
        customer.excess, customer.touched = excess, self.now
        return max(0.0, excess - burst) / rate

    def _useful(self, flight: PendingRequest) -> float:
        """How long a hold may last: for an answer within the shortest aim, and less for the least worthy.

        Guards against sending on what earns nothing, as a band of one burst may last seconds longer than
        the aim, and against a class that wins the quota by waiting longest: reads with twice the aim of
        posts were served whole and posts four fifths. Harm: a class with a long aim, or that earns much
        after it, is refused what it could have had.
        """
        if flight.kind.priority_weight == self.cheap:
            return CHEAP_HOLD * self.shortest
        return self.shortest - self._mean(flight)

    def _advice(self, flight: PendingRequest) -> float:
        """When a request refused for the quota may come again: when the bucket would take it, held or not.

        Nothing is advised where that is too late for its aim. Guards against sending clients away until
        all that they could earn is lost: they come by another gateway too, whose bucket may have room.
        Harm: a client that is told nothing may come in vain.
        """
        limits, customer, plan = self.settings.limits, flight.customer, flight.plan
        if not limits.can_send_retry_after:
            return 0.0
        rate = plan.rate * self._share(customer)
        burst = (
            max(plan.burst / customer.gateway_set_size, customer.largest)
            * THOUSANDTHS
            * self._worthier(flight.kind)
        )
        excess = customer.excess - rate * (self.now - customer.touched) + THOUSANDTHS * flight.request.units
        hold = min(burst / rate, flight.request.timeout_ms, max(0.0, self._useful(flight)))
        wait = max(0.0, (excess - burst) / rate - hold)
        return min(limits.max_retry_after_ms, wait) if wait <= self._last_start(flight) - self.now else 0.0

    def _settle(self, flight: PendingRequest, true: float) -> None:
        """Put a guess right once the answer tells the units."""
        change = THOUSANDTHS * (true - flight.request.units)
        flight.customer.excess = max(0.0, flight.customer.excess + change)
        self._tell(flight, change)

    # ---- Quota guards

    def _in_flight_cap(self, flight: PendingRequest) -> float:
        """This gateway's slice of the attempts a customer may have out at once, at least one."""
        cap = flight.plan.max_in_flight
        return max(1, int(cap * self._share(flight.customer))) if cap else inf

    def _scarce(self, customer: CustomerState, periods: float) -> None:
        """Places under the customer's cap are scarce for so many meter periods from now."""
        until = self.now + periods * self.settings.usage_period_ms
        customer.scarce_until = max(customer.scarce_until, until)

    def _crowded(self, customer: CustomerState, plan: Plan) -> bool:
        """Count a try under a cap, and say whether its places seem to be taken elsewhere.

        Each gateway of a wide set lets one out, so that tens may be out where two or three may; a reading
        comes a second or two late, and seldom to any one of them, and a turn comes too late for the client.
        What tells at once is how often the customer asked here lately: who does asks everywhere. Tries that
        are refused count too, as clients come again. Harm: one whose requests all come by one gateway, close
        together, is refused what the cap has room for until a reading says so.
        """
        if not plan.max_in_flight or plan.rate:
            return False
        lately = customer.asked * exp((customer.asked_at - self.now) / CROWD_MS)
        customer.asked, customer.asked_at = lately + 1.0, self.now
        room = max(0.0, 1.0 - customer.used) if customer.used_at > -inf else FIRST_ROOM
        return lately >= CROWD_ROOM * room

    def _turn_wait(self, flight: PendingRequest) -> float:
        """Milliseconds until it is this gateway's turn at a cap with fewer places than gateways.

        The even slice is one place at least, so three gateways let out three where two may be. While places
        are scarce, as many gateways as there are places have their turn at a time, by the clock that all
        machines read, counted from the first of the customer's set. The meter shows a spike when half of it
        is over: that a request finds the place here taken tells at once. In a wide set, where a turn comes
        round once in many seconds, a crowd makes them scarce, see _crowded. Harm: what comes in where the
        turn has passed is refused, or waits, though a place may be free.
        """
        customer, places, period = flight.customer, flight.plan.max_in_flight, self.settings.usage_period_ms
        if not places or places >= customer.gateway_set_size:
            return 0.0
        scarce = flight.crowd if customer.gateway_set_size > BUSY else self.now < customer.scarce_until
        if not scarce:
            return 0.0
        turn, into = divmod(self.now, TURN_PERIODS * period)
        place = (self.settings.index - flight.request.first_gateway) % self.settings.gateways
        ahead = int(place - turn) % customer.gateway_set_size
        return 0.0 if ahead < places else (ahead - places + 1) * TURN_PERIODS * period - into

    def _fresh_ceiling(self, plan: Plan, gateway_set_size: int) -> float:
        """The ceiling's share of a customer not seen since the start: unknown history starts at nought."""
        return (
            min(plan.ceiling_burst, plan.ceiling_rate * (self.now - self.started_at) / 1000.0)
            / gateway_set_size
        )

    def _ceiling_level(self, customer: CustomerState, plan: Plan) -> float:
        refill = plan.ceiling_rate / customer.gateway_set_size * (self.now - customer.ceiling_at) / 1000.0
        return min(plan.ceiling_burst / customer.gateway_set_size, customer.ceiling + refill)

    def _ceiling_wait(self, flight: PendingRequest) -> float:
        """Milliseconds until this gateway's share of the hard ceiling holds the request's units."""
        if not flight.plan.ceiling_rate:
            return 0.0
        customer, units = flight.customer, flight.request.units
        if units > flight.plan.ceiling_burst / customer.gateway_set_size:
            return inf
        short = units - self._ceiling_level(customer, flight.plan)
        return max(0.0, short) * 1000.0 * customer.gateway_set_size / flight.plan.ceiling_rate

    def _draw_ceiling(self, flight: PendingRequest) -> None:
        if flight.plan.ceiling_rate:
            customer = flight.customer
            customer.ceiling = self._ceiling_level(customer, flight.plan) - flight.request.units
            customer.ceiling_at = self.now

    # ---- Server choice and health

    def _fade(self, then: Moment) -> float:
        """What is left of a figure: it fades with time, but not before each server could be met again."""
        age = min((self.now - then[0]) / FADE_MS, (self.sends - then[1]) / max(1, len(self.servers)))
        return exp(-age)

    def _mark(self, server: EndpointState, key: str, failed: bool, why: str = "") -> None:
        """Note how an attempt went, for its server and for all."""
        for marks, name in ((server.marks, key), (self.marks, key or server.zone)):
            bad, seen, then = marks.get(name, (0.0, 0.0, NEVER))
            fade = self._fade(then)
            marks[name] = (bad * fade + failed, seen * fade + 1.0, (self.now, self.sends))
        if failed and self._share_failed(server, key) >= DOUBTED:
            self._stand_in(server)
            self._log_once(f"server {server.id} doubted{' for ' if key else ''}{key}: {why}")

    def _share_failed(self, server: EndpointState, key: str) -> float:
        """The share of failures expected at a server: its own, and all servers' while it shows little."""
        bad_all, seen_all, _ = self.marks.get(key or server.zone, (0.0, 0.0, NEVER))
        prior = DOUBT_PRIOR * bad_all / (seen_all + 1.0)
        bad, seen, then = server.marks.get(key, (0.0, 0.0, NEVER))
        fade = self._fade(then) if seen else 0.0
        return (bad * fade + prior) / (seen * fade + DOUBT_PRIOR)

    def _doubt(self, flight: PendingRequest, server: EndpointState) -> float:
        """How likely the request fails there.

        Guards against silent, half-working and refusing servers, whether all requests suffer or those of
        one class or plan: who was answered there goes there again, who was not goes elsewhere, and while
        many fail, servers not tried yet come after those that answered. Nothing is closed: the best of bad
        servers still gets work. Harm: slow answers by chance turn requests away from a good server.
        """
        return max(self._share_failed(server, key) for key in flight.keys)

    def _cost(self, flight: PendingRequest, server: EndpointState) -> float:
        """The wait expected at a server, in mean latencies."""
        waiting = len(server.out) + QUEUE_WEIGHT * server.queue * self._fade(server.queue_at)
        ratio = 1.0 + (server.ratio - 1.0) * self._fade(server.ratio_at)
        warmth, doubt = self._warmth(server), self._doubt(flight, server)
        if warmth < 1.0 and doubt < DOUBTED:
            doubt = 0.0  # it is slow for a request as a cold server has to be: its turns are few for that
        cost = ratio * (warmth * (warmth + waiting) + (1.0 + waiting) * DOUBT_COST * doubt)
        if server.zone != self.settings.zone:
            cost *= 1.0 + CROSS_WEIGHT * self.settings.cross_zone_cost
        return cost * (1.0 + SPREAD * self.random.random())

    def _choose(self, flight: PendingRequest) -> EndpointState | None:
        """The best of some servers: ready, in the request's group, cold only in its turn, not yet tried.

        A cold one is taken in its turn unless most look better. Guards against starving it: the best of ten
        is quick by chance, and beats one that few requests are open to at all. Harm: some answers are slower.
        """
        if not flight.sends and len(self.young) >= self.pool - flight.turn:
            return None  # a pool of 1.4: one out for each request, a second for four in ten
        few = self.ready
        if flight.sends:
            few = [s for s in few if s.id not in flight.tried and self._in_group(flight, s)]
            if not few and flight.kind.idempotency is Idempotency.KEYED:
                few = [s for s in self.ready if self._in_group(flight, s)]
        if len(few) > 2 * SAMPLE:
            reach = self.ready[-1].distance if self.reserve else inf  # no others, however quick they were
            quick = [
                s
                for s in self.quick[flight.kind.name].values()
                if s.distance <= reach and (not flight.sends or s in few)
            ]
            few = self.random.sample(few, SAMPLE) + quick + (self.cold if not flight.sends else [])
        turn = self._in_turn(flight) if self.cold else None
        few = [s for s in few if s.ready and (s is turn or self._warmth(s) >= 1.0)]
        ranked = sorted(few, key=lambda server: self._cost(flight, server))
        if turn in ranked[: ceil(COLD_RANK * len(ranked))]:
            return turn
        return ranked[0] if ranked else None

    def _in_group(self, flight: PendingRequest, server: EndpointState) -> bool:
        """Whether the request may go to this server, by what may have run already."""
        if flight.maybe_ran is None or flight.kind.idempotency is Idempotency.IDEMPOTENT:
            return True
        if flight.kind.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        first, sent = flight.maybe_ran
        if self.now - sent >= flight.kind.idempotency_window_ms:
            return False
        scope = flight.kind.idempotency_scope
        return scope is IdempotencyScope.ALL or (
            server.zone == first.zone and (scope is IdempotencyScope.ZONE or server.cell == first.cell)
        )

    def _judge(self, flight: PendingRequest, server: EndpointState, status: AttemptStatus) -> None:
        """Note an outcome; attempts that wait in vain are noted as they become slow.

        A server that turns one away as full may do so to its class and plan alone, and others go on there.
        After an error elsewhere it tells nothing of the server: the request is over, see _again.
        """
        whole, kind, both = flight.keys
        if status is AttemptStatus.OK:
            for key in flight.keys:
                self._mark(server, key, failed=False)
        elif status is AttemptStatus.ERROR:
            self._mark(server, kind, failed=True, why=status.value)
        elif status is AttemptStatus.OVERLOADED and not flight.erred:
            self._mark(server, both, failed=True, why=status.value)
        elif status in (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET):
            self._mark(server, whole, failed=True, why=status.value)

    def _press(self, server: EndpointState, flight: PendingRequest, event: Outcome) -> None:
        """What may be out from here at all servers together, moved by every answer.

        Guards against any cause that makes servers slower than the aim: overload, neighbours, costly
        requests, queues that fill. It sums over all gateways, however many: a limit of one at each server
        would be hundreds, and each gateway meets a server once in seconds. Silent attempts leave it as they
        become slow, so that servers that hang don't stop the rest. What the size of a request adds is left
        out. Harm: few slow servers hold all back a little.
        """
        if event.status is not AttemptStatus.OK:
            return
        kind, latency = flight.kind, event.latency_ms - self._extra(flight)
        known = self.quick[kind.name]
        known.pop(server.id, None)
        if latency > SLOW * kind.latency_objective_ms:
            self.pool = max(LEAST_POOL, self.pool - POOL_CUT * min(1.0, self.pool))
        elif latency < QUICK * kind.latency_objective_ms:
            known[server.id] = server
            if len(known) > SAMPLE:
                del known[next(iter(known))]
            if len(self.young) + 2 >= self.pool:  # the one that ended and one more would not have fitted
                self.pool += POOL_GROWTH

    def _on_slow(self, which: tuple[PendingRequest, int]) -> None:
        """An attempt still out when it is slow tells so before its answer does; it may be taken elsewhere."""
        flight, number = which
        self.young.discard((flight.request.request_id, number))
        if number not in flight.out:
            return
        server, sent = flight.out[number]
        if flight.streaming:
            return
        self._mark(server, flight.keys[1], failed=True, why="silent")
        self._arm((1.0 - SLOW) * flight.kind.latency_objective_ms, self._on_late, which, flight)
        doubted = self._lost(flight, sent) or self._share_failed(server, flight.keys[1]) >= DOUBTED
        if (
            flight.kind.idempotency is Idempotency.NON_IDEMPOTENT
            or flight.closed
            or len(flight.out) > 1
            or not doubted
        ):
            return
        if flight.maybe_ran is None:
            flight.maybe_ran = (server, sent)
        if not self._may_resend(flight) or len(self.young) >= self.pool:
            return
        other = self._choose(flight)
        if other and other is not server and self.settings.limits.may_duplicate:
            self._send(flight, other)
        elif other and self.settings.limits.can_cancel:
            self.actions.append(CancelAttempt(flight.request.request_id, number))

    def _lost(self, flight: PendingRequest, sent: float) -> bool:
        """Whether an attempt has been out for so long that its answer will hardly come any more."""
        return self.now - sent >= LOST * self._mean(flight)

    def _on_late(self, which: tuple[PendingRequest, int]) -> None:
        """An attempt still out after the aim, and lost: the request is given up.

        Guards against connections that fell silent: each would hold a place of its customer's in-flight cap
        until the client's time is up. Harm: an answer that would have come late is not waited for.
        """
        flight, number = which
        if number in flight.out and not flight.streaming and self._lost(flight, flight.out[number][1]):
            self._answer(flight)

    def _mean(self, flight: PendingRequest) -> float:
        """The mean latency of requests of this class and size, or what is taken for it at first."""
        return self.latency[flight.kind.name].get(
            flight.size, (FIRST_LATENCY * flight.kind.latency_objective_ms, 0)
        )[0]

    def _extra(self, flight: PendingRequest) -> float:
        """How much longer a request of this size takes than the smallest of its class, by its work.

        Guards against taking size for slowness: where units tell of work, one of four units takes half of
        the aim at an idle server. A wait at servers lengthens all sizes alike and so does not show here.
        """
        means = self.latency[flight.kind.name]
        return max(0.0, means[flight.size][0] - means[min(means)][0]) if flight.size in means else 0.0

    def _learn(self, server: EndpointState, flight: PendingRequest, latency: float) -> None:
        """Mean latency of the class and size, and relative latency of the server, from one good answer."""
        mean = self._mean(flight)
        seen = self.latency[flight.kind.name].get(flight.size, (mean, 0))[1] + 1
        mean += max(LATENCY_STEP, 1.0 / (seen + 1)) * (latency - mean)
        self.latency[flight.kind.name][flight.size] = mean, seen
        ratio = 1.0 + (server.ratio - 1.0) * self._fade(server.ratio_at)
        server.ratio = ratio + SERVER_STEP * (latency / mean - ratio)
        server.ratio_at = (self.now, self.sends)

    def _report(self, server: EndpointState, load: tuple[float, ...] | None) -> None:
        if load:
            report = dict(zip(self.settings.load_report_fields, load, strict=False))
            server.queue, server.queue_at = report.get("queue") or 0.0, (self.now, self.sends)

    # ---- Cold servers (a part of choice: who may be sent how much)

    def _warmth(self, server: EndpointState) -> float:
        """The share of its capacity that a server has at least, by the time since its start."""
        rules = self.settings.contract
        age = self.now - server.started
        if server.started <= 0 or age >= rules.warm_up_ms:
            return 1.0
        return (
            rules.initial_capacity_share
            + (1.0 - rules.initial_capacity_share) * max(0.0, age) / rules.warm_up_ms
        )

    def _in_turn(self, flight: PendingRequest) -> EndpointState | None:
        """The cold server that this request may go to, if any: its turn is drawn once for each request.

        Its part is by the capacity that is ready, within the tipping budget. Guards against pushing a cold
        server over: of all requests at all gateways it is open to its part at most, however good it looks,
        however often a request asks again, whatever the number of gateways. Each has a place of its own by
        its capacity, of which its turns fill the front: where places ended with the turns, they moved as
        servers warmed up, and requests that waited or were sent again came in the turn of the next one.
        Harm: where most are cold at once, requests wait or are refused though the multiple would allow more.
        """
        capacity, start = sum(self._warmth(server) for server in self.ready), 0.0
        part = min(1.0, COLD_SAFETY * self.settings.contract.overload_factor * capacity / len(self.ready))
        for server in self.cold:
            warmth = self._warmth(server)
            if server.ready and warmth < 1.0:
                place = warmth / capacity
                if 0.0 <= flight.turn - start < part * place:
                    return server
                start += place
        return None

    # ---- Attempts

    def _send(self, flight: PendingRequest, server: EndpointState, free: bool = False) -> None:
        request, number = flight.request, flight.sends
        if number == 0:
            self._draw_ceiling(flight)
            self.retries = min(RETRY_STORE, self.retries + RETRY_SHARE)
        elif not free:
            self.retries -= 1.0
        flight.sends += 1
        flight.tried.add(server.id)
        flight.out[number] = (server, self.now)
        flight.customer.out += 1
        self._tell(flight)
        server.out.add((request.request_id, number))
        self.sends += 1
        self.young.add((request.request_id, number))
        self.actions.append(StartAttempt(request.request_id, server.id))
        self._arm(
            SLOW * flight.kind.latency_objective_ms + self._extra(flight),
            self._on_slow,
            (flight, number),
            flight,
        )

    def _may_resend(self, flight: PendingRequest, unmet: bool = False) -> bool:
        """Whether another attempt is left, and the budget holds it.

        One after an attempt that found no server is free: nobody has had any work of it. Guards against a
        gateway that starts with an old list and gives up requests once its budget went on servers that are
        gone, though others stand ready.
        """
        return flight.sends < self.settings.limits.max_attempts and (unmet or self.retries >= 1.0)

    def _on_outcome(self, event: Outcome) -> None:
        flight = self.flights.get(event.request_id)
        if flight is None or event.attempt not in flight.out:
            return
        server, sent = flight.out.pop(event.attempt)
        server.out.discard((event.request_id, event.attempt))
        self.young.discard((event.request_id, event.attempt))
        flight.customer.out -= 1
        self._tell(flight)
        if event.status not in (AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT):
            flight.reached = True
        self._judge(flight, server, event.status)
        self._press(server, flight, event)
        self._report(server, event.load)
        if event.usage_percent is not None:
            self._open_up(flight.customer, flight.plan, event.usage_percent / 100.0)
            flight.customer.used, flight.customer.used_at = event.usage_percent / 100.0, self.now
            if event.usage_percent > 100.0:
                self._scarce(flight.customer, SCARCE_PERIODS)
        if event.status is AttemptStatus.OK:
            self._learn(server, flight, event.latency_ms)
            if event.final_units is not None and not flight.closed:
                self._settle(flight, event.final_units)
        if event.closed or event.status is AttemptStatus.OK:
            flight.closed = True
        if not flight.closed:
            self._again(flight, event.status, (server, sent))
        self._drop_if_done(flight)
        self._retry_parked()

    def _again(
        self, flight: PendingRequest, status: AttemptStatus, attempt: tuple[EndpointState, float]
    ) -> None:
        """After a failed attempt: another one where class, budget and time allow it, else the answer.

        Servers turn away a request that is over, and one whose first answer came but could not be read may
        be: turned away after an error, it is given up. Guards against spending all attempts on it. Harm:
        where servers err and others are full by chance, a third would have served it.
        """
        over = status is AttemptStatus.OVERLOADED and flight.erred
        flight.erred = flight.erred or status is AttemptStatus.ERROR
        if (
            status not in (AttemptStatus.OVERLOADED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)
            and flight.maybe_ran is None
        ):
            flight.maybe_ran = attempt
        if flight.out or flight.streaming:
            return
        if over:
            self._answer(flight)
            return
        unmet = status is AttemptStatus.CONNECT_FAILED
        if (
            status is not AttemptStatus.NOT_SENT
            and self.now < flight.deadline
            and self._may_resend(flight, unmet)
        ):
            server = self._choose(flight)
            if server:
                self._send(flight, server, unmet)
                return
        self._answer(flight)

    def _answer(self, flight: PendingRequest) -> None:
        """The final answer: a refusal where a retry is proven harmless, else a failure."""
        if flight.closed:
            return
        flight.closed = True
        request_id = flight.request.request_id
        unproven = flight.maybe_ran is not None or bool(flight.out)
        keyed_all = (
            flight.kind.idempotency is Idempotency.KEYED
            and flight.kind.idempotency_scope is IdempotencyScope.ALL
        )
        if flight.kind.idempotency is Idempotency.IDEMPOTENT or keyed_all or not unproven:
            self.actions.append(Reject(request_id))
        else:
            self.actions.append(Fail(request_id))
        self._withdraw(flight)
        self._drop_if_done(flight)

    def _withdraw(self, flight: PendingRequest) -> None:
        if self.settings.limits.can_cancel:
            self.actions.extend(CancelAttempt(flight.request.request_id, number) for number in flight.out)

    def _refund(self, flight: PendingRequest) -> None:
        """A request of which no server has had an attempt leaves no excess: it took nothing of the quota.

        Guards against holds of clients that left, and against servers that can't be connected to, which would
        use up their customers' quotas.
        """
        if not flight.reached:
            self._settle(flight, 0.0)

    def _drop_if_done(self, flight: PendingRequest) -> None:
        if flight.closed:
            self.parked.pop(flight.request.request_id, None)
            if not flight.out and flight.request.request_id in self.flights:
                del self.flights[flight.request.request_id]
                self._refund(flight)
                for token in flight.timers:  # guards against keeping it until the last of them is due
                    self.timers.pop(token, None)
                flight.timers.clear()

    def _on_gone(self, event: ClientDisconnected) -> None:
        flight = self.flights.get(event.request_id)
        if flight and not flight.closed:
            flight.closed = True
            self._withdraw(flight)
            self._drop_if_done(flight)

    def _on_stream(self, event: StreamStarted) -> None:
        """The client gets this attempt's answer: the others are not waited for."""
        flight = self.flights.get(event.request_id)
        if flight:
            flight.streaming = True
            if self.settings.limits.can_cancel:
                self.actions.extend(
                    CancelAttempt(flight.request.request_id, number)
                    for number in flight.out
                    if number != event.attempt
                )

    def _on_probe(self, event: HealthCheckResult) -> None:
        server = self.servers.get(event.server)
        if server:
            self._report(server, event.load)

    # ---- Discovery

    def _on_list(self, event: EndpointUpdate) -> None:
        if self.settings.discovery is DiscoveryMode.ASK:
            self._ask(event.kind)
        if event.kind is UpdateKind.FAILED:
            return
        if event.kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED):
            listed = {entry.server for entry in event.endpoints}
            self._remove(id for id in list(self.servers) if id not in listed)
        for entry in event.endpoints:
            self._take_entry(entry)
        self.listed = event.listed or len(self.servers)
        self._sort_servers()
        if event.kind is UpdateKind.CACHED or not self.pool:  # the list known at the start may be empty
            self.pool = FIRST_LIMIT * self.listed / self.settings.gateways
        self._retry_parked()

    def _sort_servers(self) -> None:
        """Which of the servers that are ready are worked with: all, or in a large fleet the subset of them.

        One more for each of the subset that is in doubt, see _stand_in.
        """
        size, self.reserve = self.subset.size(self.listed), []
        if len(self.servers) <= size:
            self.ready = [server for server in self.servers.values() if server.ready]
        else:
            if not self.nearest:
                self.nearest = sorted(self.servers.values(), key=lambda server: server.distance)
            ready = [server for server in self.nearest if server.ready]
            self.ready, self.reserve = ready[:size], ready[: size - 1 : -1]
            self.stood_in = {
                server.id
                for server in self.ready
                if server.id in self.stood_in
                and any(self._share_failed(server, key) >= DOUBTED for key in server.marks)
            }
            for _ in range(min(len(self.stood_in), len(self.reserve))):
                self.ready.append(self.reserve.pop())
        self.cold = [server for server in self.ready if server.started > 0 and self._warmth(server) < 1.0]

    def _stand_in(self, server: EndpointState) -> None:
        """One of the reserve works for a server that fails half of what it is sent, or is full.

        Guards against a gateway whose part of the servers is down as a whole, unknown to discovery, while
        others serve. It takes part until the first list after those in doubt have recovered.
        """
        if self.reserve and server.id not in self.stood_in:
            self.stood_in.add(server.id)
            self.ready.append(self.reserve.pop())
            if self._warmth(self.ready[-1]) < 1.0:
                self.cold.append(self.ready[-1])

    def _ask(self, kind: UpdateKind) -> None:
        """Subscribe at the start and after a failure; ask again well within the time the rules give."""
        if kind in (UpdateKind.CACHED, UpdateKind.FAILED):
            again = self.settings.contract.poll_deadline_ms * ASK_SHARE
            delay = 0.0 if kind is UpdateKind.CACHED else again
            self._arm(delay, lambda _: self.actions.append(Subscribe(True)), None)

    def _take_entry(self, entry: Endpoint) -> None:
        server = self.servers.get(entry.server)
        if entry.state is EndpointLifecycle.GONE:
            self._remove([entry.server])
            return
        if server is None:
            distance = self.subset.distance(entry.name or str(entry.server))
            server = self.servers[entry.server] = EndpointState(entry, distance)
            self.nearest = []
        elif entry.started_ms > server.started:
            server.reset()
        server.update(entry)
        self._hold_out(server)

    def _remove(self, ids: Iterable[int]) -> None:
        for server_id in list(ids):
            server = self.servers.pop(server_id, None)
            if server:
                server.ready = False
                self.nearest = []

    # ---- Operators

    def _hold_out(self, server: EndpointState) -> None:
        """Bring what a list says of a server in line with what operators said of it.

        Guards against discovery, which knows nothing of them: it lists a server that was taken out as
        ready, and tells of its new start after it was let in again, or never.
        """
        if server.id in self.detached:
            server.ready = False
        elif server.id in self.attached:
            out, until = self.attached[server.id]
            if server.started <= out:  # no list has told of the start while it was out
                server.started = until
            if self.now - until >= self.settings.contract.warm_up_ms:
                del self.attached[server.id]

    def _on_detach(self, event: DetachServer) -> None:
        """Nothing more to this server; what is out there already may end. A second call changes nothing."""
        if event.server not in self.detached:
            self.detached[event.server] = self.now
            self._log(f"server {event.server} is taken out by operators")
        self.attached.pop(event.server, None)
        server = self.servers.get(event.server)
        if server:
            server.ready = False
        self._sort_servers()
        self.actions.append(SetServerDetached(event.server, True))

    def _on_attach(self, event: AttachServer) -> None:
        """The server may serve again, as one that has just started: it was, while it was out."""
        out = self.detached.pop(event.server, None)
        self.actions.append(SetServerDetached(event.server, False))
        if out is None:
            return
        self._log(f"server {event.server} is let in again by operators, cold")
        self.attached[event.server] = out, self.now
        server = self.servers.get(event.server)
        if server:
            server.reset()
            server.ready = server.listed
            self._hold_out(server)
        self._sort_servers()
        self._retry_parked()

    # ---- Another process of this gateway, while a new version takes over

    def _tell(self, flight: PendingRequest, change: float = 0.0) -> None:
        """Tell the other process what is out for a customer from here: caps hold over both."""
        if self.has_peer_process:
            request = flight.request
            news = PeerProcessUsage(request.plan, request.customer, flight.customer.out, change)
            self.actions.append(NotifyPeerProcess(news))

    def _on_bequeath(self, _: ExportState) -> None:
        """All that the process that takes over has to know, so that both together keep every rule."""
        self.has_peer_process = True
        customers = [
            [*key, customer.any_out(), *(getattr(customer, name) for name in INHERITED)]
            for key, customer in self.customers.items()
        ]
        servers = [[s.id, s.started, s.ratio, list(s.ratio_at), s.marks] for s in self.servers.values()]
        self.actions.append(
            StateSnapshot(
                {
                    "customers": customers,
                    "servers": servers,
                    "marks": self.marks,
                    "sends": self.sends,
                    "open": self.open,
                    "pool": self.pool,
                    "retries": self.retries,
                    "started_at": self.started_at,
                    "barred": list(self.detached.items()),
                    "attached": [[number, *times] for number, times in self.attached.items()],
                    "latency": {
                        name: [[size, *seen] for size, seen in means.items()]
                        for name, means in self.latency.items()
                    },
                }
            )
        )

    def _on_inherit(self, event: RestoreState) -> None:
        """Take over what the process before has left; all of it, or nothing if any of it is malformed."""
        state = event.state
        try:
            customers = {
                (row[0], row[1]): self._heir(row) for row in state["customers"] if row[0] in self.plans
            }
            servers = {
                row[0]: (number_in(row[1]), number_in(row[2]), moment_in(row[3]), marks_in(row[4]))
                for row in state["servers"]
            }
            marks, sends = marks_in(state["marks"]), int(state["sends"])
            pool, retries = max(LEAST_POOL, number_in(state["pool"])), number_in(state["retries"])
            started_at = number_in(state["started_at"])
            parts = {
                name: min(1.0, max(LEAST_OPEN, number_in(part)))  # a version before this leaves none
                for name, part in state.get("open", {}).items()
                if name in self.plans
            }
            detached = {int(number): number_in(since) for number, since in state["barred"]}
            attached = {int(row[0]): (number_in(row[1]), number_in(row[2])) for row in state["attached"]}
            latency = {
                name: {int(size): (number_in(mean), int(seen)) for size, mean, seen in state["latency"][name]}
                for name in self.latency
                if name in state["latency"]
            }
        except (KeyError, IndexError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"what was left is malformed: {error!r}") from error
        self.has_peer_process = True
        self.customers, self.marks, self.sends = customers, marks, sends
        self.pool, self.retries = pool, min(RETRY_STORE, retries)
        self.started_at = min(self.started_at, started_at)
        self.attached.update(attached)
        self.open.update(parts)
        self.latency.update(latency)
        for number, server in self.servers.items():
            if number in servers:
                started, server.ratio, server.ratio_at, server.marks = servers[number]
                server.started = max(server.started, started)
        for number, since in detached.items():
            self._on_detach(DetachServer(number))
            self.detached[number] = since
        self._sort_servers()
        self._log(
            f"took over from the process before: {len(customers)} customers, {len(detached)} servers out"
        )

    def _heir(self, row: list[Any]) -> CustomerState:
        customer = CustomerState(self.now, 0.0)
        customer.elsewhere = max(0, int(row[2]))
        for name, value in zip(INHERITED, row[3:], strict=True):
            setattr(customer, name, number_in(value))
        customer.gateway_set_size = min(max(1, int(customer.gateway_set_size)), self.settings.gateways)
        for name in ("touched", "asked_at", "ceiling_at", "used_at"):
            setattr(customer, name, min(self.now, getattr(customer, name)))  # the clocks may differ a little
        return customer

    def _on_elsewhere(self, event: PeerProcessUsage) -> None:
        customer = self.customers.get((event.plan, event.customer))
        if customer:
            customer.elsewhere = event.in_flight
            customer.excess = max(0.0, customer.excess + event.excess_change)
            self._retry_parked()

    def _on_alone(self, _: PeerProcessExited) -> None:
        """The other process has ended: nothing is out from there any more."""
        self.has_peer_process = False
        for customer in self.customers.values():
            customer.elsewhere = 0
        self._retry_parked()

    # ---- Dispatch

    def _on_request(self, event: Request) -> None:
        kind, plan = self.classes.get(event.class_name), self.plans.get(event.plan)
        if event.request_id in self.flights:
            return  # it is in hand already, and may have run: a refusal here would be its answer
        if kind is None or plan is None:
            self._log_once(f"refused: unknown class {event.class_name!r} or plan {event.plan!r}")
            self.actions.append(Reject(event.request_id))
            return
        customer = self._customer(event, plan)
        if event.is_retry and self._thin(customer, plan):
            self.actions.append(Reject(event.request_id))
            return
        if self._unheard_of(customer, plan) and self.random.random() >= self.open[plan.name]:
            self.actions.append(Reject(event.request_id))
            return
        flight = PendingRequest(event, kind, plan, customer, self.now, self.random.random())
        before = customer.excess, customer.touched
        hold = self._meter(customer, plan, kind, event.units)
        if hold and hold >= min(event.timeout_ms, self._useful(flight)):
            customer.excess, customer.touched = before
            self.actions.append(Reject(event.request_id, self._advice(flight)))
            return
        flight.crowd = self._crowded(customer, plan)
        if customer.any_out():
            self._scarce(customer, CROWD_PERIODS)
        self.flights[event.request_id] = flight
        self._limit(flight)
        if hold > 0.0:
            flight.waiting = True
            self._arm(hold, self._end_hold, flight, flight)
        else:
            self._release(flight)

    def _end_hold(self, flight: PendingRequest) -> None:
        flight.waiting = False
        if not flight.closed and flight.sends == 0:
            self._release(flight)

    def _release(self, flight: PendingRequest) -> None:
        """First send: within the in-flight cap and the ceiling, to a server; else parked until it may go."""
        request_id = flight.request.request_id
        wait, turn = self._ceiling_wait(flight), self._turn_wait(flight)
        if wait >= flight.deadline - self.now or turn > max(0.0, self._last_start(flight) - self.now):
            self._answer(flight)
            return
        wait = max(wait, turn)
        capped = flight.customer.any_out() >= self._in_flight_cap(flight)
        server = None if wait or capped else self._choose(flight)
        if server:
            self.parked.pop(request_id, None)
            self._send(flight, server)
            return
        self._park(flight, wait)

    def _last_start(self, flight: PendingRequest) -> float:
        """When an attempt has to go for an answer within the aim."""
        return flight.arrived + flight.kind.latency_objective_ms - self._mean(flight)

    def _park(self, flight: PendingRequest, wait: float) -> None:
        """Hold what can't go now; the least worth for its work is refused when more wait than go at once.

        Guards against queues here that outlast the aim. Harm: a short burst over few servers is
        refused though it would have been served in time.
        """
        if flight.request.request_id not in self.parked:
            self._arm(max(0.0, self._last_start(flight) - self.now), self._end_park, flight, flight)
        self.parked[flight.request.request_id] = flight
        if self.servers and len(self.parked) > max(1.0, self.pool):
            self._answer(min(self.parked.values(), key=self._value))
        if wait and not flight.closed:
            self._arm(wait + self.settings.tick_ms, self._end_hold, flight, flight)

    def _value(self, flight: PendingRequest) -> float:
        """Worth for the work: what is refused last and released first."""
        return flight.kind.priority_weight * flight.plan.weight * flight.request.units / self._mean(flight)

    def _end_park(self, flight: PendingRequest) -> None:
        if flight.sends == 0 and any(server.ready for server in self.servers.values()):
            self._answer(flight)

    def _retry_parked(self) -> None:
        for flight in sorted(self.parked.values(), key=self._value, reverse=True):
            if not flight.closed:
                self._release(flight)

    def _limit(self, flight: PendingRequest) -> None:
        """Arm the final answer: before the client's deadline, and before this gateway is ended."""
        flight.deadline = min(flight.deadline, self.ends_at)
        last = flight.deadline - self.now - ANSWER_TICKS * self.settings.tick_ms
        self._arm(max(0.0, last), self._on_deadline, flight, flight)

    def _on_stopping(self, event: ShutdownStarted) -> None:
        """Guards against losing requests whose clients would wait longer than this gateway will live."""
        self.ends_at = self.now + event.within_ms
        for flight in list(self.flights.values()):
            if not flight.closed and flight.deadline > self.ends_at:
                self._limit(flight)

    def _on_deadline(self, flight: PendingRequest) -> None:
        if not flight.streaming:
            self._answer(flight)

    def _on_timer(self, event: TimerFired) -> None:
        call = self.timers.pop(event.token, None)
        if call:
            call[0](call[1])

    def _arm(
        self,
        delay: float,
        call: Callable[[Any], None],
        argument: Any,
        flight: PendingRequest | None = None,
    ) -> None:
        self.tokens += 1
        self.timers[self.tokens] = (call, argument)
        if flight:
            flight.timers.append(self.tokens)
        self.actions.append(SetTimer(self.tokens, delay))

    def _log(self, text: str) -> None:
        self.actions.append(LogMessage(text))

    def _log_once(self, text: str) -> None:
        if text not in self.logged and len(self.logged) < 100:
            self.logged.add(text)
            self._log(text)
