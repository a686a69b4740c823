"""Limits retries and the rate of requests to cold instances."""

from __future__ import annotations

from collections import deque

# Fraction of the site's retry ratio that is used. The windows of the daemons and of the
# site slide differently, so the full ratio could be exceeded in some window.
USED_RATIO = 0.6


class RetryBudget:
    """Limits the retries of one service in a sliding window.

    Each daemon limits its retries to a ratio of its own requests, so that the retries
    of all daemons stay within the same ratio of all requests.

    Args:
        window_ms: Length of the window.
        ratio: Retries per request that the site allows.
        extra_retries: Retries beyond the ratio that this daemon may use per window.
    """

    def __init__(self, window_ms: float, ratio: float, extra_retries: float) -> None:
        self._window_ms = window_ms
        self._ratio = ratio * USED_RATIO
        self.extra_retries = extra_retries
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_first_attempt(self, now_ms: float) -> None:
        """Records the first attempt of a request."""
        self._first_attempts.append(now_ms)
        self._drop_expired(now_ms)

    def try_acquire(self, now_ms: float) -> bool:
        """Records a retry if the budget allows it, and returns whether it does."""
        self._drop_expired(now_ms)
        allowed = self._ratio * len(self._first_attempts) + self.extra_retries
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now_ms)
        return True

    def _drop_expired(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._window_ms
        for timestamps in (self._first_attempts, self._retries):
            while timestamps and timestamps[0] < oldest_ms:
                timestamps.popleft()


class TokenBucket:
    """Token bucket with a rate and a burst, both in tokens.

    Its level falls below 0 if more is consumed than it holds.

    Args:
        rate_per_s: Tokens added per second.
        burst: Maximum number of tokens.
        now_ms: Time of its creation.
        tokens: Initial number of tokens; `burst` by default.
    """

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        now_ms: float,
        tokens: float | None = None,
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst if tokens is None else tokens
        self._refilled_ms = now_ms

    def try_acquire(self, now_ms: float) -> bool:
        """Consumes one token if available, and returns whether it was."""
        self._refill(now_ms)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def has_token(self, now_ms: float) -> bool:
        """Returns whether `try_acquire` would succeed."""
        self._refill(now_ms)
        return self._tokens >= 1

    def level(self, now_ms: float) -> float:
        """Returns the number of tokens; negative for a deficit."""
        self._refill(now_ms)
        return self._tokens

    def consume(self, count: float, now_ms: float) -> None:
        """Consumes tokens, whether available or not; adds them if `count` < 0."""
        self._refill(now_ms)
        self._tokens = min(self.burst, self._tokens - count)

    def set_rate(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        """Replaces rate and burst from now on."""
        self._refill(now_ms)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(burst, self._tokens)

    def wait_ms(self, now_ms: float) -> float:
        """Returns the time until `try_acquire` can succeed."""
        self._refill(now_ms)
        missing = max(0.0, 1 - self._tokens)
        return missing / self.rate_per_s * 1000 if missing else 0.0

    def _refill(self, now_ms: float) -> None:
        new_tokens = max(0.0, now_ms - self._refilled_ms) / 1000 * self.rate_per_s
        self._tokens = min(self.burst, self._tokens + new_tokens)
        self._refilled_ms = now_ms
