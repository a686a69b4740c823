"""Tracks the health of instances by attempt results and health reports."""

from __future__ import annotations

from statistics import median_low
from typing import Callable, Mapping, NamedTuple, Protocol, Sequence

from .concurrency_limiter import RATE_WINDOW_MS, ConcurrencyLimiter
from .instance import DEAD_FAILURE_COUNT, EjectionReason, InstanceState, PoolState
from .latency import LatencyWindow
from .messages import Outcome
from .policy import Policy

MEDIAN_SAMPLE_INSTANCES = 64
EJECTION_MIN_ANSWERS = 3
MAX_CONSECUTIVE_EJECTIONS = 6
MAX_COLD_RATIO = 0.7
PROBE_INTERVAL_MS = 500.0
DEAD_PROBE_INTERVAL_MS = 1_000.0
PROBES_TO_RESTORE = 3
PROBE_LATENCY_FACTOR = 2.0
SILENT_LATENCY_FACTOR = 4.0
ALIVE_OUTCOMES = (Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.WRONG_OWNER)
FAILURE_OUTCOMES = (Outcome.CONNECT_FAILED, Outcome.BROKEN, Outcome.TIMED_OUT)


class AttemptResult(NamedTuple):
    """Result of an attempt.

    Attributes:
        attempt_id: Id of the attempt.
        outcome: How the attempt ended.
        latency_ms: Time from the start of the attempt to its end.
        is_fresh: Whether the attempt used a new connection.
    """

    attempt_id: int
    outcome: Outcome
    latency_ms: float
    is_fresh: bool


class TrackedService(Protocol):
    """Interface of a service that the health tracker uses.

    Attributes:
        is_keyed: Whether the instances of the service own keys.
        policy: Traffic policy of the service.
        instances: Instances by identifier.
        candidates: Instances that receive new work.
        ejected: Instances that receive only probes.
        latency_window: Recent latencies.
    """

    is_keyed: bool
    policy: Policy
    instances: Mapping[str, InstanceState]
    candidates: Sequence[InstanceState]
    ejected: Sequence[InstanceState]
    latency_window: LatencyWindow

    def typical_ms(self) -> float:
        """Returns the median latency of recent answers."""

    def refresh(self, now_ms: float) -> None:
        """Updates the candidates, ejected instances and limits."""


