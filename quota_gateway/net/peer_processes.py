"""The other processes of this gateway while a new version takes over, and the channels to them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quota_gateway import model as api
from quota_gateway.net.process_channel import ProcessChannel

DETACHMENT_TIMEOUT_S = 0.4  # for the other process to carry out a detachment: an operator waits 1 s


class PeerProcesses:
    """The channels to the process that served before and to the one that takes over, if there are any."""

    def __init__(self) -> None:
        self.previous: ProcessChannel | None = None
        self.next: ProcessChannel | None = None
        self.pending: dict[int, asyncio.Future[bool]] = {}
        self.last_request = 0

    def channels(self) -> list[ProcessChannel]:
        """The channels that are open."""
        return [channel for channel in (self.previous, self.next) if channel]

    def notify_usage(self, usage: api.PeerProcessUsage) -> None:
        """Tell the other process what is in flight for a customer from here."""
        for channel in self.channels():
            channel.send(
                {
                    "kind": "out",
                    "plan": usage.plan,
                    "customer": usage.customer,
                    "out": usage.in_flight,
                    "change": usage.excess_change,
                }
            )

    async def set_detached(self, name: str, detached: bool, known: bool) -> bool:
        """Have the other process, if there is one, detach or attach a server; whether it knows the server."""
        answers = []
        for channel in self.channels():
            self.last_request += 1
            answer = self.pending[self.last_request] = asyncio.get_running_loop().create_future()
            answers.append(answer)
            channel.send(
                {"kind": "ban", "id": name, "out": detached, "known": known, "number": self.last_request}
            )
        if answers:
            done, _ = await asyncio.wait(answers, timeout=DETACHMENT_TIMEOUT_S)
            return any(answer.result() for answer in done)
        return False

    def on_detachment_answer(self, number: int, known: bool) -> None:
        """The other process has carried out a detachment, and says whether it knew the server."""
        asked = self.pending.pop(number, None)
        if asked and not asked.done():
            asked.set_result(known)

    def answer_all(self) -> None:
        """A process that has ended answers nothing."""
        for asked in self.pending.values():
            if not asked.done():
                asked.set_result(False)
        self.pending.clear()


UsageListener = Callable[[api.PeerProcessUsage], None]
