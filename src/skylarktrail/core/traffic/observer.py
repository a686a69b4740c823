"""What the ends of attempts and the health reports tell about the instances."""

from __future__ import annotations

from statistics import median_low
from typing import Callable, Mapping, NamedTuple, Protocol, Sequence

from .instance import DEAD_FAILURES, Ejection, InstanceState, Pool
from .lane import RATE_WINDOW_MS, Lane
from .latency import LatencyWindow
from .messages import Outcome
from .policy import Policy

MEDIAN_INSTANCES = 64
EJECTION_MIN_ANSWERS = 3
EJECTIONS_MAX = 6
COLD_MAX_SHARE = 0.7
PROBE_INTERVAL_MS = 500.0
DEAD_PROBE_INTERVAL_MS = 1_000.0
PROBES_TO_RESTORE = 3
PROBE_FACTOR = 2.0
SILENT_FACTOR = 4.0
ALIVE = (Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.WRONG_OWNER)
FAILURES = (Outcome.CONNECT_FAILED, Outcome.BROKEN, Outcome.TIMED_OUT)


class AttemptEnd(NamedTuple):
    """The end of an attempt.

    Attributes:
        attempt_id: The attempt.
        outcome: How it ended.
        latency_ms: Time from its start.
        is_fresh: Whether it had a new connection.
    """

    attempt_id: int
    outcome: Outcome
    latency_ms: float
    is_fresh: bool


class Observed(Protocol):
    """A service as its observer sees it.

    Attributes:
        is_keyed: Whether its instances own keys.
        policy: Its policy.
        instances: Its instances by identifier.
        candidates: Those that get work.
        ejected: Those that get none for a while.
        window: Recent latencies.
    """

    is_keyed: bool
    policy: Policy
    instances: Mapping[str, InstanceState]
    candidates: Sequence[InstanceState]
    ejected: Sequence[InstanceState]
    window: LatencyWindow

    def typical_ms(self) -> float:
        """Returns the median latency of recent answers."""

    def refresh(self, now_ms: float) -> None:
        """Sorts the instances by their state anew."""


