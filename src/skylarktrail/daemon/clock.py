"""The daemon's clocks in milliseconds."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Returns the time of the monotonic clock in milliseconds."""
    return time.monotonic() * 1000


def wall_ms() -> float:
    """Returns the time of the wall clock in milliseconds since the Unix epoch."""
    return time.time() * 1000
