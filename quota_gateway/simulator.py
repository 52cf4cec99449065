"""The simulator's protocol on standard input and output. This module makes no policy decisions.

One process hosts many gateways, which share only the table of numbered endpoint lists that the simulator
declares for the whole process. The names of the protocol are translated only in this module.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from quota_gateway import model
from quota_gateway.errors import ProtocolError
from quota_gateway.policy.engine import PolicyEngine
from quota_gateway.settings_format import settings_from_document

Fields = dict[str, Any]  # the fields of one message by their names in the protocol
EventReader = Callable[[Fields], model.Event]
# An action writer returns the name of the message and its fields.
ActionWriter = Callable[[Any], tuple[str, Fields]]

STATUS_CODES = {
    200: model.AttemptStatus.OK,
    500: model.AttemptStatus.ERROR,
    503: model.AttemptStatus.OVERLOADED,
    504: model.AttemptStatus.TIMEOUT,
    502: model.AttemptStatus.CONNECT_FAILED,
    598: model.AttemptStatus.RESET,
    499: model.AttemptStatus.CANCELLED,
    410: model.AttemptStatus.NOT_SENT,
}
LIFECYCLES = {
    "U": model.EndpointLifecycle.READY,
    "L": model.EndpointLifecycle.DRAINING,
    "D": model.EndpointLifecycle.GONE,
}
UPDATE_KINDS = {
    "Partial": model.UpdateKind.DELTA,
    "Complete": model.UpdateKind.SNAPSHOT,
    "Persisted": model.UpdateKind.CACHED,
    "Error": model.UpdateKind.FAILED,
}
EXIT_OK = 0
EXIT_MALFORMED_INPUT = 1


def _endpoint(row: Fields) -> model.Endpoint:
    return model.Endpoint(
        server=row["server"],
        zone=row["locality"],
        kind=row["generation_hw"],
        cell=row["cluster"],
        state=LIFECYCLES[row["phase"]],
        size=row["size"],
        started_ms=row["since_ms"] or 0.0,
    )


def _load_report(row: list[float] | None) -> tuple[float, ...] | None:
    return tuple(row) if row else None


def _request(fields: Fields) -> model.Request:
    return model.Request(
        request_id=fields["op_id"],
        class_name=fields["priority"],
        plan=fields["plan"],
        customer=fields["member"],
        timeout_ms=fields["patience_left_ms"],
        units=fields["units"],
        gateway_set_size=fields["width"],
        first_gateway=fields["base"],
        is_retry=bool(fields["retry"]),
        is_write=bool(fields["update"]),
    )


def _outcome(fields: Fields) -> model.Outcome:
    # The field is the usage percentage plus one, so that 0 stands for no usage report.
    metered = fields["metered"]
    return model.Outcome(
        request_id=fields["op_id"],
        attempt=fields["seq_no"],
        server=fields["server"],
        status=STATUS_CODES[fields["code"]],
        latency_ms=fields["delay_seen_ms"],
        closed=bool(fields["final"]),
        usage_percent=metered - 1 if metered else None,
        final_units=fields["final_units"] or None,
        load=_load_report(fields["gauge"]),
    )


def _timer_fired(fields: Fields) -> model.TimerFired:
    return model.TimerFired(fields["mark"])


def _client_disconnected(fields: Fields) -> model.ClientDisconnected:
    return model.ClientDisconnected(fields["op_id"])


def _stream_started(fields: Fields) -> model.StreamStarted:
    return model.StreamStarted(fields["op_id"], fields["seq_no"], fields["server"], fields["delay_seen_ms"])


def _health_check_result(fields: Fields) -> model.HealthCheckResult:
    return model.HealthCheckResult(
        fields["server"],
        STATUS_CODES[fields["code"]],
        fields["delay_seen_ms"],
        _load_report(fields["gauge"]),
    )


def _peer_message(fields: Fields) -> model.PeerMessage:
    return model.PeerMessage(fields["origin_peer"], bytes.fromhex(fields["body"]))


def _counter_reply(fields: Fields) -> model.CounterReply:
    return model.CounterReply(
        fields["counter_key"],
        STATUS_CODES[fields["code"]],
        fields["reading"] or 0.0,
        fields["delay_seen_ms"],
    )


EVENT_READERS: dict[str, EventReader] = {
    "Knock": _request,
    "Outcome": _outcome,
    "Alarm": _timer_fired,
    "Vanished": _client_disconnected,
    "Flowing": _stream_started,
    "Sampled": _health_check_result,
    "Memo": _peer_message,
    "Reckoned": _counter_reply,
}

ACTION_WRITERS: dict[type, ActionWriter] = {
    model.StartAttempt: lambda action: (
        "Try",
        {"op_id": action.request_id, "server": action.server, "within_ms": action.timeout_ms},
    ),
    model.Reject: lambda action: (
        "OverloadReply",
        {"op_id": action.request_id, "stay_away_ms": action.retry_after_ms},
    ),
    model.Fail: lambda action: ("RespondError", {"op_id": action.request_id}),
    model.CancelAttempt: lambda action: (
        "AbortAttempt",
        {"op_id": action.request_id, "seq_no": action.attempt},
    ),
    model.SetTimer: lambda action: ("Schedule", {"after_ms": action.delay_ms, "mark": action.token}),
    model.LogMessage: lambda action: ("Debug", {"what": action.text}),
    model.Subscribe: lambda action: ("Follow", {"active": action.active}),
    model.PollEndpoints: lambda action: ("Fetch", {}),  # noqa: ARG005 - all writers take an action
    model.HealthCheck: lambda action: ("Touch", {"server": action.server}),
    model.CloseIdle: lambda action: ("DropConns", {"server": action.server}),
    model.SendPeerMessage: lambda action: ("Share", {"dst": action.peer, "body": action.data.hex()}),
    model.IncrementCounter: lambda action: (
        "Add",
        {"counter_key": action.name, "add": action.amount, "expire_in_ms": action.lifetime_ms},
    ),
}


class SimulatorSession:
    """The gateways of one process and the endpoint lists that the simulator has declared to it.

    Attributes:
        replies: Lines to be written once the batch is complete.
    """

    def __init__(self) -> None:
        self.replies: list[str] = []
        self._now_ms = 0.0
        self._turn: Any = None  # the turn of the current batch, sent back in its Ack
        self._engines: dict[str, PolicyEngine] = {}
        self._endpoint_lists: dict[int, tuple[model.Endpoint, ...]] = {}

    def receive(self, name: str, fields: Fields) -> bool:
        """Handle one message.

        Returns:
            Whether the batch is complete and ``replies`` are to be written.
        """
        if name == "Batch":
            self._now_ms = float(fields["t_ms"])
            self._turn = fields["turn"]
        elif name == "Commit":
            self._reply("Ack", {"turn": self._turn})
            return True
        elif name == "Roster":
            self._endpoint_lists[fields["ref"]] = tuple(_endpoint(row) for row in fields["members_list"])
        else:
            self._receive_for_instance(name, fields)
        return False

    def _receive_for_instance(self, name: str, fields: Fields) -> None:
        instance = fields["i"]
        if name == "OpenInstance":
            self._open_instance(instance, fields)
        elif name == "Destroy":
            self._engines.pop(instance, None)
        elif name == "Discovery":
            self._deliver(instance, self._endpoint_update(fields))
        elif name in EVENT_READERS:
            self._deliver(instance, EVENT_READERS[name](fields))
        else:
            raise ProtocolError(f"unknown event {name!r}")

    def _open_instance(self, instance: str, fields: Fields) -> None:
        env = fields["env"]
        settings = settings_from_document(json.loads(env) if isinstance(env, str) else env, "env")
        self._engines[instance] = PolicyEngine(settings, fields["rng_seed"])

    def _endpoint_update(self, fields: Fields) -> model.EndpointUpdate:
        kind = UPDATE_KINDS[fields["scope"]]
        endpoints = () if kind is model.UpdateKind.FAILED else self._endpoint_lists[fields["ref"]]
        return model.EndpointUpdate(kind, endpoints, fields["epoch"] or 0)

    def _deliver(self, instance: str, event: model.Event) -> None:
        engine = self._engines.get(instance)
        if engine is None:
            raise ProtocolError(f"event for instance {instance!r}, which is not open")
        try:
            actions = engine.handle(self._now_ms, event)
        except Exception as error:  # the protocol requires a report of any engine error
            self._reply("BailOut", {"i": instance, "what": f"{type(error).__name__}: {error}"})
            return
        for action in actions:
            name, fields = ACTION_WRITERS[type(action)](action)
            self._reply(name, {"i": instance, **fields})

    def _reply(self, name: str, fields: Fields) -> None:
        self.replies.append(json.dumps({name: fields}, separators=(",", ":")))


def _parse_message(line: str) -> tuple[str, Fields]:
    try:
        message = json.loads(line)
    except ValueError as error:
        raise ProtocolError(f"not JSON: {error}") from None
    if not isinstance(message, dict) or len(message) != 1:
        raise ProtocolError("a message is an object with a single key")
    ((name, fields),) = message.items()
    if not isinstance(fields, dict):
        raise ProtocolError(f"{name}: its fields are not an object")
    return name, fields


def _receive_line(session: SimulatorSession, line: str) -> bool:
    """Pass one line to the session; raise a ProtocolError that names the message if it is malformed."""
    name, fields = _parse_message(line)
    try:
        return session.receive(name, fields)
    except ProtocolError:
        raise
    except KeyError as error:
        raise ProtocolError(f"{name}: missing field or unknown value {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ProtocolError(f"{name}: {error}") from None


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends.

    Raises:
        ProtocolError: A line does not follow the protocol.
    """
    session = SimulatorSession()
    for line in source:
        if line.strip() and _receive_line(session, line):
            sink.write("\n".join(session.replies) + "\n")
            sink.flush()
            session.replies.clear()


def main() -> int:
    """Serve the simulator.

    Returns:
        0 at the end of input, 1 if the input is malformed; a message on standard error then says why.
    """
    try:
        serve(sys.stdin, sys.stdout)
    except ProtocolError as error:
        print(f"quota_gateway simulator: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
