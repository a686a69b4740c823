"""Budget for extra tries as a share of first tries."""

from __future__ import annotations


class RetryBudget:
    """A token bucket that first tries fill and extra tries empty.

    Over any period, extra tries are at most `percent` of the first tries plus `burst`.
    """

    def __init__(self, percent: float, burst: float) -> None:
        self._per_first_try = percent / 100
        self._burst = burst
        self._tokens = float(burst)

    def record_first_attempt(self) -> None:
        """Counts a first try."""
        self._tokens = min(self._burst, self._tokens + self._per_first_try)

    def has_token(self) -> bool:
        """Tells whether an extra try fits."""
        return self._tokens >= 1

    def try_acquire(self) -> bool:
        """Takes one extra try from the budget, if it fits."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