class HealthTracker:
    """Ejects and restores the instances of a service and begins cold starts.

    Args:
        service: The service.
        uniform: Returns random numbers from 0 to below 1.
    """

    def __init__(self, service: TrackedService, uniform: Callable[[], float]) -> None:
        self._service = service
        self._uniform = uniform
        self._median_latency_ms = 0.0

    def record_attempt_result(
        self,
        now_ms: float,
        instance: InstanceState,
        limiter: ConcurrencyLimiter,
        end: AttemptResult,
    ) -> None:
        """Updates the instance and the limiter with the result of an attempt.

        A timeout that is too short to show silence counts as a cancellation.
        """
        if end.outcome is Outcome.TIMED_OUT and not self._is_silent(instance, end):
            end = end._replace(outcome=Outcome.CANCELLED)
        service = self._service
        instance.started.pop(end.attempt_id, None)
        instance.record_outcome(now_ms, end.outcome, end.latency_ms, self._uniform())
        limiter.record_outcome(
            now_ms, end.outcome, end.latency_ms, service.latency_window.baseline_ms
        )
        limiter.in_flight -= 1
        is_probe = instance.probe_attempt_id == end.attempt_id
        if end.outcome is Outcome.ANSWERED and not is_probe:
            if service.latency_window.add_sample(end.latency_ms):
                self._update_median_latency()
        _update_pool_state(instance, end)
        if is_probe:
            instance.probe_attempt_id = None
            self._handle_probe_result(now_ms, instance, end)
        elif instance.ejected_until_ms is None:
            self._update_instance(now_ms, instance, limiter, end)

    def _is_silent(self, instance: InstanceState, end: AttemptResult) -> bool:
        """Returns whether the attempt lasted so long that the instance is silent.

        Otherwise the daemon gave it up too early to tell.
        """
        expected_ms = instance.latency_ms or self._service.typical_ms()
        return end.latency_ms >= SILENT_LATENCY_FACTOR * expected_ms

    def _update_median_latency(self) -> None:
        known = [
            i.latency_ms
            for i in self._service.candidates[:MEDIAN_SAMPLE_INSTANCES]
            if i.answers
        ]
        self._median_latency_ms = median_low(known) if known else 0.0

    def _update_instance(
        self,
        now_ms: float,
        instance: InstanceState,
        limiter: ConcurrencyLimiter,
        end: AttemptResult,
    ) -> None:
        if end.outcome in FAILURE_OUTCOMES:
            is_proof = end.is_fresh or end.outcome is not Outcome.TIMED_OUT
            if instance.consecutive_failures >= DEAD_FAILURE_COUNT and is_proof:
                self._eject(now_ms, instance, EjectionReason.DEAD)
            elif instance.pool_state is PoolState.STALE and not self._service.is_keyed:
                self._eject(now_ms, instance, EjectionReason.SUSPECT)
        elif end.outcome is Outcome.NOT_RUN:
            if limiter.has_no_answers(now_ms):
                self._end_inferred_cold_starts(now_ms, limiter)
            elif self._is_in_cold_start(now_ms, instance, limiter):
                instance.begin_cold_start(now_ms, is_inferred=True)
                self._service.refresh(now_ms)
        elif self._is_straggler(instance) and self._may_eject_slow():
            self._eject(now_ms, instance, EjectionReason.SLOW)

    def _eject(
        self, now_ms: float, instance: InstanceState, reason: EjectionReason
    ) -> None:
        delay_ms = 0.0
        if reason is EjectionReason.DEAD:
            delay_ms = DEAD_PROBE_INTERVAL_MS
        elif reason is EjectionReason.SLOW:
            instance.consecutive_ejections = min(
                instance.consecutive_ejections + 1, MAX_CONSECUTIVE_EJECTIONS
            )
            delay_ms = (
                self._service.policy["ejection_ms"] * instance.consecutive_ejections
            )
        instance.eject(reason, now_ms + delay_ms)
        self._service.refresh(now_ms)

    def _is_in_cold_start(
        self, now_ms: float, instance: InstanceState, limiter: ConcurrencyLimiter
    ) -> bool:
        """Returns whether a refusal shows a cold start rather than an overload.

        A refusal counts as overload while the service fails, and when the cold
        instances would exceed `MAX_COLD_RATIO` of those open to work.
        """
        if self._service.is_keyed or limiter.is_failing:
            return False
        if instance.cold_since_ms is not None:
            return True
        open_to_work = [
            i for i in self._service.instances.values() if i.accepts_new_work
        ]
        cold = sum(1 for i in open_to_work if i.cold_since_ms is not None)
        return cold + 1 <= len(open_to_work) * MAX_COLD_RATIO

    def _end_inferred_cold_starts(
        self, now_ms: float, limiter: ConcurrencyLimiter
    ) -> None:
        """Ends inferred cold starts that began when the whole service failed."""
        inferred = [
            instance
            for instance in self._service.instances.values()
            if instance.cold_since_ms is not None
            and instance.is_cold_inferred
            and instance.cold_since_ms >= limiter.answered_at_ms - RATE_WINDOW_MS
        ]
        for instance in inferred:
            instance.end_cold_start()
        if inferred:
            self._service.refresh(now_ms)

    def _is_slow(self, instance: InstanceState) -> bool:
        limit_ms = self._service.policy["ejection_factor"] * self._median_latency_ms
        return bool(limit_ms) and instance.latency_ms > limit_ms

    def _is_straggler(self, instance: InstanceState) -> bool:
        if self._service.is_keyed or instance.answers < EJECTION_MIN_ANSWERS:
            return False
        return instance.cold_since_ms is None and self._is_slow(instance)

    def _may_eject_slow(self) -> bool:
        """Returns whether `ejection_max_percent` allows one more slow instance."""
        count = len(self._service.candidates) + len(self._service.ejected)
        instances = self._service.instances.values()
        slow = sum(1 for i in instances if i.ejection_reason is EjectionReason.SLOW)
        return slow + 1 <= count * self._service.policy["ejection_max_percent"] / 100

    def _handle_probe_result(
        self, now_ms: float, instance: InstanceState, end: AttemptResult
    ) -> None:
        if instance.ejection_reason is None:
            return
        is_slow = instance.ejection_reason is EjectionReason.SLOW
        if not is_slow and self._is_inconclusive(instance, end):
            instance.ejected_until_ms = now_ms + PROBE_INTERVAL_MS
        elif not self._is_probe_passed(instance, end):
            self._eject(
                now_ms,
                instance,
                EjectionReason.SLOW if is_slow else EjectionReason.DEAD,
            )
            return
        else:
            self._record_passed_probe(now_ms, instance)
        self._service.refresh(now_ms)

    def _is_inconclusive(self, instance: InstanceState, end: AttemptResult) -> bool:
        """Returns whether a probe was cancelled before it could show silence."""
        is_cancelled = end.outcome is Outcome.CANCELLED
        return is_cancelled and not self._is_silent(instance, end)

    def _record_passed_probe(self, now_ms: float, instance: InstanceState) -> None:
        is_slow = instance.ejection_reason is EjectionReason.SLOW
        instance.passed_probe_count += 1
        instance.ejected_until_ms = now_ms + PROBE_INTERVAL_MS
        if instance.passed_probe_count >= (PROBES_TO_RESTORE if is_slow else 1):
            instance.restore(now_ms, self._typical_latency_ms())

    def _typical_latency_ms(self) -> float:
        return self._median_latency_ms or self._service.typical_ms()

    def _is_probe_passed(self, instance: InstanceState, end: AttemptResult) -> bool:
        """Returns whether a probe shows that the reason of the ejection is gone.

        A slow instance has to answer fast; otherwise any reply of the instance passes.
        """
        if instance.ejection_reason is not EjectionReason.SLOW:
            return end.outcome in ALIVE_OUTCOMES
        is_fast = end.latency_ms <= PROBE_LATENCY_FACTOR * self._typical_latency_ms()
        return end.outcome is Outcome.ANSWERED and is_fast

    def update_health(
        self, now_ms: float, instance: InstanceState, ready: bool, draining: bool
    ) -> None:
        """Applies the report of a health endpoint.

        Draining always counts. Not ready counts for at most `ejection_max_percent` of
        the instances, since the endpoint may be wrong.
        """
        was_ready, was_draining = instance.is_ready, instance.is_draining
        instance.is_draining = draining
        instance.is_ready = ready or not self._may_mark_unready(instance)
        if ready:
            instance.was_reported_ready = True
        if instance.is_ready and not was_ready:
            instance.begin_cold_start(now_ms)
        if (was_ready, was_draining) != (instance.is_ready, instance.is_draining):
            self._service.refresh(now_ms)

    def _may_mark_unready(self, instance: InstanceState) -> bool:
        unready = sum(
            1
            for i in self._service.instances.values()
            if not i.is_ready and i is not instance
        )
        bound = (
            len(self._service.instances)
            * self._service.policy["ejection_max_percent"]
            / 100
        )
        return unready + 1 <= bound


def _update_pool_state(instance: InstanceState, end: AttemptResult) -> None:
    if end.outcome is Outcome.TIMED_OUT and not end.is_fresh:
        instance.pool_state = PoolState.STALE
    elif end.is_fresh and end.outcome in ALIVE_OUTCOMES:
        instance.pool_state = PoolState.USABLE
