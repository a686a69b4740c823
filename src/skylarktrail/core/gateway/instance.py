"""One instance as a daemon sees it: its entry, its load and its speed."""

from __future__ import annotations

import math

from .budget import TokenBucket
from .model import InstanceEntry, LoadReport

WORK_SMOOTHING_RATIO = 0.05  # Weight of one answer; work times vary several times over.
PRIOR_RESPONSE_COUNT = (
    8  # Answers that a new instance is credited with at the usual speed.
)
RECENT_SMOOTHING_RATIO = 0.3  # Weight of one answer in finding a slowed instance.
SUDDEN_SLOWDOWN_RATIO = (
    2.5  # Recent answers this much slower than usual are believed at once.
)
WORK_RATIO_LIMITS = (0.3, 12.0)  # Keeps one odd answer from ruling an instance out.
SLOWDOWN_DECAY_MS = 250.0  # Neighbours' noise lasts a few hundred milliseconds.
OTHERS_DECAY_MS = 600.0  # After this a load figure says little about other daemons.
# The granter tells all requests under way each 0.35 s; one that is lost takes longer.
BROADCAST_DECAY_MS = 1500.0
OWN_REPORT_TTL_MS = (
    400.0  # A load figure of an own answer is believed first for this long.
)
FAILURE_SMOOTHING_RATIO = 0.2  # Weight of one attempt in the share of failures.
INITIAL_SUSPENSION_MS = 400.0  # First pause after a failed connection.
MAX_SUSPENSION_MS = 3000.0  # Longest pause; a returning instance is found within it.
UNREACHABLE_SUSPENSION_COUNT = (
    3  # Failed connections in a row after which it gives up its keys.
)


