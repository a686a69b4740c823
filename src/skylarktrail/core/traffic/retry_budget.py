"""Budget of retries and hedges as a share of first attempts."""

from __future__ import annotations


class RetryBudget:
    """Token bucket that first attempts fill and extra attempts drain.

    An extra attempt is a retry or a hedge. Over any period, extra attempts are at most
    `percent` of the first attempts plus `burst`.

    Args:
        percent: Extra attempts per 100 first attempts.
        burst: Largest number of tokens; the bucket starts full.
    """

    def __init__(self, percent: float, burst: float) -> None:
        self._per_first_try = percent / 100
        self._burst = burst
        self._tokens = float(burst)

    def record_first_attempt(self) -> None:
        """Adds the tokens that a first attempt earns."""
        self._tokens = min(self._burst, self._tokens + self._per_first_try)

    def has_token(self) -> bool:
        """Returns whether one extra attempt is within the budget."""
        return self._tokens >= 1

    def try_acquire(self) -> bool:
        """Takes a token for one extra attempt; returns False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
