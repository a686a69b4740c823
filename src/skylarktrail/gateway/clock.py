"""Monotonic clock of the gateway."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Returns the time since boot in milliseconds, suspension of the VM included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000
