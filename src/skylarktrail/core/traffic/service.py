"""State of one service: instances, limiters and load balancing."""

from __future__ import annotations

from typing import Any, Callable, Mapping, Sequence

from .choosers import CHOOSERS, SelectionContext
from .cold_start import cold_capacity, next_capacity_change_ms
from .concurrency_limiter import LIMIT_HEADROOM_RATIO, ConcurrencyLimiter
from .health_tracker import HealthTracker
from .instance import EjectionReason, InstanceState
from .latency import LatencyWindow
from .messages import (
    Instance,
    InstanceAge,
    InstanceStatus,
    RequestInfo,
    ServiceStatus,
)
from .policy import Policy, make_policy
from .retry_budget import RetryBudget
from .roster import RosterHistory

KEYED = "keyed"
PINNED_LIMIT_FACTOR = 4
INITIAL_LATENCY_MS = 20.0
INFERRED_COLD_START_FACTOR = 1.5
PROBE_RECHECK_MS = 20.0
NON_IDEMPOTENT_PROBE_DELAY_MS = 5_000.0


class Service:
    """A service of the operator file in force.

    Attributes:
        name: Name of the service.
        is_keyed: Whether servers own the keys of the service.
        policy: Traffic policy of the service.
        instances: Instances by name of the VM.
        candidates: Instances that receive new work.
        ejected: Instances that receive only probes.
        health_tracker: Ejects and restores instances.
        latency_window: Latencies of recent answers.
        tries: Budget of retries and hedges together.
        hedges: Budget of hedges.
        first_tries: First attempts since the start.
        retry_count: Retries since the start.
        hedge_count: Hedges since the start.
        refusal_count: Requests refused since the start.
    """

    def __init__(
        self, name: str, rosters: RosterHistory, uniform: Callable[[], float]
    ) -> None:
        self.name = name
        self._rosters = rosters
        self._uniform = uniform
        self.is_keyed = False
        self.policy: Policy = make_policy({})
        self.instances: dict[str, InstanceState] = {}
        self.candidates: list[InstanceState] = []
        self.ejected: list[InstanceState] = []
        self._next_probe_ms = 0.0
        self._weights: Mapping[str, float] = {}
        self._limiters: dict[str, ConcurrencyLimiter] = {}
        self._chooser = CHOOSERS[self.policy["choice"]]()
        self._refresh_at_ms: float | None = 0.0
        self.health_tracker = HealthTracker(self, uniform)
        self.latency_window = LatencyWindow()
        self._reset_budgets()
        self.first_tries = 0
        self.retry_count = 0
        self.hedge_count = 0
        self.refusal_count = 0

    def configure(
        self,
        now_ms: float,
        entry: Mapping[str, Any],
        instances: Sequence[Instance],
        zones_out: set[str],
        weights: Mapping[str, float],
        is_first: bool,
    ) -> None:
        """Applies a change of the operator file, the VM list or the roster.

        Args:
            now_ms: Monotonic time.
            entry: Entry of the service in the operator file.
            instances: Instances of the service in the VM list.
            zones_out: Availability zones that the operators have taken out.
            weights: Weights of the tenants.
            is_first: Whether the daemon has just started. Instances of the first VM
                list count as warm, since the daemon does not know their age.
        """
        self.is_keyed = entry["kind"] == KEYED
        self._set_policy(make_policy(entry.get("policy", {})))
        self._weights = weights
        for limiter in self._limiters.values():
            limiter.queue.reconfigure(self.policy["queue_limit"], weights)
        self._set_instances(now_ms, instances, is_first)
        for instance in self.instances.values():
            self._set_zone(now_ms, instance, instance.info.zone in zones_out)
        self._drop_idle_limiters()
        self.refresh(now_ms)

    def _set_policy(self, policy: Policy) -> None:
        if policy == self.policy:
            return
        if policy["choice"] != self.policy["choice"]:
            self._chooser = CHOOSERS[policy["choice"]]()
        self.policy = policy
        self._reset_budgets()

    def _reset_budgets(self) -> None:
        burst = self.policy["retry_burst"]
        self.tries = RetryBudget(self.policy["retry_budget_percent"], burst)
        self.hedges = RetryBudget(self.policy["hedge_budget_percent"], burst)

    def _set_instances(
        self, now_ms: float, instances: Sequence[Instance], is_first: bool
    ) -> None:
        known = self.instances
        self.instances = {}
        for info in instances:
            state = known.get(info.id)
            if state is None or state.info.address != info.address:
                state = InstanceState(info, self._rosters.rank_for(info))
                state.is_age_assumed = is_first
                if not is_first:
                    state.begin_cold_start(now_ms)
            else:
                state.info = info
                state.roster_rank = self._rosters.rank_for(info)
            self._update_connection_share(state)
            self.instances[info.id] = state

    def _update_connection_share(self, state: InstanceState) -> None:
        daemons = max(len(self._rosters.current), 1)
        sharing_daemons = min(daemons, max(state.info.connections, 1))
        state.is_in_subset = state.roster_rank.position < sharing_daemons
        state.connection_share = max(state.info.connections // sharing_daemons, 1)

    def _set_zone(self, now_ms: float, instance: InstanceState, is_out: bool) -> None:
        if instance.is_zone_out and not is_out:
            instance.begin_cold_start(now_ms)
        instance.is_zone_out = is_out

    def _drop_idle_limiters(self) -> None:
        for name, limiter in list(self._limiters.items()):
            is_idle = not limiter.in_flight and not len(limiter.queue)
            if name and name not in self.instances and is_idle:
                del self._limiters[name]

    def refresh_if_due(self, now_ms: float) -> None:
        """Calls `refresh` if a cold start or a roster change has made progress."""
        if self._refresh_at_ms is not None and now_ms >= self._refresh_at_ms:
            self.refresh(now_ms)

    def refresh(self, now_ms: float) -> None:
        """Recomputes quotas, candidates, ejected instances and limits."""
        self._rosters.expire(now_ms)
        times = [self._rosters.next_expiry_ms()]
        for instance in self.instances.values():
            self._set_withdrawn(now_ms, instance)
            times.append(self._update_cold_quota(now_ms, instance))
        eligible = [i for i in self.instances.values() if self._is_eligible(i)]
        in_subset = [i for i in eligible if i.is_in_subset]
        if not in_subset and eligible:
            in_subset = [min(eligible, key=lambda i: i.roster_rank.position)]
        self.ejected = [i for i in in_subset if i.ejected_until_ms is not None]
        self.candidates = [i for i in in_subset if i.ejected_until_ms is None]
        self._next_probe_ms = min(
            (i.ejected_until_ms for i in self.ejected), default=float("inf")
        )
        later = [t for t in times if t is not None and t > now_ms]
        self._refresh_at_ms = min(later, default=None)
        for name, limiter in self._limiters.items():
            self._update_limit_bounds(name, limiter)

    def _set_withdrawn(self, now_ms: float, instance: InstanceState) -> None:
        if instance.accepts_new_work:
            instance.withdrawn_since_ms = None
        elif instance.withdrawn_since_ms is None:
            instance.withdrawn_since_ms = now_ms

    def _update_cold_quota(
        self, now_ms: float, instance: InstanceState
    ) -> float | None:
        if instance.cold_since_ms is None:
            return None
        slots = instance.info.slots
        duration_factor = (
            INFERRED_COLD_START_FACTOR if instance.is_cold_inferred else 1.0
        )
        age_ms = (now_ms - instance.cold_since_ms) / duration_factor
        capacity = cold_capacity(self.policy, slots, age_ms)
        if capacity is None:
            instance.end_cold_start()
            return None
        instance.cold_quota = self._rosters.quota(now_ms, instance.info, capacity)
        step_ms = next_capacity_change_ms(self.policy, slots, age_ms)
        return instance.cold_since_ms + step_ms * duration_factor

    def _is_eligible(self, instance: InstanceState) -> bool:
        has_no_cold_quota = instance.cold_quota == 0 and not self.is_keyed
        return instance.accepts_new_work and instance.is_ready and not has_no_cold_quota

    def get_limiter(self, pinned_server: str | None) -> ConcurrencyLimiter:
        """Returns the limiter of the service, or of a pinned server."""
        name = pinned_server or ""
        limiter = self._limiters.get(name)
        if limiter is None:
            limiter = self._limiters[name] = ConcurrencyLimiter(
                self.policy, self._weights
            )
            self._update_limit_bounds(name, limiter)
        return limiter

    def _update_limit_bounds(self, name: str, limiter: ConcurrencyLimiter) -> None:
        daemons = max(len(self._rosters.current), 1)
        if name:
            state = self.instances.get(name)
            if state is None:
                return
            slots = state.info.slots
            max_limit = min(slots * PINNED_LIMIT_FACTOR, state.connection_share)
        else:
            slots = sum(i.info.slots for i in self.candidates)
            max_limit = slots
        limiter.set_limit_bounds(slots * LIMIT_HEADROOM_RATIO / daemons, max_limit)

    def has_usable_instance(self, now_ms: float) -> bool:
        """Returns whether this daemon may send work or a probe to some instance."""
        return bool(self.candidates) or now_ms >= self._next_probe_ms

    def typical_ms(self) -> float:
        """Returns the median latency of recent answers."""
        return self.latency_window.quantile_ms(50) or INITIAL_LATENCY_MS

    def choose(
        self, now_ms: float, request: RequestInfo, tried_ids: set[str], zone: str
    ) -> InstanceState | None:
        """Returns the instance for a new attempt, or None without free capacity.

        Args:
            now_ms: Monotonic time.
            request: The request.
            tried_ids: Identifiers of the instances that were tried; cleared when all
                candidates were tried.
            zone: Availability zone of this daemon.
        """
        self.refresh_if_due(now_ms)
        if request.pinned_server is not None:
            return self._choose_pinned(now_ms, request.pinned_server)
        if not tried_ids:
            probed = self._choose_due_probe(now_ms, request)
            if probed is not None:
                return probed
        if len(tried_ids) >= len(self.candidates):
            tried_ids.clear()
        context = SelectionContext(
            now_ms, zone, self.typical_ms(), tried_ids, self._uniform
        )
        return self._chooser.choose(self.candidates, context)

    def _choose_pinned(self, now_ms: float, pinned_server: str) -> InstanceState | None:
        instance = self.instances.get(pinned_server)
        if instance is None or now_ms < instance.backoff_until_ms:
            return None
        if instance.ejected_until_ms is None:
            return instance
        is_due = (
            now_ms >= instance.ejected_until_ms and instance.probe_attempt_id is None
        )
        return instance if is_due else None

    def _choose_due_probe(
        self, now_ms: float, request: RequestInfo
    ) -> InstanceState | None:
        if now_ms < self._next_probe_ms:
            return None
        delay_ms = 0.0 if request.is_idempotent else NON_IDEMPOTENT_PROBE_DELAY_MS
        due = [i for i in self.ejected if self._may_probe(now_ms - delay_ms, i)]
        if due:
            return due[0]
        self._next_probe_ms = now_ms + PROBE_RECHECK_MS
        return None

    def _may_probe(self, now_ms: float, instance: InstanceState) -> bool:
        """Returns whether a probe of an ejected instance is due.

        A dead instance may be in cold start when it returns. So only the daemons with a
        quota at the beginning of a cold start probe it; the others wait until its
        health endpoint reports ready, or for the duration of a cold start.
        """
        if instance.probe_attempt_id is not None or now_ms < instance.ejected_until_ms:
            return False
        if (
            instance.ejection_reason is not EjectionReason.DEAD
            or instance.was_reported_ready
        ):
            return True
        cold_limit = self.policy["cold_limit"]
        if self._rosters.quota(now_ms, instance.info, cold_limit):
            return True
        silent_ms = now_ms - instance.ejected_until_ms
        return silent_ms >= self.policy["cold_start_ms"]

    def ages(self, now_ms: float) -> list[InstanceAge]:
        """Returns the cold-start age of each instance."""
        return [
            InstanceAge(
                name,
                None if i.cold_since_ms is None else now_ms - i.cold_since_ms,
            )
            for name, i in self.instances.items()
        ]

    def apply_ages(self, now_ms: float, ages: Mapping[str, float | None]) -> None:
        """Applies the ages that another daemon knows to instances of assumed age.

        An instance that the other daemon does not know begins its cold start now.

        Args:
            now_ms: Monotonic time.
            ages: Age by instance in ms; None after the cold start.
        """
        for name, instance in self.instances.items():
            if not instance.is_age_assumed:
                continue
            instance.is_age_assumed = False
            age_ms = ages.get(name, 0.0)
            if age_ms is not None:
                instance.begin_cold_start(now_ms)
                instance.cold_since_ms = now_ms - age_ms
        self.refresh(now_ms)

    def has_capacity(self, now_ms: float) -> bool:
        """Returns whether some instance is warm or has a cold-start quota.

        True for keyed services, whose requests may wait, and without instances.
        """
        if self.is_keyed or not self.instances:
            return True
        self.refresh(now_ms)
        return any(instance.cold_quota != 0 for instance in self.instances.values())

    def status(self) -> ServiceStatus:
        """Returns the status of the service."""
        limiters = self._limiters.values()
        return ServiceStatus(
            self.name,
            sum(len(limiter.queue) for limiter in limiters),
            sum(limiter.in_flight for limiter in limiters),
            sum(limiter.limit for limiter in limiters),
            self.first_tries,
            self.retry_count,
            self.hedge_count,
            self.refusal_count,
            self.latency_window.quantile_ms(50),
            self.latency_window.quantile_ms(95),
            tuple(_instance_status(i) for i in self.instances.values()),
        )


def _instance_status(instance: InstanceState) -> InstanceStatus:
    return InstanceStatus(
        instance.info.id,
        instance.info.zone,
        instance.state_name(),
        instance.in_flight,
        (
            instance.max_in_flight()
            if instance.cold_quota is None
            else instance.cold_quota
        ),
        instance.latency_ms,
        instance.sheds,
    )
