"""What this daemon sees of one instance."""

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
    """State of the pooled connections of an instance.

    Attributes:
        USABLE: Pooled connections may be used.
        RENEW: One went silent; the next attempts open new ones.
    """

    USABLE = "usable"
    STALE = "stale"


class EjectionReason(Enum):
    """Why an instance gets nothing but probes.

    Attributes:
        SLOW: Its latency is a multiple of the others'.
        SUSPECT: A pooled connection went silent; a fresh one tells whether the path or
            the instance failed.
        DEAD: A fresh connection failed too.
    """

    SLOW = "slow"
    SUSPECT = "suspect"
    DEAD = "dead"


class InstanceState:
    """One instance and this daemon's attempts at it.

    Attributes:
        info: The instance as the VM list gives it.
        seat: Place of this daemon among those that send to it.
        in_subset: Whether this daemon keeps connections to it.
        connection_share: Connections that this daemon may keep.
        started: Start times of the attempts in flight, oldest first.
        limit: Attempts in flight that its answers have earned.
        quota: Attempts in flight that its cold start allows; None when warm.
        cold_since_ms: Start of its cold start; None when warm.
        is_age_assumed: Whether it counts as warm only because this daemon found it at
            its own start.
        is_cold_inferred: Whether its cold start shows by refusals only.
        lingers_until_ms: Time until which it may still run attempts that this daemon
            gave up; counts during a cold start.
        latency_ms: Smoothed latency; 0 before the first answer.
        observed_at_ms: When the smoothed latency last changed.
        answers: Attempts that it answered.
        sheds: Attempts that it refused.
        shed_streak: Refusals since its last answer.
        failures: Failed attempts since its last answer.
        backoff_until_ms: Time before which it gets no attempt after a refusal.
        pool: State of its pooled connections.
        is_zone_out: Whether its zone is taken out.
        is_ready: Whether its health endpoint says ready.
        is_draining: Whether its health endpoint says draining.
        withdrawn_since_ms: Since when it takes no new work; None if it does.
        ejected_until_ms: Time of the next probe; None when not ejected.
        ejections: Ejections in a row.
        ejection: Why it is ejected; None when it is not.
        good_probes: Probes passed since the ejection.
        probe: The probe in flight; None without one.
        was_reported_ready: Whether its health was ready after it was ejected.
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
        """Attempts of this daemon in flight."""
        return len(self.started)

    @property
    def accepts_new_work(self) -> bool:
        """Whether the operator, the platform and the instance allow new work."""
        return not (self.info.leaving or self.is_zone_out or self.is_draining)

    def max_in_flight(self) -> int:
        """Returns the most attempts that this daemon ever has in flight."""
        return max(1, min(self.info.slots, self.connection_share))

    def has_room(self, now_ms: float) -> bool:
        """Tells whether one more attempt fits."""
        if now_ms < self.backoff_until_ms:
            return False
        in_flight = len(self.started)
        if self.cold_quota is not None:
            if in_flight >= self.cold_quota or now_ms < self.abandoned_work_until_ms:
                return False
        return in_flight + 1 <= self.limit

    def expected_ms(self, now_ms: float, typical_ms: float) -> float:
        """Returns the latency that a new attempt would likely have.

        A high latency fades while nothing is sent, so that the instance is tried again.
        An attempt that has been in flight for longer than the smoothed latency counts
        with its age, so that an instance which stops answering shows at once.
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
        """Keeps a load report with the time at which it was true."""
        load = report.in_flight / max(report.slots, 1)
        self._report = (now_ms - report.age_ms, load)

    def reported_load(self) -> float:
        """Returns the last reported load in units of the slots; 0 without one."""
        return self._report[1] if self._report else 0.0

    def decayed_load(self, now_ms: float) -> float:
        """Returns the reported load, halved for each `REPORT_HALF_LIFE_MS` of age."""
        if self._report is None:
            return 0.0
        true_at_ms, load = self._report
        return load * 0.5 ** ((now_ms - true_at_ms) / REPORT_HALF_LIFE_MS)

    def record_outcome(
        self, now_ms: float, outcome: Outcome, latency_ms: float, jitter: float
    ) -> None:
        """Learns from the end of an attempt.

        Args:
            now_ms: The time.
            outcome: How it ended.
            latency_ms: Time from its start.
            jitter: Random number, 0 to 1, that spreads the backoffs.
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
        """Learns from an attempt that would have taken longer."""
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
            now_ms: Its start, or a time after it.
            is_inferred: Whether it shows by refusals only.
        """
        self.cold_since_ms = now_ms
        self.is_cold_inferred = is_inferred
        self.limit = INITIAL_LIMIT
        self.consecutive_failures = 0
        if not is_inferred:
            self.consecutive_sheds = 0
            self.backoff_until_ms = 0.0

    def end_cold_start(self) -> None:
        """Ends the cold start."""
        self.cold_since_ms = None
        self.cold_quota = None

    def eject(self, reason: EjectionReason, until_ms: float) -> None:
        """Stops sending to it, except for probes from a time on."""
        self.ejection_reason = reason
        self.ejected_until_ms = until_ms
        self.passed_probe_count = 0
        self.was_reported_ready = False

    def restore(self, now_ms: float, typical_ms: float) -> None:
        """Ends the ejection; one that was dead starts cold."""
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
        """Returns its state for the status page."""
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
