"""One service: its instances, its lanes and who may be chosen."""

from __future__ import annotations

from typing import Any, Callable, Mapping, Sequence

from .budget import TryBudget
from .choosers import CHOOSERS, Situation
from .cold import cold_capacity, next_step_ms
from .instance import Ejection, InstanceState
from .lane import HEADROOM, Lane
from .latency import LatencyWindow
from .messages import (
    Instance,
    InstanceAge,
    InstanceStatus,
    RequestInfo,
    ServiceStatus,
)
from .observer import Observer
from .policy import Policy, make_policy
from .roster import RosterHistory

KEYED = "keyed"
PINNED_LIMIT_SLOTS = 4
FIRST_LATENCY_MS = 20.0
INFERRED_STRETCH = 1.5
PROBE_REVIEW_MS = 20.0
PROBE_PATIENCE_MS = 5_000.0


class Service:
    """A service of the file in force.

    Attributes:
        name: Its name.
        is_keyed: Whether its keys have owners.
        policy: Its policy.
        instances: Its instances by VM.
        candidates: Instances that new work may be sent to.
        ejected: Instances that get nothing but probes.
        observer: Judges the instances by their answers.
        window: Latencies of recent answers.
        tries: Budget of extra tries.
        hedges: Budget of hedges.
        first_tries: First tries since the start.
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
        self._lanes: dict[str, Lane] = {}
        self._chooser = CHOOSERS[self.policy["choice"]]()
        self._refresh_at_ms: float | None = 0.0
        self.observer = Observer(self, uniform)
        self.window = LatencyWindow()
        self._set_budgets()
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
        """Takes over the file, the VM list and the roster.

        Args:
            now_ms: The time.
            entry: The service's entry in the operator's file.
            instances: Its instances in the VM list.
            zones_out: Availability zones that are taken out.
            weights: Weights of the tenants.
            is_first: Whether the daemon has just started. Instances that it finds then
                count as warm, since it can't know their age.
        """
        self.is_keyed = entry["kind"] == KEYED
        self._set_policy(make_policy(entry.get("policy", {})))
        self._weights = weights
        for lane in self._lanes.values():
            lane.queue.reconfigure(self.policy["queue_limit"], weights)
        self._set_instances(now_ms, instances, is_first)
        for instance in self.instances.values():
            self._set_zone(now_ms, instance, instance.info.zone in zones_out)
        self._drop_idle_lanes()
        self.refresh(now_ms)

    def _set_policy(self, policy: Policy) -> None:
        if policy == self.policy:
            return
        if policy["choice"] != self.policy["choice"]:
            self._chooser = CHOOSERS[policy["choice"]]()
        self.policy = policy
        self._set_budgets()

    def _set_budgets(self) -> None:
        burst = self.policy["retry_burst"]
        self.tries = TryBudget(self.policy["retry_budget_percent"], burst)
        self.hedges = TryBudget(self.policy["hedge_budget_percent"], burst)

    def _set_instances(
        self, now_ms: float, instances: Sequence[Instance], is_first: bool
    ) -> None:
        known = self.instances
        self.instances = {}
        for info in instances:
            state = known.get(info.id)
            if state is None or state.info.address != info.address:
                state = InstanceState(info, self._rosters.seat(info))
                state.is_age_assumed = is_first
                if not is_first:
                    state.start_cold(now_ms)
            else:
                state.info = info
                state.seat = self._rosters.seat(info)
            self._share_connections(state)
            self.instances[info.id] = state

    def _share_connections(self, state: InstanceState) -> None:
        daemons = max(len(self._rosters.current), 1)
        sharers = min(daemons, max(state.info.connections, 1))
        state.in_subset = state.seat.position < sharers
        state.connection_share = max(state.info.connections // sharers, 1)

    def _set_zone(self, now_ms: float, instance: InstanceState, is_out: bool) -> None:
        if instance.is_zone_out and not is_out:
            instance.start_cold(now_ms)
        instance.is_zone_out = is_out

    def _drop_idle_lanes(self) -> None:
        for name, lane in list(self._lanes.items()):
            is_idle = not lane.in_flight and not len(lane.queue)
            if name and name not in self.instances and is_idle:
                del self._lanes[name]

    def refresh_if_due(self, now_ms: float) -> None:
        """Refreshes the candidates if a cold start or a roster has moved on."""
        if self._refresh_at_ms is not None and now_ms >= self._refresh_at_ms:
            self.refresh(now_ms)

    def refresh(self, now_ms: float) -> None:
        """Works out the candidates and limits anew."""
        self._rosters.expire(now_ms)
        times = [self._rosters.next_expiry_ms()]
        for instance in self.instances.values():
            self._set_withdrawn(now_ms, instance)
            times.append(self._set_quota(now_ms, instance))
        eligible = [i for i in self.instances.values() if self._is_eligible(i)]
        inside = [i for i in eligible if i.in_subset]
        if not inside and eligible:
            inside = [min(eligible, key=lambda i: i.seat.position)]
        self.ejected = [i for i in inside if i.ejected_until_ms is not None]
        self.candidates = [i for i in inside if i.ejected_until_ms is None]
        self._next_probe_ms = min(
            (i.ejected_until_ms for i in self.ejected), default=float("inf")
        )
        later = [t for t in times if t is not None and t > now_ms]
        self._refresh_at_ms = min(later, default=None)
        for name, lane in self._lanes.items():
            self._resize(name, lane)

    def _set_withdrawn(self, now_ms: float, instance: InstanceState) -> None:
        if instance.takes_new_work:
            instance.withdrawn_since_ms = None
        elif instance.withdrawn_since_ms is None:
            instance.withdrawn_since_ms = now_ms

    def _set_quota(self, now_ms: float, instance: InstanceState) -> float | None:
        if instance.cold_since_ms is None:
            return None
        slots = instance.info.slots
        stretch = INFERRED_STRETCH if instance.is_cold_inferred else 1.0
        age_ms = (now_ms - instance.cold_since_ms) / stretch
        capacity = cold_capacity(self.policy, slots, age_ms)
        if capacity is None:
            instance.end_cold()
            return None
        instance.quota = self._rosters.quota(now_ms, instance.info, capacity)
        step_ms = next_step_ms(self.policy, slots, age_ms)
        return instance.cold_since_ms + step_ms * stretch

    def _is_eligible(self, instance: InstanceState) -> bool:
        is_barred = instance.quota == 0 and not self.is_keyed
        return instance.takes_new_work and instance.is_ready and not is_barred

    def lane(self, pinned_server: str | None) -> Lane:
        """Returns the lane of the service, or of a pinned server."""
        name = pinned_server or ""
        lane = self._lanes.get(name)
        if lane is None:
            lane = self._lanes[name] = Lane(self.policy, self._weights)
            self._resize(name, lane)
        return lane

    def _resize(self, name: str, lane: Lane) -> None:
        daemons = max(len(self._rosters.current), 1)
        if name:
            state = self.instances.get(name)
            if state is None:
                return
            slots = state.info.slots
            ceiling = min(slots * PINNED_LIMIT_SLOTS, state.connection_share)
        else:
            slots = sum(i.info.slots for i in self.candidates)
            ceiling = slots
        lane.resize(slots * HEADROOM / daemons, ceiling)

    def is_open(self, now_ms: float) -> bool:
        """Tells whether any instance takes new work or a probe from this daemon."""
        return bool(self.candidates) or now_ms >= self._next_probe_ms

    def typical_ms(self) -> float:
        """Returns the median latency of recent answers."""
        return self.window.quantile_ms(50) or FIRST_LATENCY_MS

    def choose(
        self, now_ms: float, request: RequestInfo, tried: set[str], zone: str
    ) -> InstanceState | None:
        """Returns the instance for a new attempt, or None while there is no room.

        Args:
            now_ms: The time.
            request: The request.
            tried: Instances that it was sent to; emptied when none is left.
            zone: Availability zone of this daemon.
        """
        self.refresh_if_due(now_ms)
        if request.pinned_server is not None:
            return self._choose_pinned(now_ms, request.pinned_server)
        if not tried:
            probed = self._due_probe(now_ms, request)
            if probed is not None:
                return probed
        if len(tried) >= len(self.candidates):
            tried.clear()
        situation = Situation(now_ms, zone, self.typical_ms(), tried, self._uniform)
        return self._chooser.choose(self.candidates, situation)

    def _choose_pinned(self, now_ms: float, pinned_server: str) -> InstanceState | None:
        instance = self.instances.get(pinned_server)
        if instance is None or now_ms < instance.backoff_until_ms:
            return None
        if instance.ejected_until_ms is None:
            return instance
        is_due = now_ms >= instance.ejected_until_ms and instance.probe is None
        return instance if is_due else None

    def _due_probe(self, now_ms: float, request: RequestInfo) -> InstanceState | None:
        if now_ms < self._next_probe_ms:
            return None
        delay_ms = 0.0 if request.is_idempotent else PROBE_PATIENCE_MS
        due = [i for i in self.ejected if self._may_probe(now_ms - delay_ms, i)]
        if due:
            return due[0]
        self._next_probe_ms = now_ms + PROBE_REVIEW_MS
        return None

    def _may_probe(self, now_ms: float, instance: InstanceState) -> bool:
        """Tells whether a probe is due.

        A dead instance may return cold. Only the daemons that may send to it at the
        start of a cold start probe it; the others wait for its health endpoint, or for
        as long as a cold start lasts.
        """
        if instance.probe is not None or now_ms < instance.ejected_until_ms:
            return False
        if instance.ejection is not Ejection.DEAD or instance.was_reported_ready:
            return True
        cold_limit = self.policy["cold_limit"]
        if self._rosters.quota(now_ms, instance.info, cold_limit):
            return True
        silent_ms = now_ms - instance.ejected_until_ms
        return silent_ms >= self.policy["cold_start_ms"]

    def ages(self, now_ms: float) -> list[InstanceAge]:
        """Returns how long its instances have been in cold start."""
        return [
            InstanceAge(
                name,
                None if i.cold_since_ms is None else now_ms - i.cold_since_ms,
            )
            for name, i in self.instances.items()
        ]

    def apply_ages(self, now_ms: float, ages: Mapping[str, float | None]) -> None:
        """Takes another daemon's ages for the instances whose age was assumed.

        One that the other daemon doesn't know is as young as can be.
        """
        for name, instance in self.instances.items():
            if not instance.is_age_assumed:
                continue
            instance.is_age_assumed = False
            age_ms = ages.get(name, 0.0)
            if age_ms is not None:
                instance.start_cold(now_ms)
                instance.cold_since_ms = now_ms - age_ms
        self.refresh(now_ms)

    def has_capacity(self, now_ms: float) -> bool:
        """Tells whether some instance may get a request; keyed services may wait."""
        if self.is_keyed or not self.instances:
            return True
        self.refresh(now_ms)
        return any(instance.quota != 0 for instance in self.instances.values())

    def status(self) -> ServiceStatus:
        """Returns its status."""
        lanes = self._lanes.values()
        return ServiceStatus(
            self.name,
            sum(len(lane.queue) for lane in lanes),
            sum(lane.in_flight for lane in lanes),
            sum(lane.limit for lane in lanes),
            self.first_tries,
            self.retry_count,
            self.hedge_count,
            self.refusal_count,
            self.window.quantile_ms(50),
            self.window.quantile_ms(95),
            tuple(_instance_status(i) for i in self.instances.values()),
        )


def _instance_status(instance: InstanceState) -> InstanceStatus:
    return InstanceStatus(
        instance.info.id,
        instance.info.zone,
        instance.state_name(),
        instance.in_flight,
        instance.ceiling() if instance.quota is None else instance.quota,
        instance.latency_ms,
        instance.sheds,
    )
