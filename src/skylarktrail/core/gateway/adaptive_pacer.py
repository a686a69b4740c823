"""Paces the less urgent requests of a daemon while a service has few free slots.

The daemons learn only every 350 ms which instances have no free slot. If all of them
sent their waiting requests to the few that have become free, the slots and queues of
these would be full again before the next urgent request. So each daemon sends at its
share of the capacity that urgent requests leave, and lowers or raises that share in
small steps by the number of instances with a free slot.
"""

from __future__ import annotations

# As often as the granter broadcasts which instances are full.
ADJUST_INTERVAL_MS = 350.0
DECREASE_RATIO = 0.85  # Per step with too few instances that have a free slot.
INCREASE_RATIO = 1.1  # Per step with clearly enough of them.
# With this many times the instances needed, the share increases. Between the two it
# stays, as the figures are up to two steps old.
ENOUGH_RATIO = 1.5
SHARE_RATIO_LIMITS = (0.1, 3.0)  # At the upper limit, pacing ends.
BURST_MS = 1000.0  # Time at the share for which unused work may be saved up.


class AdaptivePacer:
    """Limits the work that a daemon starts per time in one service; off at first."""

    def __init__(self) -> None:
        self._ratio: float | None = None
        self._adjusted_ms = 0.0
        self._slots = 0.0
        self._work_ms = 0.0
        self._filled_ms = 0.0

    @property
    def is_limited(self) -> bool:
        """Returns whether requests have to wait for a part of the share."""
        return self._ratio is not None

    def is_adjustment_due(self, now_ms: float) -> bool:
        """Returns whether the share is to be adjusted."""
        return now_ms - self._adjusted_ms >= ADJUST_INTERVAL_MS

    def adjust(
        self, free_count: int, needed_count: int, share_slots: float, now_ms: float
    ) -> None:
        """Raises or lowers the share by one step.

        Args:
            free_count: Instances that are not known to be full.
            needed_count: Instances that should have a free slot for urgent requests.
            share_slots: Slots that this daemon may use on average.
            now_ms: The current time.
        """
        self._fill(now_ms)
        self._adjusted_ms = now_ms
        self._adjust_ratio(free_count, needed_count)
        self._slots = share_slots * (self._ratio or 0.0)

    def _adjust_ratio(self, free_count: int, needed_count: int) -> None:
        if self._ratio is None:
            if free_count < needed_count:
                self._ratio = 1.0
                self._work_ms = 0.0
            return
        low, high = SHARE_RATIO_LIMITS
        if free_count < needed_count:
            self._ratio = max(low, self._ratio * DECREASE_RATIO)
        elif free_count >= needed_count * ENOUGH_RATIO:
            self._ratio *= INCREASE_RATIO
        if self._ratio >= high:
            self._ratio = None

    def _fill(self, now_ms: float) -> None:
        passed_ms = max(0.0, now_ms - self._filled_ms)
        self._filled_ms = now_ms
        most_ms = max(0.0, self._slots * BURST_MS)
        self._work_ms = min(most_ms, self._work_ms + self._slots * passed_ms)

    def record_start(self, work_ms: float) -> None:
        """Records the expected work of a request that starts."""
        if self.is_limited:
            self._work_ms -= work_ms

    def wait_ms(self, ahead_work_ms: float, now_ms: float) -> float:
        """Returns the time after which a request behind so much work may start.

        A request may start as soon as any unused work is left, however long its own.
        """
        if not self.is_limited:
            return 0.0
        self._fill(now_ms)
        return max(0.0, ahead_work_ms - self._work_ms) / max(1e-3, self._slots)
