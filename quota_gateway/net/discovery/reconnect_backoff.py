"""The wait before a discovery watch is opened again."""

from __future__ import annotations

import random

INITIAL_BACKOFF_S = 0.05  # after the first failure
MAX_BACKOFF_S = 4.0  # where discovery rejects watches, as it has too many of them
MAX_LOCAL_BACKOFF_S = 1.0  # where it rejected none: discovery's agent is on this machine, watches are cheap
# From the start of one attempt to the start of the next: an update counts as notified 6 s after discovery is
# back, and the next attempt may take CONNECT_TIMEOUT_S to be established.
MAX_ATTEMPT_INTERVAL_S = 4.2
JITTER_SHARE = 0.5  # of the wait, which is drawn at random


class ReconnectBackoff:
    """Exponential backoff with jitter, until an update has been read.

    Why it grows, is drawn and counts the time already spent: docs/decisions/discovery-backoff.md.
    """

    def __init__(self, jitter_source: random.Random) -> None:
        self._random = jitter_source
        self._current_s = INITIAL_BACKOFF_S

    def reset(self) -> None:
        """Begin again with the initial wait, as an update has been read."""
        self._current_s = INITIAL_BACKOFF_S

    def next_wait_s(self, was_rejected: bool, spent_s: float = 0.0) -> float:
        """Return the wait before the next attempt; it grows each time.

        Args:
            was_rejected: Whether discovery rejected the previous attempt.
            spent_s: How long the previous attempt took.
        """
        longest_by_cause_s = MAX_BACKOFF_S if was_rejected else MAX_LOCAL_BACKOFF_S
        longest_by_interval_s = max(INITIAL_BACKOFF_S, MAX_ATTEMPT_INTERVAL_S - spent_s)
        longest_s = min(longest_by_cause_s, longest_by_interval_s)
        wait_s = min(longest_s, self._current_s) * (1.0 - JITTER_SHARE * self._random.random())
        self._current_s = min(MAX_BACKOFF_S, self._current_s * 2.0)
        return wait_s
