"""The wait before a discovery watch is opened again."""

from __future__ import annotations

import random

INITIAL_BACKOFF_S = 0.05  # the wait after the first failure
MAX_BACKOFF_S = 4.0  # the longest wait if discovery rejects watches because it has too many of them
# The longest wait if discovery did not reject the watch: its agent is on this machine, and watches are cheap.
MAX_LOCAL_BACKOFF_S = 1.0
# The longest time between the starts of two attempts: an update counts as notified 6 s after discovery is
# back, and the next attempt may take CONNECT_TIMEOUT_S to connect.
MAX_ATTEMPT_INTERVAL_S = 4.2
JITTER_SHARE = 0.5  # the largest share of a wait that the random jitter removes


class ReconnectBackoff:
    """Exponential backoff with jitter, which starts again once an update has been read.

    See docs/decisions/discovery-backoff.md for why the wait grows, has jitter and includes the time that the
    previous attempt took.
    """

    def __init__(self, jitter_source: random.Random) -> None:
        self._random = jitter_source
        self._current_s = INITIAL_BACKOFF_S

    def reset(self) -> None:
        """Return to the initial wait, as an update has been read."""
        self._current_s = INITIAL_BACKOFF_S

    def next_wait_s(self, was_rejected: bool, spent_s: float = 0.0) -> float:
        """Return the wait before the next attempt, in seconds; it grows with each call.

        Args:
            was_rejected: Whether discovery rejected the previous attempt.
            spent_s: The duration of the previous attempt.
        """
        longest_by_cause_s = MAX_BACKOFF_S if was_rejected else MAX_LOCAL_BACKOFF_S
        longest_by_interval_s = max(INITIAL_BACKOFF_S, MAX_ATTEMPT_INTERVAL_S - spent_s)
        longest_s = min(longest_by_cause_s, longest_by_interval_s)
        wait_s = min(longest_s, self._current_s) * (1.0 - JITTER_SHARE * self._random.random())
        self._current_s = min(MAX_BACKOFF_S, self._current_s * 2.0)
        return wait_s
