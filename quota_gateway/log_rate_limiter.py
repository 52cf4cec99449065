"""A limit on the rate of log lines."""

from __future__ import annotations

import logging
import time
from math import inf

LOG_PERIOD_S = 10.0
MAX_LINES_PER_PERIOD = 50


class LogRateLimiter(logging.Filter):
    """Lets a limited number of records through in each period and reports how many it suppressed.

    The first record of the next period ends with ``suppressed_lines=N``. Without a limit, a peer that sends
    malformed data at full speed would fill the log: docs/decisions/resource-limits.md.
    """

    def __init__(self) -> None:
        super().__init__()
        self._period_end_s = -inf  # the end of the period is a monotonic time, as the wall clock may be set
        self._passed_lines = 0
        self._suppressed_lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is written."""
        now_s = time.monotonic()
        if now_s >= self._period_end_s:
            self._start_period(record, now_s)
        self._passed_lines += 1
        if self._passed_lines > MAX_LINES_PER_PERIOD:
            self._suppressed_lines += 1
            return False
        return True

    def _start_period(self, record: logging.LogRecord, now_s: float) -> None:
        if self._suppressed_lines:
            record.msg = f"{record.getMessage()} suppressed_lines={self._suppressed_lines}"
            record.args = ()
        self._period_end_s = now_s + LOG_PERIOD_S
        self._passed_lines = 0
        self._suppressed_lines = 0
