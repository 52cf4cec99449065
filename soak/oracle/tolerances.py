"""Tolerances that several rules share."""

from __future__ import annotations

TIMING_SLACK_S = 0.03
"""How late the soak's own processes may note something, beside the lag that they have measured."""

DEADLINE_SLACK_S = 0.15
"""By how much a server may be told a longer timeout, or get a request later, than is right."""
