"""Parses a server's reply into its status, value, usage report and load report."""

from __future__ import annotations

import logging
import re
from math import inf

from quota_gateway.errors import ProtocolError
from quota_gateway.model import AttemptStatus
from quota_gateway.net.resp import RawReply
from quota_gateway.net.upstream.attempt import UpstreamReply
from quota_gateway.settings_format import REPORT_FIELD

log = logging.getLogger(__name__)

MAX_USAGE_PERCENT = 100_000.0  # the highest possible usage, as a percentage of a quota
MAX_LOAD_FIGURE = 1_000_000.0  # the maximum of each figure in a load report, whatever its unit
# The final units of a request are at most this multiple of the largest estimate.
MAX_FINAL_UNITS_PER_ESTIMATED_UNIT = 10.0
FIGURE_PATTERN = re.compile(r"[a-z_0-9]{1,20}=[0-9]{1,9}(\.[0-9]{1,20})?")

ERROR_WORDS = frozenset({"ERR", "BUSY", "NOPERM", "SYNTAX"})  # first words of the protocol's error lines
OVERLOADED_WORD = "BUSY"  # An overloaded server did nothing, so a retry elsewhere is harmless.
SYNTAX_WORD = "SYNTAX"  # The server could not parse the command.


def _parse_figures(text: str) -> dict[str, float]:
    """Parse ``a=1,b=2`` into numbers by name.

    Returns:
        The numbers; an empty dict if any part has another form, is negative or is not a number.
    """
    parts = text.split(",")
    if not all(FIGURE_PATTERN.fullmatch(part) for part in parts):
        return {}
    return {name: float(number) for name, _, number in (part.partition("=") for part in parts)}


class ReplyParser:
    """Parses the replies of servers, with the usage reports and load reports in them.

    Figures that are malformed or impossible are dropped, and the value is served all the same; see
    docs/decisions/upstream-replies.md.

    Args:
        load_report_fields: The fields that a load report must have, in the order of the parsed numbers.
        max_request_units: The largest estimate of a request's units.
    """

    def __init__(self, load_report_fields: tuple[str, ...], max_request_units: float) -> None:
        self.load_report_fields = load_report_fields
        self.max_final_units = MAX_FINAL_UNITS_PER_ESTIMATED_UNIT * max_request_units

    def parse(self, raw_reply: RawReply) -> UpstreamReply:
        """Return the status, value and reports of a reply, by the protocol's table.

        Raises:
            ProtocolError: The reply is an error line with an unknown first word.
        """
        if isinstance(raw_reply, str):
            return self._parse_error(raw_reply)
        value, *reports = raw_reply
        texts = [report.decode("latin-1") for report in reports if report is not None]
        return self._make_reply(AttemptStatus.OK, value, texts)

    def _parse_error(self, line: str) -> UpstreamReply:
        word, *reports = line.split(" ")
        if word not in ERROR_WORDS:
            raise ProtocolError("error line has an unknown first word")
        if word == SYNTAX_WORD:
            log.error("upstream rejected command syntax reply=%.200s", line)
        overloaded = word == OVERLOADED_WORD
        return self._make_reply(
            AttemptStatus.OVERLOADED if overloaded else AttemptStatus.ERROR, None, reports
        )

    def _make_reply(self, status: AttemptStatus, value: bytes | None, reports: list[str]) -> UpstreamReply:
        usage_percent = final_units = load = None
        for report in reports:
            figures = _parse_figures(report)
            if figures.get("used", inf) <= MAX_USAGE_PERCENT:
                usage_percent = figures["used"]
            if figures.get("cost", inf) <= self.max_final_units:
                final_units = figures["cost"]
            load = self._load_report(figures) or load
        return UpstreamReply(status, value, usage_percent, final_units, load)

    def _load_report(self, figures: dict[str, float]) -> tuple[float, ...] | None:
        """Return a number for each required field; None if one of them is missing or impossible."""
        load = {
            REPORT_FIELD.get(name, name): value for name, value in figures.items() if value <= MAX_LOAD_FIGURE
        }
        if self.load_report_fields and all(name in load for name in self.load_report_fields):
            return tuple(load[name] for name in self.load_report_fields)
        return None
