"""Detects retries of callers from their remaining time.

Callers of one route use about the same total timeout, counted from their first attempt.
A caller that retries after a refusal therefore sends a clearly shorter deadline than
most others.
"""

from __future__ import annotations

from collections import deque
from heapq import nlargest

RECENT_COUNT = 64  # Deadlines kept per route.
OUTLIER_RATIO = 1 / 16  # Fraction of unusually long deadlines that is ignored.
FIRST_ATTEMPT_RATIO = 0.84  # Total timeouts of one route differ by up to 15%.
MAX_ROUTE_COUNT = 4096


class CallerRetryDetector:
    """Keeps the latest deadlines of callers by route."""

    def __init__(self) -> None:
        self._recent_ms: dict[str, deque[float]] = {}

    def observe_deadline(self, route: str, remaining_ms: float) -> float:
        """Records a deadline and estimates the time since the caller's first attempt.

        Args:
            route: Name of the route.
            remaining_ms: Time until the caller gives up.

        Returns:
            The time in milliseconds; 0 for a first attempt.
        """
        if len(self._recent_ms) >= MAX_ROUTE_COUNT:
            self._recent_ms.clear()
        recent_ms = self._recent_ms.setdefault(route, deque(maxlen=RECENT_COUNT))
        recent_ms.append(remaining_ms)
        longest_ms = nlargest(1 + int(len(recent_ms) * OUTLIER_RATIO), recent_ms)[-1]
        if remaining_ms >= longest_ms * FIRST_ATTEMPT_RATIO:
            return 0.0
        return longest_ms * (1 + FIRST_ATTEMPT_RATIO) / 2 - remaining_ms
