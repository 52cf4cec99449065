"""The records of a soak run, indexed for the rule checks."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from soak.records import BegunReply, CommandRecord, CompleteReply, RequestRecord, SoakRecords


class RecordIndex:
    """The records of a soak run, with the attempts of each request.

    Attributes:
        records: All records of the run.
        commands_by_request: The attempts by request id, in the order in which servers received them.
    """

    def __init__(self, records: SoakRecords) -> None:
        self.records = records
        self.commands_by_request: dict[str, list[CommandRecord]] = defaultdict(list)
        self._complete_replies = {reply.request_id: reply for reply in records.complete_replies}
        self._begun_replies = {reply.request_id: reply for reply in records.begun_replies}
        self._requests = {request.request_id: request for request in records.requests}
        for command in sorted(records.commands, key=lambda command: command.received_s):
            self.commands_by_request[command.request_id].append(command)

    def request(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request; None if no client recorded it."""
        return self._requests.get(request_id)

    def complete_reply(self, request_id: str) -> CompleteReply | None:
        """Return the long value that a server has written whole for a request; None if there is none."""
        return self._complete_replies.get(request_id)

    def begun_reply(self, request_id: str) -> BegunReply | None:
        """Return the long value that a server has begun for a request; None if there is none."""
        return self._begun_replies.get(request_id)

    def attempts(self) -> Iterator[tuple[RequestRecord, CommandRecord]]:
        """Yield each attempt with its request."""
        for request_id, commands in self.commands_by_request.items():
            request = self.request(request_id)
            if request:
                yield from ((request, command) for command in commands)

    def gateway_of(self, command: CommandRecord) -> int | None:
        """Return the index of the gateway that sent an attempt; None if no client recorded its request."""
        request = self.request(command.request_id)
        return request.gateway if request else None

    def received_by(self, server: str, start_s: float, end_s: float) -> Iterator[CommandRecord]:
        """Yield the attempts whose earliest time of receipt at a server lies between two times."""
        for command in self.records.commands:
            if command.server == server and start_s < command.earliest_received_s < end_s:
                yield command
