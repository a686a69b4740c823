"""State of one instance as seen by a daemon: its entry, load, speed and health."""

from __future__ import annotations

import math

from .budget import TokenBucket
from .model import InstanceEntry, LoadReport
from .permits import PermitGate, PermitIssuer, RateLimit

# Weight of one response in the usual work time. Work times vary by a multiple.
WORK_SMOOTHING_RATIO = 0.05
# Responses at the mean work time that a new instance is credited with.
PRIOR_RESPONSE_COUNT = 8
RECENT_SMOOTHING_RATIO = 0.3  # Weight of one response in the recent work time.
# If the recent work time exceeds the usual one by this factor, it replaces it at once.
SUDDEN_SLOWDOWN_RATIO = 2.5
WORK_RATIO_LIMITS = (0.3, 12.0)  # A single outlier must not exclude an instance.
SLOWDOWN_DECAY_MS = 250.0  # Noise of neighbours lasts a few hundred milliseconds.
OTHERS_DECAY_MS = 600.0  # An older load report says little about other daemons.
# The granter broadcasts in-flight totals every 350 ms; a lost broadcast doubles that.
BROADCAST_DECAY_MS = 1500.0
OWN_REPORT_TTL_MS = 400.0  # A load report in a response takes precedence for this time.
FAILURE_SMOOTHING_RATIO = 0.2  # Weight of one attempt in the failure ratio.
INITIAL_SUSPENSION_MS = 400.0  # First suspension after a failed connection.
MAX_SUSPENSION_MS = 3000.0  # A recovered instance is detected within this time.
# Consecutive failed connections after which an instance loses its keys.
UNREACHABLE_SUSPENSION_COUNT = 3


