"""State of one instance, as this daemon observes it."""

from __future__ import annotations

from enum import Enum

from .messages import Instance, LoadReport, Outcome
from .roster import RosterRank

LATENCY_EWMA_WEIGHT = 0.25
INITIAL_LIMIT = 1.0
SHED_BACKOFF_MS = 10.0
SHED_BACKOFF_MAX_MS = 1_000.0
DEAD_FAILURE_COUNT = 2
REPORT_HALF_LIFE_MS = 1_000.0
ABANDONED_WORK_FACTOR = 3.0
LATENCY_DECAY_HALF_LIFE_MS = 2_000.0


class PoolState(Enum):
    """State of the connection pool of an instance.

    Attributes:
        USABLE: Attempts may use pooled connections.
        STALE: A pooled connection timed out silently; attempts open new connections
            until one of them works.
    """

    USABLE = "usable"
    STALE = "stale"


class EjectionReason(Enum):
    """Why an instance receives only probes.

    Attributes:
        SLOW: Its latency exceeds a multiple of the median of the instances.
        SUSPECT: A pooled connection timed out silently; a probe on a fresh connection
            shows whether only that connection failed or the instance.
        DEAD: A probe or several attempts in a row failed, not only because a pooled
            connection timed out.
    """

    SLOW = "slow"
    SUSPECT = "suspect"
    DEAD = "dead"


