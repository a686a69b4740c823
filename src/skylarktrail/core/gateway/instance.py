"""One instance as a daemon sees it: its entry, its load and its speed."""

from __future__ import annotations

import math

from .budget import TokenBucket
from .model import InstanceEntry, LoadReport

SPEED_SMOOTHING = 0.05  # Weight of one answer; work times vary several times over.
SPEED_PRIOR = 8  # Answers that a new instance is credited with at the usual speed.
SLOWED_SMOOTHING = 0.3  # Weight of one answer in finding a slowed instance.
SLOWED_RATIO = 2.5  # Recent answers this much slower than usual are believed at once.
SPEED_LIMITS = (0.3, 12.0)  # Keeps one odd answer from ruling an instance out.
SLOWDOWN_DECAY_MS = 250.0  # Neighbours' noise lasts a few hundred milliseconds.
OTHERS_FADE_MS = 600.0  # After this a load figure says little about other daemons.
# The granter tells all requests under way each 0.35 s; one that is lost takes longer.
TOLD_FADE_MS = 1500.0
OWN_REPORT_MS = 400.0  # A load figure of an own answer is believed first for this long.
FAILURE_SMOOTHING = 0.2  # Weight of one attempt in the share of failures.
SUSPEND_MS = 400.0  # First pause after a failed connection.
SUSPEND_MAX_MS = 3000.0  # Longest pause; a returning instance is found within it.
LOST_SUSPENSIONS = 3  # Failed connections in a row after which it gives up its keys.