class Instance:
    """Load, speed and health of one instance, mostly from this daemon's own requests.

    Attributes:
        entry: Its latest entry in the store.
        in_flight: Number of this daemon's requests in flight to it.
        cold_until_ms: When it is no longer cold.
        failure_ratio: Smoothed ratio of failed attempts.
        cold_bucket: Limits the rate of requests while it is cold.
        draining_since_ms: When it was first seen to be draining; infinite if it is not.
        told_leaving_ms: When it was first heard to say in an answer that it leaves;
            infinite if it has not.
        rate_limit: Latest known rate limit.
        permits: Permits of this daemon while its rate is limited.
        permit_issuer: Issues the permits of all daemons if this one is the granter.
        sampled_ms: When its speed was last seen, or a probe of it began.
    """

    def __init__(self, entry: InstanceEntry, now_ms: float) -> None:
        self.entry = entry
        self.in_flight = 0
        self.cold_until_ms = now_ms + entry.cold_ms
        self._usual_work_ratio = 1.0
        self._recent_work_ratio = 1.0
        self._smoothing_count = PRIOR_RESPONSE_COUNT
        self._request_starts_ms: list[float] = []
        self.failure_ratio = 0.0
        self.cold_bucket: TokenBucket | None = None
        self.draining_since_ms = now_ms if entry.is_draining else math.inf
        self.told_leaving_ms = math.inf
        self.rate_limit = RateLimit(
            entry.instance, entry.start_ms, False, 0.0, -math.inf
        )
        self.permits = PermitGate()
        self.permit_issuer = PermitIssuer()
        self._slowdown_ratio = 1.0
        self._others_in_flight = 0.0
        self._others_updated_ms = -math.inf
        self._uses_broadcast_total = False
        self._reported_ms = -math.inf
        self._suspended_until_ms = -math.inf
        self._suspension_count = 0
        self._new_response_count = 0
        self._new_work_ratio_sum = 0.0
        self._new_failure_count = 0
        self.sampled_ms = -math.inf
        self._reported_waiting = 0
        self._admitted_part = 1.0
        self._admitted_updated_ms = -math.inf
        self._full_ms = -math.inf

    def update_entry(self, entry: InstanceEntry, now_ms: float) -> None:
        """Applies a newer entry of the same incarnation."""
        if entry.sequence != self.entry.sequence or entry.is_draining:
            self.update_cold_time(entry.cold_ms, now_ms)
        if not entry.is_draining:
            self.draining_since_ms = math.inf
        elif not self.entry.is_draining:
            self.draining_since_ms = now_ms
        self.entry = entry

    def record_leaving(self, at_ms: float) -> None:
        """Records that it says that it leaves, which holds for this incarnation."""
        self.told_leaving_ms = min(self.told_leaving_ms, at_ms)

    @property
    def is_leaving(self) -> bool:
        """Whether it drains by its entry, or has said that it leaves."""
        return self.entry.is_draining or self.told_leaving_ms < math.inf

    @property
    def leaving_since_ms(self) -> float:
        """When it was first known to leave; infinite if it does not."""
        return min(self.draining_since_ms, self.told_leaving_ms)

    def update_cold_time(self, cold_ms: float, now_ms: float) -> None:
        """Records the time for which the instance remains cold."""
        self.cold_until_ms = now_ms + cold_ms

    def record_rate_limit(self, limit: RateLimit) -> bool:
        """Records a rate limit unless it is outdated; returns whether it changed."""
        known = self.rate_limit
        is_same_incarnation = limit.start_ms == known.start_ms
        if not is_same_incarnation or limit.observed_ms < known.observed_ms:
            return False
        self.rate_limit = limit
        return limit[:-1] != known[:-1]

    def is_cold(self, now_ms: float) -> bool:
        """Returns whether the instance can only serve its cold rate."""
        return now_ms < self.cold_until_ms

    def is_suspended(self, now_ms: float) -> bool:
        """Returns whether it gets no requests after a failed connection."""
        return now_ms < self._suspended_until_ms

    def is_unreachable(self, now_ms: float) -> bool:
        """Returns whether several connections in a row have failed."""
        return (
            self.is_suspended(now_ms)
            and self._suspension_count >= UNREACHABLE_SUSPENSION_COUNT
        )

    def record_load_report(self, report: LoadReport, now_ms: float) -> None:
        """Records the load report of a response."""
        others_in_flight = report.running + report.waiting - self.in_flight
        self._others_in_flight = max(0.0, float(others_in_flight))
        self._others_updated_ms = now_ms
        self._uses_broadcast_total = False
        self._slowdown_ratio = report.slowdown_ratio
        self._reported_waiting = report.waiting
        self._reported_ms = now_ms

    def reported_waiting(self, since_ms: float) -> int | None:
        """Returns the length of its queue by the last report since a time, if any."""
        return self._reported_waiting if self._reported_ms >= since_ms else None

    def record_in_flight_total(self, in_flight: int, now_ms: float) -> None:
        """Records the number of requests of all daemons in flight to it.

        Load reports in responses are rare if each daemon sends it few requests, and
        missing if it is too overloaded to respond.
        """
        is_full = in_flight >= max(1, self.entry.slots)
        self._full_ms = now_ms if is_full else -math.inf
        if now_ms - self._reported_ms < OWN_REPORT_TTL_MS:
            return
        self._others_in_flight = max(0.0, float(in_flight - self.in_flight))
        self._others_updated_ms = now_ms
        self._uses_broadcast_total = True

    def is_full(self, now_ms: float) -> bool:
        """Returns whether no slot was free by the last broadcast or load report."""
        if now_ms - self._full_ms <= BROADCAST_DECAY_MS:
            return True
        return self.occupancy(now_ms) >= max(1, self.entry.slots)

    def record_admitted_part(self, part: float, now_ms: float) -> None:
        """Records the fraction of its requests that is admitted."""
        self._admitted_part = part
        self._admitted_updated_ms = now_ms

    def admitted_part(self, now_ms: float) -> float:
        """Returns the fraction of its requests that is admitted; 1 if unknown."""
        is_fresh = now_ms - self._admitted_updated_ms <= BROADCAST_DECAY_MS
        return self._admitted_part if is_fresh else 1.0

    def record_not_overloaded(self) -> None:
        """Records that all of its requests are admitted and that it has a free slot.

        The free slot only matters if the last estimate was a broadcast total.
        """
        self._full_ms = -math.inf
        if self._uses_broadcast_total:
            free_slots = max(1, self.entry.slots) - 1 - self.in_flight
            self._others_in_flight = min(
                self._others_in_flight, max(0.0, float(free_slots))
            )
        self._admitted_part = 1.0

    def record_success(self, work_ratio: float, min_weight: float = 0.0) -> None:
        """Records a usable response.

        Args:
            work_ratio: Its time without the wait for a slot, relative to the mean of
                its route.
            min_weight: Least weight of the response in the usual work time.
        """
        low, high = WORK_RATIO_LIMITS
        bounded_ratio = min(high, max(low, work_ratio))
        self._smoothing_count += 1
        weight = max(WORK_SMOOTHING_RATIO, 1 / self._smoothing_count, min_weight)
        self._usual_work_ratio += weight * (bounded_ratio - self._usual_work_ratio)
        self._recent_work_ratio += RECENT_SMOOTHING_RATIO * (
            bounded_ratio - self._recent_work_ratio
        )
        self.failure_ratio *= 1 - FAILURE_SMOOTHING_RATIO
        self._suspension_count = 0
        self._suspended_until_ms = -math.inf
        self._new_response_count += 1
        self._new_work_ratio_sum += work_ratio

    @property
    def base_work_ratio(self) -> float:
        """Returns its work time, relative to the mean of the service."""
        is_suddenly_slow = (
            self._recent_work_ratio > SUDDEN_SLOWDOWN_RATIO * self._usual_work_ratio
        )
        return self._recent_work_ratio if is_suddenly_slow else self._usual_work_ratio

    def begin(self, now_ms: float) -> None:
        """Records the start of a request."""
        self.in_flight += 1
        self._request_starts_ms.append(now_ms)

    def end(self, started_ms: float) -> None:
        """Records the end of the request that started at a time."""
        self.in_flight -= 1
        if started_ms in self._request_starts_ms:
            self._request_starts_ms.remove(started_ms)

    def oldest_request_age_ms(self, now_ms: float) -> float:
        """Returns the age of its oldest request in flight; 0 without one."""
        return now_ms - min(self._request_starts_ms) if self._request_starts_ms else 0.0

    def has_new_samples(self) -> bool:
        """Returns whether there are responses or failures since `pop_samples`."""
        return bool(self._new_response_count or self._new_failure_count)

    def pop_samples(self) -> tuple[int, float, int]:
        """Returns the samples since the last call, and resets them.

        Returns:
            The number of responses, the sum of their work ratios and the number of
            failures.
        """
        sample = (
            self._new_response_count,
            self._new_work_ratio_sum,
            self._new_failure_count,
        )
        self._new_response_count, self._new_work_ratio_sum, self._new_failure_count = (
            0,
            0.0,
            0,
        )
        return sample

    def record_failure(self) -> None:
        """Records an attempt without a usable response."""
        self._new_failure_count += 1
        self.failure_ratio += FAILURE_SMOOTHING_RATIO * (1 - self.failure_ratio)

    def suspend(self, now_ms: float) -> None:
        """Suspends it after a failed connection, with exponential backoff."""
        suspension_ms = min(
            MAX_SUSPENSION_MS, INITIAL_SUSPENSION_MS * 2**self._suspension_count
        )
        self._suspension_count += 1
        self._suspended_until_ms = now_ms + suspension_ms

    def end_suspension(self) -> None:
        """Ends a suspension that was due to this daemon's links."""
        self._suspension_count = 0
        self._suspended_until_ms = -math.inf

    def occupancy(self, now_ms: float) -> float:
        """Estimates the number of requests of all daemons at the instance."""
        if not self._others_in_flight:
            return self.in_flight
        age_ms = now_ms - self._others_updated_ms
        decay_ms = BROADCAST_DECAY_MS if self._uses_broadcast_total else OTHERS_DECAY_MS
        return self.in_flight + self._others_in_flight * math.exp(-age_ms / decay_ms)

    def slowdown_ratio(self, now_ms: float) -> float:
        """Estimates its present work time, relative to its usual one."""
        if self._slowdown_ratio == 1:
            return 1.0
        age_ms = now_ms - self._reported_ms
        return 1 + (self._slowdown_ratio - 1) * math.exp(-age_ms / SLOWDOWN_DECAY_MS)

    def expected_work_ratio(self, now_ms: float) -> float:
        """Returns its expected work time, relative to the mean of the service."""
        return self.base_work_ratio * self.slowdown_ratio(now_ms)
