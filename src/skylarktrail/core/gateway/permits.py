"""Keeps the requests of all daemons to an instance within the rate that it accepts.

An instance in need names a rate for all daemons together, and a cold one has a rate by
its configuration. The granter issues permits at that rate, each for one request. The
daemons ask for them as requests arrive, so the sum holds for any number of daemons and
wherever callers connect. A daemon that was not told the rate by the instance itself
learns it from the granter.

A daemon that cannot ask the granter uses an equal share of a small part of the rate.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from .budget import TokenBucket
from .own_share import OwnShare

USED_RATIO = 0.9  # Fraction of the accepted rate for which permits are issued.
BURST_S = 0.25  # Permits that may be saved up, as time at the rate.
# An instance that accepts no requests is probed, to notice when that changes.
MIN_RATE_PER_S = 0.2
PERMIT_TTL_MS = 250.0  # Longest time from the receipt of a permit to its use.
# A daemon asks again after this time, as the rate may rise or the granter return.
MAX_DENIAL_MS = 1000.0


class RateLimit(NamedTuple):
    """Rate limit of one incarnation of an instance.

    Attributes:
        instance: Identifier of the instance.
        start_ms: Wall-clock time of the start of its incarnation.
        is_limited: Whether it named a rate in its last answer.
        per_s: Requests per second that it accepts from all daemons together; 0 if it
            named no rate.
        observed_ms: When the answer was received, by the clock of this daemon.
    """

    instance: str
    start_ms: int
    is_limited: bool
    per_s: float
    observed_ms: float


class PermitRequest(NamedTuple):
    """Permits that requests of this daemon need.

    Attributes:
        instance: Identifier of the instance.
        per_s: Requests per second that it accepts from all daemons together, as this
            daemon knows it.
        count: Number of permits.
    """

    instance: str
    per_s: float
    count: int


class IssuedPermits(NamedTuple):
    """Reply to a request for permits.

    Attributes:
        count: Number of permits; at most as many as were requested.
        wait_ms: Time until the next permit can be issued; 0 if all were issued.
    """

    count: int
    wait_ms: float


class PermitIssuer:
    """Issues the permits for one instance, at the granter."""

    def __init__(self) -> None:
        self._bucket: TokenBucket | None = None

    def issue(self, per_s: float, count: int, now_ms: float) -> IssuedPermits:
        """Issues up to `count` permits.

        Args:
            per_s: Requests per second that the instance accepts.
            count: Number of permits requested.
            now_ms: Present time.
        """
        bucket = self._update_bucket(per_s, now_ms)
        issued = 0
        while issued < count and bucket.try_acquire(now_ms):
            issued += 1
        is_short = issued < count
        return IssuedPermits(issued, bucket.wait_ms(now_ms) if is_short else 0.0)

    def _update_bucket(self, per_s: float, now_ms: float) -> TokenBucket:
        rate_per_s = max(MIN_RATE_PER_S, per_s * USED_RATIO)
        burst = max(1.0, rate_per_s * BURST_S)
        if self._bucket is None:
            # Empty, as an earlier granter may have issued permits just now.
            self._bucket = TokenBucket(rate_per_s, burst, now_ms, tokens=0.0)
        self._bucket.set_rate(rate_per_s, burst, now_ms)
        return self._bucket


class PermitGate:
    """Permits that this daemon has for one instance."""

    def __init__(self) -> None:
        self._ends_ms: deque[float] = deque()
        self._is_requested = False
        self._denied_until_ms = -math.inf
        self._own_share = OwnShare()

    def has_permit(self, now_ms: float) -> bool:
        """Returns whether a permit is left."""
        while self._ends_ms and self._ends_ms[0] <= now_ms:
            self._ends_ms.popleft()
        return bool(self._ends_ms)

    def use_permit(self) -> None:
        """Uses up one permit, if there is one."""
        if self._ends_ms:
            self._ends_ms.popleft()

    def may_request(self, now_ms: float) -> bool:
        """Returns whether to ask for permits now."""
        return not self._is_requested and now_ms >= self._denied_until_ms

    def is_undecided(self, now_ms: float) -> bool:
        """Returns whether a permit may come at once, so that a request should wait."""
        return self._is_requested or now_ms >= self._denied_until_ms

    def wait_ms(self, now_ms: float) -> float:
        """Returns the time until a permit may come."""
        return max(0.0, self._denied_until_ms - now_ms)

    def record_request(self) -> None:
        """Records that permits were asked for."""
        self._is_requested = True

    def record_reply(self, reply: IssuedPermits, now_ms: float) -> None:
        """Adds the permits of a reply."""
        self._is_requested = False
        self._ends_ms.extend([now_ms + PERMIT_TTL_MS] * reply.count)
        self._denied_until_ms = now_ms + min(MAX_DENIAL_MS, reply.wait_ms)

    def take_own_share(self, per_s: float, daemon_count: int, now_ms: float) -> None:
        """Adds a permit of this daemon's own share, as the granter cannot be asked."""
        own_share = self._own_share
        rate_per_s = max(MIN_RATE_PER_S, per_s)
        count = 1 if own_share.try_acquire(rate_per_s, daemon_count, now_ms) else 0
        self.record_reply(IssuedPermits(count, own_share.wait_ms(now_ms)), now_ms)
