"""Tells first attempts from returning callers by the time that callers give.

Callers of one route wait about equally long from their first attempt on, so one that
was refused before comes back with clearly less time than most others give.
"""

from __future__ import annotations

from collections import deque
from heapq import nlargest

RECENT_COUNT = 64  # Deadlines of a route that are remembered.
OUTLIER_RATIO = 1 / 16  # Callers with odd deadlines that change nothing.
FIRST_ATTEMPT_RATIO = (
    0.84  # Callers of a route differ by up to 15% in how long they wait.
)
MAX_ROUTE_COUNT = 4096


class CallerRetryDetector:
    """The latest deadlines of callers by route."""

    def __init__(self) -> None:
        self._recent_ms: dict[str, deque[float]] = {}

    def observe_deadline(self, route: str, remaining_ms: float) -> float:
        """Notes the time that a caller gives and returns how long it has been at it.

        Args:
            route: Name of the route.
            remaining_ms: Time until the caller gives up.

        Returns:
            0 for a first attempt.
        """
        if len(self._recent_ms) >= MAX_ROUTE_COUNT:
            self._recent_ms.clear()
        recent_ms = self._recent_ms.setdefault(route, deque(maxlen=RECENT_COUNT))
        recent_ms.append(remaining_ms)
        longest_ms = nlargest(1 + int(len(recent_ms) * OUTLIER_RATIO), recent_ms)[-1]
        if remaining_ms >= longest_ms * FIRST_ATTEMPT_RATIO:
            return 0.0
        return longest_ms * (1 + FIRST_ATTEMPT_RATIO) / 2 - remaining_ms
