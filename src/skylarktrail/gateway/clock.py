"""The gateway's clocks in milliseconds."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Returns a clock that also counts the time for which the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000
