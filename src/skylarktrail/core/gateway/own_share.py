"""Share of a common rate that a daemon uses while it cannot ask the granter.

Each daemon uses an equal part of a small part of the rate, so that the sum stays below
the rate however many daemons are cut off from each other.
"""

from __future__ import annotations

from .budget import TokenBucket

# Fraction of the rate that daemons without the granter use together. Others may get
# their part from the granter meanwhile, so the two together may exceed the rate.
OWN_SHARE_RATIO = 0.4
BURST = 1.0


class OwnShare:
    """Token bucket with this daemon's share; it starts empty.

    Args:
        used: Tokens that were used before and that the share has to refill first.
    """

    def __init__(self, used: float = 0.0) -> None:
        self._used = used
        self._bucket: TokenBucket | None = None

    def try_acquire(self, per_s: float, daemon_count: int, now_ms: float) -> bool:
        """Consumes one token if available, and returns whether it was.

        Args:
            per_s: Rate of all daemons together.
            daemon_count: Number of daemons.
            now_ms: Present time.
        """
        rate_per_s = per_s * OWN_SHARE_RATIO / max(1, daemon_count)
        if self._bucket is None:
            self._bucket = TokenBucket(rate_per_s, BURST, now_ms, -self._used)
        self._bucket.set_rate(rate_per_s, BURST, now_ms)
        return self._bucket.try_acquire(now_ms)

    def wait_ms(self, now_ms: float) -> float:
        """Returns the time until the next token; 0 before the first use."""
        return self._bucket.wait_ms(now_ms) if self._bucket else 0.0