class InstanceState:
    """State of one instance and the attempts of this daemon to it.

    Attributes:
        info: The instance as listed in the VM list.
        roster_rank: Rank of this daemon among the daemons that send to the instance.
        is_in_subset: Whether this daemon keeps connections to the instance.
        connection_share: Largest number of connections of this daemon to it.
        started: Start times of the attempts in flight by attempt id, oldest first.
        limit: Adaptive limit of the attempts in flight; grows with answers.
        cold_quota: Limit of the attempts in flight during a cold start; None when
            warm.
        cold_since_ms: Start of the cold start; None when warm.
        is_age_assumed: Whether the instance counts as warm only because it was in the
            first VM list of this daemon.
        is_cold_inferred: Whether the cold start was inferred from refusals.
        abandoned_work_until_ms: Time until which the instance may still run attempts
            that this daemon gave up; blocks new attempts during a cold start.
        latency_ms: Smoothed latency; 0 before the first answer.
        latency_updated_at_ms: Time of the last attempt result.
        answers: Number of attempts that the instance answered.
        sheds: Number of attempts that the instance refused.
        consecutive_sheds: Refusals since the last answer.
        consecutive_failures: Failed attempts since the last answer.
        backoff_until_ms: Time until which no attempt is sent after a refusal.
        pool_state: State of its connection pool.
        is_zone_out: Whether the operators have taken its zone out.
        is_ready: Whether its health endpoint reports ready.
        is_draining: Whether its health endpoint reports draining.
        withdrawn_since_ms: Time since which it accepts no new work; None if it does.
        ejected_until_ms: Time of the next probe; None when not ejected.
        consecutive_ejections: Ejections for slowness since it was last restored.
        ejection_reason: Why it is ejected; None when it is not.
        passed_probe_count: Probes passed since the ejection.
        probe_attempt_id: Attempt id of the probe in flight; None without one.
        was_reported_ready: Whether it reported ready since the ejection.
    """

    def __init__(self, info: Instance, roster_rank: RosterRank) -> None:
        self.info = info
        self.roster_rank = roster_rank
        self.is_in_subset = True
        self.connection_share = 1
        self.started: dict[int, float] = {}
        self.latency_updated_at_ms = 0.0
        self.limit = INITIAL_LIMIT
        self.cold_quota: int | None = None
        self.cold_since_ms: float | None = None
        self.is_age_assumed = False
        self.is_cold_inferred = False
        self.abandoned_work_until_ms = 0.0
        self.latency_ms = 0.0
        self.answers = 0
        self.sheds = 0
        self.consecutive_sheds = 0
        self.consecutive_failures = 0
        self.backoff_until_ms = 0.0
        self.pool_state = PoolState.USABLE
        self.is_zone_out = False
        self.is_ready = True
        self.is_draining = False
        self.withdrawn_since_ms: float | None = None
        self.ejected_until_ms: float | None = None
        self.consecutive_ejections = 0
        self.ejection_reason: EjectionReason | None = None
        self.passed_probe_count = 0
        self.probe_attempt_id: int | None = None
        self.was_reported_ready = False
        self._report: tuple[float, float] | None = None

    @property
    def in_flight(self) -> int:
        """Number of attempts in flight from this daemon."""
        return len(self.started)

    @property
    def accepts_new_work(self) -> bool:
        """Whether the operators, the platform and the instance allow new work."""
        return not (self.info.leaving or self.is_zone_out or self.is_draining)

    def max_in_flight(self) -> int:
        """Returns the upper bound of the attempts in flight from this daemon."""
        return max(1, min(self.info.slots, self.connection_share))

    def has_room(self, now_ms: float) -> bool:
        """Returns whether the instance has capacity for one more attempt."""
        if now_ms < self.backoff_until_ms:
            return False
        in_flight = len(self.started)
        if self.cold_quota is not None:
            if in_flight >= self.cold_quota or now_ms < self.abandoned_work_until_ms:
                return False
        return in_flight + 1 <= self.limit

    def expected_ms(self, now_ms: float, typical_ms: float) -> float:
        """Returns the expected latency of a new attempt.

        A latency above the typical one decays while no attempt is in flight, so that
        the instance is tried again. The age of the oldest attempt in flight counts
        when it exceeds the smoothed latency, so that an instance which stops answering
        becomes expensive at once.

        Args:
            now_ms: Monotonic time.
            typical_ms: Median latency of the service.
        """
        expected_ms = self.latency_ms or typical_ms
        if expected_ms > typical_ms and not self.started:
            age_ms = now_ms - self.latency_updated_at_ms
            excess_ms = (expected_ms - typical_ms) * 0.5 ** (
                age_ms / LATENCY_DECAY_HALF_LIFE_MS
            )
            return typical_ms + excess_ms
        for started_ms in self.started.values():
            return max(expected_ms, now_ms - started_ms)
        return expected_ms

    def record_load_report(self, now_ms: float, report: LoadReport) -> None:
        """Records a load report with the time at which it was measured."""
        load = report.in_flight / max(report.slots, 1)
        self._report = (now_ms - report.age_ms, load)

    def reported_load(self) -> float:
        """Returns the last reported load as a ratio of the slots; 0 without one."""
        return self._report[1] if self._report else 0.0

    def decayed_load(self, now_ms: float) -> float:
        """Returns the reported load with exponential decay by age.

        The half-life is `REPORT_HALF_LIFE_MS`.
        """
        if self._report is None:
            return 0.0
        measured_at_ms, load = self._report
        return load * 0.5 ** ((now_ms - measured_at_ms) / REPORT_HALF_LIFE_MS)

    def record_outcome(
        self, now_ms: float, outcome: Outcome, latency_ms: float, jitter: float
    ) -> None:
        """Updates latency, limit and backoff with the result of an attempt.

        Args:
            now_ms: Monotonic time.
            outcome: How the attempt ended.
            latency_ms: Time from the start of the attempt to its end.
            jitter: Random number from 0 to 1 for the jitter of the backoff.
        """
        self.latency_updated_at_ms = now_ms
        if outcome is Outcome.ANSWERED:
            self._record_answer(latency_ms)
        elif outcome is Outcome.NOT_RUN:
            self._record_shed(now_ms, jitter)
        elif outcome is Outcome.WRONG_OWNER:
            self.consecutive_failures = 0
        elif outcome is Outcome.CANCELLED:
            self._extend_abandoned_work(now_ms, latency_ms)
            self._record_lower_bound(latency_ms)
        else:
            self._extend_abandoned_work(now_ms, latency_ms)
            self.consecutive_failures += 1
            self._record_lower_bound(latency_ms)
            self._halve_limit()

    def _record_answer(self, latency_ms: float) -> None:
        self._update_latency(latency_ms)
        self.answers += 1
        self.consecutive_sheds = 0
        self.consecutive_failures = 0
        if self.in_flight + 2 > self.limit:
            self.limit = min(self.limit + 1 / self.limit, float(self.max_in_flight()))

    def _extend_abandoned_work(self, now_ms: float, latency_ms: float) -> None:
        expected_ms = max(self.latency_ms, latency_ms)
        until_ms = now_ms + ABANDONED_WORK_FACTOR * expected_ms
        self.abandoned_work_until_ms = max(self.abandoned_work_until_ms, until_ms)

    def _record_lower_bound(self, latency_ms: float) -> None:
        """Records the time after which an attempt was given up.

        It is a lower bound of the latency, so it only raises the smoothed latency.
        """
        if self.latency_ms < latency_ms:
            self._update_latency(latency_ms)

    def _update_latency(self, latency_ms: float) -> None:
        before = self.latency_ms or latency_ms
        self.latency_ms = before + LATENCY_EWMA_WEIGHT * (latency_ms - before)

    def _record_shed(self, now_ms: float, jitter: float) -> None:
        self.sheds += 1
        self.consecutive_sheds += 1
        self._halve_limit()
        delay_ms = SHED_BACKOFF_MS * 2 ** min(self.consecutive_sheds, 10)
        delay_ms = min(delay_ms, SHED_BACKOFF_MAX_MS)
        self.backoff_until_ms = now_ms + delay_ms * (0.5 + jitter)

    def _halve_limit(self) -> None:
        self.limit = max(INITIAL_LIMIT, self.limit / 2)

    def begin_cold_start(self, now_ms: float, is_inferred: bool = False) -> None:
        """Begins a cold start.

        Args:
            now_ms: Time from which the cold start counts.
            is_inferred: Whether it was inferred from refusals.
        """
        self.cold_since_ms = now_ms
        self.is_cold_inferred = is_inferred
        self.limit = INITIAL_LIMIT
        self.consecutive_failures = 0
        if not is_inferred:
            self.consecutive_sheds = 0
            self.backoff_until_ms = 0.0

    def end_cold_start(self) -> None:
        self.cold_since_ms = None
        self.cold_quota = None

    def eject(self, reason: EjectionReason, until_ms: float) -> None:
        """Stops sending to the instance except for probes, from `until_ms` on."""
        self.ejection_reason = reason
        self.ejected_until_ms = until_ms
        self.passed_probe_count = 0
        self.was_reported_ready = False

    def restore(self, now_ms: float, typical_ms: float) -> None:
        """Ends the ejection; an instance that was dead begins a cold start."""
        was_dead = self.ejection_reason is EjectionReason.DEAD
        self.ejection_reason = None
        self.ejected_until_ms = None
        self.consecutive_ejections = 0
        self.latency_ms = typical_ms
        self.limit = INITIAL_LIMIT
        self.consecutive_failures = 0
        self.consecutive_sheds = 0
        if was_dead:
            self.begin_cold_start(now_ms)

    def state_name(self) -> str:
        """Returns the state as shown on the status page."""
        if self.info.leaving:
            return "leaving"
        if self.is_zone_out:
            return "zone-out"
        if self.is_draining:
            return "draining"
        if not self.is_in_subset:
            return "outside-subset"
        if self.ejected_until_ms is not None:
            return "ejected"
        return "warm" if self.cold_since_ms is None else "cold"