class Observer:
    """Ejects, returns and marks the instances of a service as cold."""

    def __init__(self, service: Observed, uniform: Callable[[], float]) -> None:
        self._service = service
        self._uniform = uniform
        self._reference_ms = 0.0

    def record(
        self, now_ms: float, instance: InstanceState, lane: Lane, end: AttemptEnd
    ) -> None:
        """Learns from the end of an attempt."""
        if end.outcome is Outcome.TIMED_OUT and not self._is_silence(instance, end):
            end = end._replace(outcome=Outcome.CANCELLED)
        service = self._service
        instance.started.pop(end.attempt_id, None)
        instance.record(now_ms, end.outcome, end.latency_ms, self._uniform())
        lane.record(now_ms, end.outcome, end.latency_ms, service.window.base_ms)
        lane.in_flight -= 1
        is_probe = instance.probe == end.attempt_id
        if end.outcome is Outcome.ANSWERED and not is_probe:
            if service.window.add(end.latency_ms):
                self._set_reference()
        _judge_pool(instance, end)
        if is_probe:
            instance.probe = None
            self._judge_probe(now_ms, instance, end)
        elif instance.ejected_until_ms is None:
            self._judge(now_ms, instance, lane, end)

    def _is_silence(self, instance: InstanceState, end: AttemptEnd) -> bool:
        """Tells a silent exchange from one that was given up early."""
        expected_ms = instance.latency_ms or self._service.typical_ms()
        return end.latency_ms >= SILENT_FACTOR * expected_ms

    def _set_reference(self) -> None:
        known = [
            i.latency_ms
            for i in self._service.candidates[:MEDIAN_INSTANCES]
            if i.answers
        ]
        self._reference_ms = median_low(known) if known else 0.0

    def _judge(
        self,
        now_ms: float,
        instance: InstanceState,
        lane: Lane,
        end: AttemptEnd,
    ) -> None:
        if end.outcome in FAILURES:
            is_proof = end.is_fresh or end.outcome is not Outcome.TIMED_OUT
            if instance.failures >= DEAD_FAILURES and is_proof:
                self._eject(now_ms, instance, Ejection.DEAD)
            elif instance.pool is Pool.RENEW and not self._service.is_keyed:
                self._eject(now_ms, instance, Ejection.SUSPECT)
        elif end.outcome is Outcome.NOT_RUN:
            if lane.has_no_answers(now_ms):
                self._end_inferred_cold_starts(now_ms, lane)
            elif self._is_cold_again(now_ms, instance, lane):
                instance.start_cold(now_ms, is_inferred=True)
                self._service.refresh(now_ms)
        elif self._is_straggler(instance) and self._may_eject():
            self._eject(now_ms, instance, Ejection.SLOW)

    def _eject(
        self, now_ms: float, instance: InstanceState, ejection: Ejection
    ) -> None:
        delay_ms = 0.0
        if ejection is Ejection.DEAD:
            delay_ms = DEAD_PROBE_INTERVAL_MS
        elif ejection is Ejection.SLOW:
            instance.ejections = min(instance.ejections + 1, EJECTIONS_MAX)
            delay_ms = self._service.policy["ejection_ms"] * instance.ejections
        instance.eject(ejection, now_ms + delay_ms)
        self._service.refresh(now_ms)

    def _is_cold_again(
        self, now_ms: float, instance: InstanceState, lane: Lane
    ) -> bool:
        """Tells a cold instance from an overloaded service."""
        if self._service.is_keyed or lane.is_failing:
            return False
        if instance.cold_since_ms is not None:
            return True
        open_to_work = [i for i in self._service.instances.values() if i.takes_new_work]
        cold = sum(1 for i in open_to_work if i.cold_since_ms is not None)
        return cold + 1 <= len(open_to_work) * COLD_MAX_SHARE

    def _end_inferred_cold_starts(self, now_ms: float, lane: Lane) -> None:
        """Takes back cold starts that the failure of the whole service explains."""
        inferred = [
            instance
            for instance in self._service.instances.values()
            if instance.cold_since_ms is not None
            and instance.is_cold_inferred
            and instance.cold_since_ms >= lane.answered_at_ms - RATE_WINDOW_MS
        ]
        for instance in inferred:
            instance.end_cold()
        if inferred:
            self._service.refresh(now_ms)

    def _is_slow(self, instance: InstanceState) -> bool:
        limit_ms = self._service.policy["ejection_factor"] * self._reference_ms
        return bool(limit_ms) and instance.latency_ms > limit_ms

    def _is_straggler(self, instance: InstanceState) -> bool:
        if self._service.is_keyed or instance.answers < EJECTION_MIN_ANSWERS:
            return False
        return instance.cold_since_ms is None and self._is_slow(instance)

    def _may_eject(self) -> bool:
        """Tells whether one more straggler fits the bound."""
        count = len(self._service.candidates) + len(self._service.ejected)
        instances = self._service.instances.values()
        slow = sum(1 for i in instances if i.ejection is Ejection.SLOW)
        return slow + 1 <= count * self._service.policy["ejection_max_percent"] / 100

    def _judge_probe(
        self, now_ms: float, instance: InstanceState, end: AttemptEnd
    ) -> None:
        if instance.ejection is None:
            return
        is_slow = instance.ejection is Ejection.SLOW
        if not is_slow and self._is_inconclusive(instance, end):
            instance.ejected_until_ms = now_ms + PROBE_INTERVAL_MS
        elif not self._is_good(instance, end):
            self._eject(now_ms, instance, Ejection.SLOW if is_slow else Ejection.DEAD)
            return
        else:
            self._pass_probe(now_ms, instance)
        self._service.refresh(now_ms)

    def _is_inconclusive(self, instance: InstanceState, end: AttemptEnd) -> bool:
        """Tells whether a probe was given up before it could show silence."""
        is_cancelled = end.outcome is Outcome.CANCELLED
        return is_cancelled and not self._is_silence(instance, end)

    def _pass_probe(self, now_ms: float, instance: InstanceState) -> None:
        is_slow = instance.ejection is Ejection.SLOW
        instance.good_probes += 1
        instance.ejected_until_ms = now_ms + PROBE_INTERVAL_MS
        if instance.good_probes >= (PROBES_TO_RESTORE if is_slow else 1):
            instance.restore(now_ms, self._usual_ms())

    def _usual_ms(self) -> float:
        return self._reference_ms or self._service.typical_ms()

    def _is_good(self, instance: InstanceState, end: AttemptEnd) -> bool:
        """Tells whether a probe shows what its ejection asks for."""
        if instance.ejection is not Ejection.SLOW:
            return end.outcome in ALIVE
        is_fast = end.latency_ms <= PROBE_FACTOR * self._usual_ms()
        return end.outcome is Outcome.ANSWERED and is_fast

    def set_health(
        self, now_ms: float, instance: InstanceState, ready: bool, draining: bool
    ) -> None:
        """Takes a health report.

        Draining is believed. Not ready is believed for no more instances than may be
        ejected, since the endpoint may mislead.
        """
        was_ready, was_draining = instance.is_ready, instance.is_draining
        instance.is_draining = draining
        instance.is_ready = ready or not self._may_believe(instance)
        if ready:
            instance.was_reported_ready = True
        if instance.is_ready and not was_ready:
            instance.start_cold(now_ms)
        if (was_ready, was_draining) != (instance.is_ready, instance.is_draining):
            self._service.refresh(now_ms)

    def _may_believe(self, instance: InstanceState) -> bool:
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


def _judge_pool(instance: InstanceState, end: AttemptEnd) -> None:
    if end.outcome is Outcome.TIMED_OUT and not end.is_fresh:
        instance.pool = Pool.RENEW
    elif end.is_fresh and end.outcome in ALIVE:
        instance.pool = Pool.USABLE
