"""Chooses the delay after which a refused caller retries.

Callers that are refused together would also retry together. The delays are therefore
spread over an interval that begins when the backlog behind the refusal is processed and
that ends within the time that callers are willing to wait.
"""

from __future__ import annotations

MAX_WAIT_RATIO = 0.3  # Callers obey delays of up to a third of their remaining time.
SPREAD_RATIO = 0.5  # Fraction of the latency target over which retries are spread.
MIN_WAIT_MS = 25.0  # After a shorter delay a caller would find the same queue.


def retry_after_ms(
    left_ms: float, backlog_ms: float, target_ms: float, random_fraction: float
) -> float:
    """Returns the delay, in milliseconds, after which a refused caller should retry.

    Args:
        left_ms: Time until the caller gives up.
        backlog_ms: Time until the request could be executed; 0 if unknown.
        target_ms: Latency target of its route.
        random_fraction: Random number in [0, 1).
    """
    longest_ms = max(0.0, left_ms * MAX_WAIT_RATIO)
    first_ms = min(max(MIN_WAIT_MS, backlog_ms), longest_ms)
    spread_ms = min(target_ms * SPREAD_RATIO, longest_ms - first_ms)
    if spread_ms < target_ms * SPREAD_RATIO / 2:
        first_ms, spread_ms = longest_ms / 2, longest_ms / 2
    return first_ms + random_fraction * spread_ms
