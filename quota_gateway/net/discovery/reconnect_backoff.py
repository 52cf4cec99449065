"""How long to wait before a discovery watch is opened again."""

from __future__ import annotations

import random

FIRST_BACKOFF_S = 0.05  # after the first failure
MAX_BACKOFF_S = 4.0  # where discovery rejects watches: it has more of them than it can answer
# Where none was rejected: the agent is on this machine, so that a watch costs nobody else, and what the agent
# gets once discovery is back counts as notified at once.
MAX_LOCAL_BACKOFF_S = 1.0
# From the start of an attempt without an update to the start of the next: an update counts as notified 6 s
# after discovery is back, and the next attempt may take as long as CONNECT_TIMEOUT_S to come up.
MAX_ATTEMPT_INTERVAL_S = 4.2
JITTER_SHARE = 0.5  # of the wait, which is drawn at random


class ReconnectBackoff:
    """Exponential backoff with jitter, until an update has been read.

    Why it grows, is drawn and counts the time already spent: docs/decisions/discovery-backoff.md.
    """

    def __init__(self, jitter_source: random.Random) -> None:
        self._random = jitter_source
        self._current_s = FIRST_BACKOFF_S

    def reset(self) -> None:
        """An update has been read: the next wait is the first one again."""
        self._current_s = FIRST_BACKOFF_S

    def next_wait_s(self, was_rejected: bool, spent_s: float = 0.0) -> float:
        """The wait before the next attempt; longer each time.

        Args:
            was_rejected: Whether discovery rejected the attempt before.
            spent_s: How long the attempt before took.
        """
        longest_by_cause_s = MAX_BACKOFF_S if was_rejected else MAX_LOCAL_BACKOFF_S
        longest_by_interval_s = max(FIRST_BACKOFF_S, MAX_ATTEMPT_INTERVAL_S - spent_s)
        longest_s = min(longest_by_cause_s, longest_by_interval_s)
        wait_s = min(longest_s, self._current_s) * (1.0 - JITTER_SHARE * self._random.random())
        self._current_s = min(MAX_BACKOFF_S, self._current_s * 2.0)
        return wait_s