class Instance:
    """Load, speed and health of one instance, from this daemon's own exchanges.

    Attributes:
        entry: What it last said of itself.
        in_flight: This daemon's requests at it.
        cold_until_ms: When it stops being cold.
        failure_ratio: Smoothed share of attempts that failed.
        cold_bucket: Limits requests while it is cold.
        draining_since_ms: When its leaving was others_in_flight; infinite while it stays.
    """

    def __init__(self, entry: InstanceEntry, now_ms: float) -> None:
        self.entry = entry
        self.in_flight = 0
        self.cold_until_ms = now_ms + entry.cold_ms
        self._usual_work_ratio = 1.0
        self._recent_work_ratio = 1.0
        self._weighted_response_count = PRIOR_RESPONSE_COUNT
        self._request_starts_ms: list[float] = []
        self.failure_ratio = 0.0
        self.cold_bucket: TokenBucket | None = None
        self.draining_since_ms = now_ms if entry.is_draining else math.inf
        self._slowdown_ratio = 1.0
        self._others_in_flight = 0.0
        self._others_updated_ms = -math.inf
        self._is_total_broadcast = False
        self._reported_ms = -math.inf
        self._suspended_until_ms = -math.inf
        self._suspension_count = 0
        self._response_count = 0
        self._work_ratio_sum = 0.0
        self._failure_count = 0
        self._admitted_part = 1.0
        self._admitted_updated_ms = -math.inf

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
        return (
            self.is_suspended(now_ms)
            and self._suspension_count >= UNREACHABLE_SUSPENSION_COUNT
        )

    def record_load_report(self, report: LoadReport, now_ms: float) -> None:
        """Takes the load figures of an answer."""
        others_in_flight = report.running + report.waiting - self.in_flight
        self._others_in_flight = max(0.0, float(others_in_flight))
        self._others_updated_ms = now_ms
        self._is_total_broadcast = False
        self._slowdown_ratio = report.slowdown_ratio
        self._reported_ms = now_ms

    def record_in_flight_total(self, in_flight: int, now_ms: float) -> None:
        """Takes how many requests of all daemons are under way at it.

        Answers say little of an instance that each daemon meets seldom, and nothing
        of one that is too full to answer.
        """
        if now_ms - self._reported_ms < OWN_REPORT_TTL_MS:
            return
        self._others_in_flight = max(0.0, float(in_flight - self.in_flight))
        self._others_updated_ms = now_ms
        self._is_total_broadcast = True

    def record_admitted_part(self, part: float, now_ms: float) -> None:
        """Takes which part of its requests is admitted."""
        self._admitted_part = part
        self._admitted_updated_ms = now_ms

    def admitted_part(self, now_ms: float) -> float:
        """Returns which part of its requests is admitted."""
        is_fresh = now_ms - self._admitted_updated_ms <= BROADCAST_DECAY_MS
        return self._admitted_part if is_fresh else 1.0

    def record_not_overloaded(self) -> None:
        """Learns that all of its requests are admitted and a slot is free_slots again.

        The latter counts only if it was told that none was.
        """
        if self._is_total_broadcast:
            free_slots = max(1, self.entry.slots) - 1 - self.in_flight
            self._others_in_flight = min(
                self._others_in_flight, max(0.0, float(free_slots))
            )
        self._admitted_part = 1.0

    def record_success(self, work_ratio: float) -> None:
        """Takes an answer.

        Args:
            work_ratio: Its time without the wait for a slot, relative to the mean
                of its kind.
        """
        low, high = WORK_RATIO_LIMITS
        bounded_ratio = min(high, max(low, work_ratio))
        self._weighted_response_count += 1
        weight = max(WORK_SMOOTHING_RATIO, 1 / self._weighted_response_count)
        self._usual_work_ratio += weight * (bounded_ratio - self._usual_work_ratio)
        self._recent_work_ratio += RECENT_SMOOTHING_RATIO * (
            bounded_ratio - self._recent_work_ratio
        )
        self.failure_ratio *= 1 - FAILURE_SMOOTHING_RATIO
        self._suspension_count = 0
        self._suspended_until_ms = -math.inf
        self._response_count += 1
        self._work_ratio_sum += work_ratio

    @property
    def base_work_ratio(self) -> float:
        """Returns its work time relative to the mean of its service."""
        is_suddenly_slow = (
            self._recent_work_ratio > SUDDEN_SLOWDOWN_RATIO * self._usual_work_ratio
        )
        return self._recent_work_ratio if is_suddenly_slow else self._usual_work_ratio

    def begin(self, now_ms: float) -> None:
        """Counts a request that is sent to it."""
        self.in_flight += 1
        self._request_starts_ms.append(now_ms)

    def end(self, started_ms: float) -> None:
        """Counts the end of a request."""
        self.in_flight -= 1
        if started_ms in self._request_starts_ms:
            self._request_starts_ms.remove(started_ms)

    def oldest_request_age_ms(self, now_ms: float) -> float:
        """Returns for how long its oldest request has been under way."""
        return now_ms - min(self._request_starts_ms) if self._request_starts_ms else 0.0

    def has_new_samples(self) -> bool:
        """Tells whether there were answers or failures since `pop_samples`."""
        return bool(self._response_count or self._failure_count)

    def pop_samples(self) -> tuple[int, float, int]:
        """Returns answers, the sum of their work ratios, and failures; starts anew."""
        sample = (self._response_count, self._work_ratio_sum, self._failure_count)
        self._response_count, self._work_ratio_sum, self._failure_count = 0, 0.0, 0
        return sample

    def record_failure(self) -> None:
        """Counts an attempt that brought no usable answer."""
        self._failure_count += 1
        self.failure_ratio += FAILURE_SMOOTHING_RATIO * (1 - self.failure_ratio)

    def suspend(self, now_ms: float) -> None:
        """Keeps requests away after a connection could not be made."""
        suspension_ms = min(
            MAX_SUSPENSION_MS, INITIAL_SUSPENSION_MS * 2**self._suspension_count
        )
        self._suspension_count += 1
        self._suspended_until_ms = now_ms + suspension_ms

    def occupancy(self, now_ms: float) -> float:
        """Estimates the requests at the instance, those of other daemons included."""
        age_ms = now_ms - self._others_updated_ms
        decay_ms = BROADCAST_DECAY_MS if self._is_total_broadcast else OTHERS_DECAY_MS
        return self.in_flight + self._others_in_flight * math.exp(-age_ms / decay_ms)

    def slowdown_ratio(self, now_ms: float) -> float:
        """Estimates its work time at this moment relative to its usual one."""
        age_ms = now_ms - self._reported_ms
        return 1 + (self._slowdown_ratio - 1) * math.exp(-age_ms / SLOWDOWN_DECAY_MS)

    def expected_work_ratio(self, now_ms: float) -> float:
        """Returns its expected work time relative to the mean of its service."""
        return self.base_work_ratio * self.slowdown_ratio(now_ms)
