"""Queue and adaptive concurrency limit of a service, or of one pinned server."""

from __future__ import annotations

from typing import Mapping

from .messages import Outcome
from .policy import Policy
from .queue import FairQueue

SHED_DECREASE_RATIO = 0.9
SLOW_DECREASE_STEP = 0.1
FAST_LATENCY_FACTOR = 2.0
SLOW_LATENCY_FACTOR = 4.0
NEUTRAL_OUTCOMES = (Outcome.CANCELLED, Outcome.WRONG_OWNER)
RATE_WINDOW_MS = 500.0
FAILING_MIN_ATTEMPTS = 4
RETRY_AFTER_MIN_MS = 250.0
RETRY_CAPACITY_RATIO_MIN = 0.1
RETRY_CAPACITY_RATIO_MAX = 0.5
LIMIT_HEADROOM_RATIO = 1.5
IN_FLIGHT_EWMA_WEIGHT = 0.05
SATURATION_FACTOR = 1.25
RETRY_AFTER_MAX_MS = 30_000.0


class ConcurrencyLimiter:
    """Admission of the requests that compete for the same slots.

    The limit grows with fast answers while it is in use and shrinks with refusals,
    failures and slow answers.

    Attributes:
        queue: Waiting tickets.
        in_flight: Number of attempts in flight.
        min_limit: Lower bound of the limit.
        max_limit: Upper bound of the limit.
        limit: Attempts that may be in flight.
        answered_at_ms: Time of the last answer.
    """

    def __init__(self, policy: Policy, weights: Mapping[str, float]) -> None:
        self.queue = FairQueue(policy["queue_limit"], weights)
        self.in_flight = 0
        self.min_limit = 1.0
        self.max_limit = 1.0
        self.limit = 1.0
        self._average_in_flight = 0.0
        self._window_ends_ms = 0.0
        # Counts of the previous and the current window of `RATE_WINDOW_MS`.
        self._answers = [0, 0]
        self._refusals = [0, 0]
        self._arrivals = [0, 0]
        self._next_retry_ms = 0.0
        self._failing_since_ms = 0.0
        self.answered_at_ms = 0.0
        self._is_failing = False

    def set_limit_bounds(self, min_limit: float, max_limit: float) -> None:
        """Sets the bounds of the limit and moves the limit inside them."""
        self.min_limit = max(1.0, min_limit)
        self.max_limit = max(self.min_limit, max_limit)
        self.limit = min(max(self.limit, self.min_limit), self.max_limit)

    def has_room(self) -> bool:
        """Returns whether the limit allows one more attempt."""
        return self.in_flight + 1 <= self.limit

    def record_start(self) -> None:
        """Records the start of an attempt."""
        self._average_in_flight += IN_FLIGHT_EWMA_WEIGHT * (
            self.in_flight - self._average_in_flight
        )
        self.in_flight += 1

    def is_saturated(self) -> bool:
        """Returns whether requests wait, in this queue or at the instances.

        Requests wait at the instances when this daemon has more attempts in flight
        than its share of the slots.
        """
        slot_share = self.min_limit / LIMIT_HEADROOM_RATIO
        return (
            bool(len(self.queue))
            or self._average_in_flight > SATURATION_FACTOR * slot_share
        )

    def record_outcome(
        self, now_ms: float, outcome: Outcome, latency_ms: float, baseline_ms: float
    ) -> None:
        """Adapts the limit to the result of an attempt.

        The caller decrements `in_flight` afterwards.

        Args:
            now_ms: Monotonic time.
            outcome: How the attempt ended.
            latency_ms: Time from the start of the attempt to its end.
            baseline_ms: Median latency of the service without queueing.
        """
        self._rotate_windows(now_ms)
        if outcome is Outcome.ANSWERED:
            self._answers[1] += 1
            self.answered_at_ms = now_ms
            self._record_answer(latency_ms, baseline_ms)
        elif outcome not in NEUTRAL_OUTCOMES:
            self._refusals[1] += 1
            self.limit = max(self.min_limit, self.limit * SHED_DECREASE_RATIO)
        self._update_failing(now_ms)

    def _record_answer(self, latency_ms: float, baseline_ms: float) -> None:
        if latency_ms > baseline_ms * SLOW_LATENCY_FACTOR:
            self.limit = max(self.min_limit, self.limit - SLOW_DECREASE_STEP)
        elif latency_ms <= baseline_ms * FAST_LATENCY_FACTOR and not self.has_room():
            self.limit = min(self.max_limit, self.limit + 1 / self.limit)

    def _rotate_windows(self, now_ms: float) -> None:
        if now_ms < self._window_ends_ms:
            return
        is_adjacent = now_ms < self._window_ends_ms + RATE_WINDOW_MS
        for counts in (self._answers, self._refusals, self._arrivals):
            counts[:] = [counts[1] if is_adjacent else 0, 0]
        self._window_ends_ms = now_ms + RATE_WINDOW_MS

    def _update_failing(self, now_ms: float) -> None:
        """Updates `is_failing`; too few attempts do not begin a failure."""
        answers, refusals = sum(self._answers), sum(self._refusals)
        if answers >= refusals:
            self._is_failing = False
        elif not self._is_failing and answers + refusals >= FAILING_MIN_ATTEMPTS:
            self._is_failing = True
            self._failing_since_ms = now_ms

    @property
    def is_failing(self) -> bool:
        """Whether most of the recent attempts failed or were refused."""
        return self._is_failing

    def has_no_answers(self, now_ms: float) -> bool:
        """Returns whether the service fails and nothing was answered lately."""
        is_silent = now_ms - self.answered_at_ms >= 2 * RATE_WINDOW_MS
        return self._is_failing and is_silent

    def answer_rate_per_ms(self, now_ms: float, typical_ms: float) -> float:
        """Returns the expected number of answers per millisecond."""
        if self._is_failing:
            self._rotate_windows(now_ms)
            return max(sum(self._answers), 1) / (2 * RATE_WINDOW_MS)
        return self.limit / max(typical_ms, 0.1)

    def wait_ms(self, now_ms: float, tenant: str, typical_ms: float) -> float:
        """Returns the expected waiting time of a new ticket of a tenant."""
        if self.has_room() and not len(self.queue):
            return 0.0
        ahead = self.queue.tickets_ahead(tenant) + 1
        return ahead / self.answer_rate_per_ms(now_ms, typical_ms)

    def record_arrival(self, now_ms: float) -> None:
        """Records the arrival of a request, whether it is admitted or not."""
        self._rotate_windows(now_ms)
        self._arrivals[1] += 1

    def _spare_capacity_per_ms(self, now_ms: float, typical_ms: float) -> float:
        """Returns the capacity that arriving requests leave, in answers per ms."""
        self._rotate_windows(now_ms)
        capacity = self.min_limit / LIMIT_HEADROOM_RATIO / max(typical_ms, 0.1)
        elapsed_ms = RATE_WINDOW_MS + now_ms - (self._window_ends_ms - RATE_WINDOW_MS)
        share = 1 - sum(self._arrivals) / elapsed_ms / capacity
        return capacity * min(
            max(share, RETRY_CAPACITY_RATIO_MIN), RETRY_CAPACITY_RATIO_MAX
        )

    def retry_after_ms(self, now_ms: float, typical_ms: float, uniform: float) -> float:
        """Returns the time after which a refused caller should retry.

        Refused callers get successive retry times, spaced so that their retries use
        only the capacity that new requests leave, and starting when the queue has been
        served. While most attempts fail, the time also grows with the duration of the
        failure.

        Args:
            now_ms: Monotonic time.
            typical_ms: Median latency of the service.
            uniform: Random number from 0 to below 1 for the jitter.
        """
        gap_ms = 1 / self._spare_capacity_per_ms(now_ms, typical_ms)
        earliest_ms = now_ms + RETRY_AFTER_MIN_MS + len(self.queue) * gap_ms
        self._next_retry_ms = max(self._next_retry_ms + gap_ms, earliest_ms)
        delay_ms = self._next_retry_ms - now_ms
        if self._is_failing:
            failing_ms = now_ms - self._failing_since_ms
            delay_ms += failing_ms * (0.5 + uniform)
        if delay_ms <= RETRY_AFTER_MAX_MS:
            return delay_ms + gap_ms * uniform
        self._next_retry_ms = min(self._next_retry_ms, now_ms + RETRY_AFTER_MAX_MS)
        return RETRY_AFTER_MAX_MS * (0.5 + uniform / 2)