class Instance:
    """Load, speed and health of one instance, from this daemon's own exchanges.

    Attributes:
        entry: What it last said of itself.
        in_flight: This daemon's requests at it.
        cold_until_ms: When it stops being cold.
        failure_ratio: Smoothed share of attempts that failed.
        cold_bucket: Limits requests while it is cold.
        draining_since_ms: When its leaving was seen; infinite while it stays.
    """

    def __init__(self, entry: InstanceEntry, now_ms: float) -> None:
        self.entry = entry
        self.in_flight = 0
        self.cold_until_ms = now_ms + entry.cold_ms
        self._usual_ratio = 1.0
        self._recent_ratio = 1.0
        self._known = SPEED_PRIOR
        self._starts: list[float] = []
        self.failure_ratio = 0.0
        self.cold_bucket: TokenBucket | None = None
        self.draining_since_ms = now_ms if entry.is_draining else math.inf
        self._slowdown_ratio = 1.0
        self._others = 0.0
        self._others_ms = -math.inf
        self._is_told = False
        self._reported_ms = -math.inf
        self._suspended_until_ms = -math.inf
        self._suspensions = 0
        self._answers = 0
        self._work_sum = 0.0
        self._failures = 0
        self._admitted_part = 1.0
        self._admitted_ms = -math.inf

    def update_entry(self, entry: InstanceEntry, now_ms: float) -> None:
        """Takes a newer entry of the same life."""
        if entry.sequence != self.entry.sequence or entry.is_draining:
            self.update_cold_time(entry.cold_ms, now_ms)
        if not entry.is_draining:
            self.draining_since_ms = math.inf
        elif not self.entry.is_draining:
            self.draining_since_ms = now_ms
        self.entry = entry

    def update_cold_time(self, cold_ms: float, now_ms: float) -> None:
        """Notes how much longer the instance is cold."""
        self.cold_until_ms = now_ms + cold_ms

    def is_cold(self, now_ms: float) -> bool:
        """Tells whether the instance bears only its cold rate."""
        return now_ms < self.cold_until_ms

    def is_suspended(self, now_ms: float) -> bool:
        """Tells whether its last connections failed a moment ago."""
        return now_ms < self._suspended_until_ms

    def is_unreachable(self, now_ms: float) -> bool:
        """Tells whether its connections have failed for a while."""
        return self.is_suspended(now_ms) and self._suspensions >= LOST_SUSPENSIONS

    def record_load_report(self, report: LoadReport, now_ms: float) -> None:
        """Takes the load figures of an answer."""
        seen = report.running + report.waiting - self.in_flight
        self._others = max(0.0, float(seen))
        self._others_ms = now_ms
        self._is_told = False
        self._slowdown_ratio = report.slowdown_ratio
        self._reported_ms = now_ms

    def record_in_flight_total(self, in_flight: int, now_ms: float) -> None:
        """Takes how many requests of all daemons are under way at it.

        Answers say little of an instance that each daemon meets seldom, and nothing
        of one that is too full to answer.
        """
        if now_ms - self._reported_ms < OWN_REPORT_MS:
            return
        self._others = max(0.0, float(in_flight - self.in_flight))
        self._others_ms = now_ms
        self._is_told = True

    def record_admitted_part(self, part: float, now_ms: float) -> None:
        """Takes which part of its requests is admitted."""
        self._admitted_part = part
        self._admitted_ms = now_ms

    def admitted_part(self, now_ms: float) -> float:
        """Returns which part of its requests is admitted."""
        is_known = now_ms - self._admitted_ms <= TOLD_FADE_MS
        return self._admitted_part if is_known else 1.0

    def record_not_overloaded(self) -> None:
        """Learns that all of its requests are admitted and a slot is free again.

        The latter counts only if it was told that none was.
        """
        if self._is_told:
            free = max(1, self.entry.slots) - 1 - self.in_flight
            self._others = min(self._others, max(0.0, float(free)))
        self._admitted_part = 1.0

    def record_success(self, elapsed_ratio: float) -> None:
        """Takes an answer.

        Args:
            elapsed_ratio: Its time without the wait for a slot, relative to the mean
                of its kind.
        """
        low, high = SPEED_LIMITS
        ratio = min(high, max(low, elapsed_ratio))
        self._known += 1
        weight = max(SPEED_SMOOTHING, 1 / self._known)
        self._usual_ratio += weight * (ratio - self._usual_ratio)
        self._recent_ratio += SLOWED_SMOOTHING * (ratio - self._recent_ratio)
        self.failure_ratio *= 1 - FAILURE_SMOOTHING
        self._suspensions = 0
        self._suspended_until_ms = -math.inf
        self._answers += 1
        self._work_sum += elapsed_ratio

    @property
    def base_work_ratio(self) -> float:
        """Returns its work time relative to the mean of its service."""
        is_slowed = self._recent_ratio > SLOWED_RATIO * self._usual_ratio
        return self._recent_ratio if is_slowed else self._usual_ratio

    def begin(self, now_ms: float) -> None:
        """Counts a request that is sent to it."""
        self.in_flight += 1
        self._starts.append(now_ms)

    def end(self, started_ms: float) -> None:
        """Counts the end of a request."""
        self.in_flight -= 1
        if started_ms in self._starts:
            self._starts.remove(started_ms)

    def oldest_request_age_ms(self, now_ms: float) -> float:
        """Returns for how long its oldest request has been under way."""
        return now_ms - min(self._starts) if self._starts else 0.0

    def has_new_samples(self) -> bool:
        """Tells whether there were answers or failures since `pop_samples`."""
        return bool(self._answers or self._failures)

    def pop_samples(self) -> tuple[int, float, int]:
        """Returns answers, the sum of their work ratios, and failures; starts anew."""
        sample = (self._answers, self._work_sum, self._failures)
        self._answers, self._work_sum, self._failures = 0, 0.0, 0
        return sample

    def record_failure(self) -> None:
        """Counts an attempt that brought no usable answer."""
        self._failures += 1
        self.failure_ratio += FAILURE_SMOOTHING * (1 - self.failure_ratio)

    def suspend(self, now_ms: float) -> None:
        """Keeps requests away after a connection could not be made."""
        pause_ms = min(SUSPEND_MAX_MS, SUSPEND_MS * 2**self._suspensions)
        self._suspensions += 1
        self._suspended_until_ms = now_ms + pause_ms

    def occupancy(self, now_ms: float) -> float:
        """Estimates the requests at the instance, those of other daemons included."""
        age_ms = now_ms - self._others_ms
        fade_ms = TOLD_FADE_MS if self._is_told else OTHERS_FADE_MS
        return self.in_flight + self._others * math.exp(-age_ms / fade_ms)

    def slowdown_ratio(self, now_ms: float) -> float:
        """Estimates its work time at this moment relative to its usual one."""
        age_ms = now_ms - self._reported_ms
        return 1 + (self._slowdown_ratio - 1) * math.exp(-age_ms / SLOWDOWN_DECAY_MS)

    def expected_work_ratio(self, now_ms: float) -> float:
        """Returns its expected work time relative to the mean of its service."""
        return self.base_work_ratio * self.slowdown_ratio(now_ms)
