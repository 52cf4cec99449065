"""Judges what a soak has recorded by the invariants of docs/invariants.md."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from math import sqrt

from soak.clients import JUNK
from soak.play import MEAN_SERVICE_S, SERVER_CAPACITY
from soak.records import CommandRecord, Interval, RequestRecord, SoakRecords, Violation
from soak.settings import (
    DRAIN_GRACE_S,
    INITIAL_CAPACITY_SHARE,
    KEYED_WINDOW_S,
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW_S,
    WARM_UP_S,
)

TIMING_SLACK_S = 0.03  # of the soak's own processes, beside the lag that they have noticed
DEADLINE_SLACK_S = 0.15  # by which a server may be told more than is left
CLIENT_GONE_S = 0.1  # after a client's end, when no attempt may begin any more
IDLE_CLOSE_S = 1.9  # from when on a gateway may close a connection on which nothing is owed
LAST_ACCEPT_S = 0.4  # after SIGTERM, until when new connections come
NOTIFIED_S = 1.0  # after a change, where nothing kept it from the gateway
NOTIFIED_LATEST_S = 6.0  # after a change could be reached, whatever else
DETACHED_SLACK_S = 0.08  # of what was on its way when the call was answered
SMALL_BUDGET = 30
DISCOVERY_KINDS = frozenset(("silent", "refuse", "drop_watches", "reload"))
OUTAGE_KINDS = frozenset(("silent", "refuse", "tcp_calls"))  # in which discovery may not be reached
GATEWAY_KINDS = frozenset(("tcp_calls", "file_calls", "pause"))
NEGLIGIBLE_LAG_S = 60.0  # a lag above this says that a server did not read


class Oracle:
    """All checks over the records of one play."""

    def __init__(self, records: SoakRecords) -> None:
        self._records = records
        self._requests = {request.request_id: request for request in records.requests}
        self._commands: dict[str, list[CommandRecord]] = defaultdict(list)
        for command in sorted(records.commands, key=lambda item: item.received_s):
            self._commands[command.request_id].append(command)
        self._outages = [item for item in records.troubles if item.kind in ("crash", "new dies", "old dies")]
        self._stops = [item for item in records.troubles if item.kind == "stop"]

    def violations(self) -> list[Violation]:
        """Everything that was broken."""
        checks = (
            self._answered,
            self._deadline,
            self._client_gone,
            self._repeat,
            self._reject,
            self._value,
            self._drain,
            self._detached,
            self._slow_start,
            self._process,
        )
        found = [violation for check in checks for violation in check()]
        return [*found, *self._records.starts]

    # ---- Requests

    def _answered(self) -> Iterator[Violation]:
        for request in self._records.requests:
            what = self._lost(request)
            if what and not self._is_excused(request):
                where = f"n{request.gateway} {request.behaviour} first={request.is_first}"
                attempts = len(self._commands[request.request_id])
                detail = f"{what} {where} sent={request.sent_s:.3f} attempts={attempts}"
                yield Violation("answered", request.request_id, detail)

    def _lost(self, request: RequestRecord) -> str:
        """How a request was lost; empty where it was not."""
        if request.class_name == JUNK:
            return "peer got neither an error nor a close" if request.end == "silent" else ""
        if request.end == "answered":
            late_s = request.ended_s - request.lag_s - request.due_s
            return f"answered {late_s:.3f} s late" if late_s > TIMING_SLACK_S else ""
        return f"{request.class_name} {request.end}" if request.end in ("closed", "silent") else ""

    def _is_excused(self, request: RequestRecord) -> bool:
        """Whether a crash took it, or it crossed a close between requests and was never read."""
        ended_s = request.ended_s or request.due_s
        if any(
            outage.target == str(request.gateway) and _overlap(outage, request.connected_s, ended_s)
            for outage in self._outages
        ):
            return True
        if request.end != "closed" or self._commands[request.request_id]:
            return False
        stop = self._stop_during(request)
        if request.is_first:
            return stop is not None and request.sent_s > stop.start_s + LAST_ACCEPT_S
        return request.rested_s > IDLE_CLOSE_S or stop is not None

    def _stop_during(self, request: RequestRecord) -> Interval | None:
        for stop in self._stops:
            if stop.target == str(request.gateway) and _overlap(stop, request.sent_s, request.ended_s):
                return stop
        return None

    def _deadline(self) -> Iterator[Violation]:
        for request, command in self._exchanges():
            left_s = request.timeout_s - (command.received_s - command.lag_s - request.sent_s)
            excess_s = command.told_s - left_s
            if command.lag_s < NEGLIGIBLE_LAG_S and excess_s > DEADLINE_SLACK_S + TIMING_SLACK_S:
                yield Violation(
                    "deadline",
                    request.request_id,
                    f"{excess_s:.3f} s too much, n{request.gateway} {request.behaviour}",
                )

    def _client_gone(self) -> Iterator[Violation]:
        for request, command in self._exchanges():
            after_s = command.received_s - command.lag_s - request.ended_s
            if request.end == "left" and after_s > CLIENT_GONE_S + TIMING_SLACK_S:
                detail = f"{command.server} {after_s:.3f} s after its client, n{request.gateway}"
                yield Violation("client_gone", request.request_id, detail)

    def _repeat(self) -> Iterator[Violation]:
        for request_id, commands in self._commands.items():
            request = self._requests.get(request_id)
            runs = [command for command in commands if command.has_run]
            if request is None or len(runs) < 2:
                continue
            if request.class_name == "order":
                yield Violation("repeat", request_id, f"order ran {len(runs)} times, n{request.gateway}")
            elif request.class_name == "keyed":
                after_s = max(run.received_s - run.lag_s for run in runs) - runs[0].received_s
                if after_s > KEYED_WINDOW_S + TIMING_SLACK_S:
                    yield Violation("repeat", request_id, f"keyed repeated after {after_s:.3f} s")

    def _reject(self) -> Iterator[Violation]:
        for request, command in self._exchanges():
            if request.reply == "BUSY" and request.class_name == "order" and command.has_run:
                yield Violation("reject", request.request_id, f"it ran at {command.server}")

    def _value(self) -> Iterator[Violation]:
        for request in self._records.requests:
            if request.reply.startswith("wrong"):
                yield Violation("value", request.request_id, request.reply)

    def _exchanges(self) -> Iterator[tuple[RequestRecord, CommandRecord]]:
        for request_id, commands in self._commands.items():
            request = self._requests.get(request_id)
            if request:
                yield from ((request, command) for command in commands)

    # ---- Servers

    def _drain(self) -> Iterator[Violation]:
        changes = sorted(self._records.changes, key=lambda item: item.at_s)
        for position, change in enumerate(changes):
            if change.lifecycle == "Ready":
                continue
            returns = (
                item.at_s
                for item in changes[position + 1 :]
                if item.server == change.server and item.lifecycle == "Ready"
            )
            end_s = next(returns, float("inf"))
            for command in self._received_by(change.server, change.at_s, end_s):
                gateway = self._gateway_of(command)
                notified_s = self._notified_s(change.at_s, gateway)
                if command.received_s - command.lag_s > notified_s + DRAIN_GRACE_S + DEADLINE_SLACK_S:
                    detail = f"{change.lifecycle} {change.server} by n{gateway}"
                    yield Violation("drain", command.request_id, detail)

    def _gateway_of(self, command: CommandRecord) -> str:
        request = self._requests.get(command.request_id)
        return str(request.gateway) if request else ""

    def _notified_s(self, at_s: float, gateway: str) -> float:
        """When a change counts as told to a gateway.

        That is soon, where discovery and the gateway were well; else 6 s after discovery could be reached.
        """
        near = self._troubles_near(at_s, gateway)
        if not near:
            return at_s + NOTIFIED_S
        reachable = [item.end_s for item in near if item.kind in OUTAGE_KINDS]
        return max([at_s, *reachable]) + NOTIFIED_LATEST_S

    def _troubles_near(self, at_s: float, gateway: str) -> list[Interval]:
        """Troubles that could keep a change from a gateway."""
        return [
            item
            for item in self._records.troubles
            if _overlap(item, at_s - NOTIFIED_LATEST_S, at_s + NOTIFIED_LATEST_S)
            and (item.kind in DISCOVERY_KINDS or _is_about(item, gateway))
        ]

    def _detached(self) -> Iterator[Violation]:
        for interval in self._records.detachments:
            start_s = interval.start_s + DETACHED_SLACK_S
            for command in self._received_by(interval.kind, start_s, interval.end_s):
                if self._gateway_of(command) == interval.target:
                    detail = f"{interval.kind} by n{interval.target}"
                    yield Violation("detached", command.request_id, detail)

    def _received_by(self, server: str, start_s: float, end_s: float) -> Iterable[CommandRecord]:
        for command in self._records.commands:
            if command.server == server and start_s < command.received_s - command.lag_s < end_s:
                yield command

    def _slow_start(self) -> Iterator[Violation]:
        for start in [item for item in self._records.troubles if item.kind == "cold"]:
            end_s = start.start_s + WARM_UP_S
            commands = sorted(
                self._received_by(start.target, start.start_s, end_s), key=lambda item: item.received_s
            )
            times = [command.received_s for command in commands]
            told = [self._was_told_of_start(command, start.start_s) for command in commands]
            for position, first_s in enumerate(times):
                age_s = first_s - start.start_s
                share = INITIAL_CAPACITY_SHARE + (1.0 - INITIAL_CAPACITY_SHARE) * age_s / WARM_UP_S
                calls = OVERLOAD_FACTOR * OVERLOAD_WINDOW_S * share * SERVER_CAPACITY / MEAN_SERVICE_S
                extra = 3.0 * sqrt(calls) + 3.0 if calls < SMALL_BUDGET else 2.0 * sqrt(calls) + 2.0
                count = sum(at_s <= first_s + OVERLOAD_WINDOW_S for at_s in times[position:])
                told_count = sum(told[position : position + count])
                if count > calls + extra and 3 * told_count > 2 * count:
                    detail = (
                        f"{count} calls where {calls + extra:.0f} are allowed, {age_s:.1f} s after its start"
                    )
                    yield Violation("slow_start", start.target, detail)
                    break

    def _was_told_of_start(self, command: CommandRecord, start_s: float) -> bool:
        gateway = self._gateway_of(command)
        is_well = not self._troubles_near(start_s, gateway)
        return is_well or command.received_s >= self._notified_s(start_s, gateway)

    # ---- Processes

    def _process(self) -> Iterator[Violation]:
        for process in self._records.processes:
            if process.exit_code and not process.was_killed:
                yield Violation("process", process.name, f"exit code {process.exit_code}")
            if process.is_overdue:
                yield Violation("process", process.name, "had not ended when SIGKILL came")
            if "Traceback" in process.log:
                place = process.log.index("Traceback")
                yield Violation("process", process.name, process.log[max(0, place - 200) : place + 600])
            if process.violations:
                yield Violation("process", process.name, f"{process.violations} invariants violated")


def _is_about(trouble: Interval, gateway: str) -> bool:
    """Whether it is a trouble of this gateway that may keep a change from it; a restart is one."""
    is_its_own = trouble.target == gateway or trouble.target.endswith(f" n{gateway}")
    return is_its_own and (trouble.kind in GATEWAY_KINDS or trouble.kind in ("stop", "crash"))


def _overlap(interval: Interval, start_s: float, end_s: float) -> bool:
    return interval.start_s - TIMING_SLACK_S <= end_s and start_s <= interval.end_s + TIMING_SLACK_S
