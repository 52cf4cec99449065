"""Tolerances that several rules share."""

from __future__ import annotations

TIMING_SLACK_S = 0.03
"""Time by which the soak's own processes may record an event late, beyond the lag that they measure."""

DEADLINE_SLACK_S = 0.15
"""Time by which a timeout sent to a server may be too long, or a request may reach a server too late."""
