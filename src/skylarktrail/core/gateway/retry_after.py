"""Chooses when a refused caller comes back.

Load pattern: callers refused together come back together. The times are spread, begin
when the backlog that caused the refusal is worked off, and lie within the part of its
time that a caller is willing to wait.
"""

from __future__ import annotations

MAX_WAIT_RATIO = (
    0.3  # Callers heed a wait of at most a third of the time they have left.
)
SPREAD_RATIO = 0.5  # Part of the latency target over which callers are spread.
MIN_WAIT_MS = 25.0  # Below this a caller meets the same queue again.


def retry_after_ms(
    left_ms: float, backlog_ms: float, target_ms: float, random_fraction: float
) -> float:
    """Returns the time after which the caller is to come back.

    Args:
        left_ms: Time until the caller gives up.
        backlog_ms: Time until the request could be served; 0 if unknown.
        target_ms: Latency target of its route.
        random_fraction: Random number from 0 to below 1.
    """
    longest_ms = max(0.0, left_ms * MAX_WAIT_RATIO)
    first_ms = min(max(MIN_WAIT_MS, backlog_ms), longest_ms)
    spread_ms = min(target_ms * SPREAD_RATIO, longest_ms - first_ms)
    if spread_ms < target_ms * SPREAD_RATIO / 2:
        first_ms, spread_ms = longest_ms / 2, longest_ms / 2
    return first_ms + random_fraction * spread_ms
