"""From a server's id, as operators name it, to the decisions, in both processes of an upgrade."""

from __future__ import annotations

from brackenloft import interface as api
from brackenloft.net.driver import Driver
from brackenloft.net.handover import Handover
from brackenloft.net.roster import Roster


class Bans:
    """Carries out operators' calls on servers."""

    def __init__(self, roster: Roster, driver: Driver, handover: Handover) -> None:
        self.roster, self.driver, self.handover = roster, driver, handover

    def carry_out(self, name: str, out: bool, certain: bool = False) -> bool:
        """Here, for a server that is known, or certain as another process knows it; whether it was known."""
        known = self.roster.knows(name)
        if known or certain:
            number = self.roster.remember(name)
            (self.roster.barred.add if out else self.roster.barred.discard)(name)
            self.driver.post(api.Detach(number) if out else api.Attach(number))
        return known

    async def moved(self, name: str, out: bool) -> bool:
        """Here, then in the other process, if there is one; whether either knows the server."""
        known = self.carry_out(name, out)
        known_there = await self.handover.ban(name, out, known)
        if known_there and not known:
            self.carry_out(name, out, certain=True)
        return known or known_there

    def repeat(self) -> None:
        """Tell the decisions of every ban that was handed over, where they could not take over the rest."""
        for name in sorted(self.roster.barred):
            self.carry_out(name, out=True)
