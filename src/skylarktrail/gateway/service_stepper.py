"""Steps the granters of the keyed services with what this daemon knows of the site."""

from __future__ import annotations

from ..core.gateway.capacities import limit_capacities
from ..core.gateway.granter import Granter
from ..core.gateway.granter_role import GranterRole
from ..core.gateway.instance import Instance
from ..core.gateway.key_load import KeyLoad
from ..core.gateway.lease_calls import GranterAction, KeyedInstance
from ..core.gateway.model import ServiceSpec
from ..core.gateway.speeds import Speeds
from ..peer.gateway_messages import GatewayLoad
from .event_log import EventLog
from .metrics import GatewayMetrics
from .site_state import SiteState

REBALANCE_INTERVAL_MS = 1000.0  # Shortest time between moves for load alone.
MERGE_INTERVAL_MS = 3000.0
FIRST_LISTING_WAIT_MS = 2500.0  # Instances of a new site are listed within this time.


class ServiceStepper:
    """Plans the moves of each keyed service and steps its granter.

    Args:
        site: State of the site.
        role: The granter role of this daemon.
        log: Receives a line for each move and each lost range.
        metrics: Counts moves.
    """

    def __init__(
        self,
        site: SiteState,
        role: GranterRole,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._site = site
        self._role = role
        self._log = log
        self._metrics = metrics
        self._loads: dict[str, KeyLoad] = {}
        self._speeds = Speeds()
        self._next_rebalance_ms: dict[str, float] = {}
        self._next_merge_ms: dict[str, float] = {}

    def keyed_services(self) -> list[ServiceSpec]:
        """Returns the keyed services of the configuration in force."""
        with self._site.lock:
            services = list(self._site.scheduler.services.values())
        return [spec for spec in services if spec.is_keyed]

    def step(self, service: str, at_ms: float) -> list[GranterAction]:
        """Steps the granter of a service and returns the actions that are due."""
        is_known = service in self._role.granters
        granter = self._role.find_granter(service, at_ms)
        if granter is None:
            return []
        if not is_known:
            self._log_begin(service, at_ms)
        owners = self._list_keyed_instances(service, at_ms)
        if not owners:
            return []
        confirmed_ms = self._role.confirmed_ms
        actions = granter.step(owners, at_ms, confirmed_ms)
        self._plan_moves(service, granter, at_ms)
        actions += granter.step(owners, at_ms, confirmed_ms)
        self._log_lost_ranges(service, granter)
        return actions

    def add_load(self, report: GatewayLoad, at_ms: float) -> None:
        """Adds the load that a daemon reports."""
        counts: dict[str, dict[int, int]] = {}
        for item in report.key_counts:
            counts.setdefault(item.service, {})[item.key_hash] = item.count
        for service, count_by_hash in counts.items():
            self._loads.setdefault(service, KeyLoad()).add(count_by_hash, at_ms)
        for sample in report.response_samples:
            self._speeds.add(*sample)

    def _log_begin(self, service: str, at_ms: float) -> None:
        recorded = self._site.shared.owners.get(service)
        self._log.state(
            "granting_begins",
            service=service,
            term=self._role.term,
            ranges=len(recorded.ranges) if recorded else 0,
            former_authority_left_ms=round(
                self._role.former_authority_end_ms() - at_ms
            ),
        )

    def _log_lost_ranges(self, service: str, granter: Granter) -> None:
        for lost in granter.pop_lost_ranges():
            self._log.write(
                "range_lost", service=service, term=self._role.term, **lost._asdict()
            )

    def _plan_moves(self, service: str, granter: Granter, at_ms: float) -> None:
        load = self._loads.setdefault(service, KeyLoad())
        is_new_service = service not in self._site.shared.owners
        if is_new_service and at_ms < self._role.started_ms + FIRST_LISTING_WAIT_MS:
            return
        is_rebalance_due = at_ms >= self._next_rebalance_ms.get(service, 0.0)
        if not is_rebalance_due and not granter.has_unassigned_hashes():
            return
        if is_rebalance_due:
            self._next_rebalance_ms[service] = at_ms + REBALANCE_INTERVAL_MS
        moves = granter.rebalance(load.distribution(at_ms), is_rebalance_due)
        for move in moves:
            self._metrics.count("moved_ranges", service)
            self._log.write(
                "range_moves",
                service=service,
                first=move.first,
                last=move.last,
                owner=move.owner,
                term=self._role.term,
            )
        if at_ms >= self._next_merge_ms.get(service, 0.0):
            self._next_merge_ms[service] = at_ms + MERGE_INTERVAL_MS
            granter.merge_adjacent_ranges(at_ms)

    def _list_keyed_instances(
        self, service: str, at_ms: float
    ) -> dict[str, KeyedInstance]:
        """Returns the instances of a service as input of its granter.

        Leaving, evacuated and unreachable instances may not keep their keys, nor may
        cold ones while there is a warm one. A suspended instance gets no more keys.
        """
        with self._site.lock:
            instances = list(self._site.fleet.find_by_service(service))
            zones_out = set(self._site.zones_out)
            is_cut = self._site.is_cut
        staying = {
            id(i) for i in instances if _may_keep_ranges(i, zones_out, is_cut, at_ms)
        }
        warm = {id(i) for i in instances if id(i) in staying and not i.is_cold(at_ms)}
        kept = warm or staying
        capacities = self._capacities(service, instances, at_ms)
        return {
            i.entry.instance: KeyedInstance(
                i.entry.instance,
                i.entry.address,
                i.entry.start_ms,
                id(i) in kept and not i.is_suspended(at_ms),
                capacities[i.entry.instance],
                id(i) in kept,
                _is_leaving(i, zones_out),
            )
            for i in instances
        }

    def _capacities(
        self, service: str, instances: list[Instance], at_ms: float
    ) -> dict[str, float]:
        """Returns the capacity of each instance, relative to the others."""
        capacities = {
            i.entry.instance: self._speeds.capacity(i.entry.instance) for i in instances
        }
        limits = {
            i.entry.instance: i.rate_limit.per_s
            for i in instances
            if i.rate_limit.is_limited
        }
        load = self._loads.get(service)
        total_per_s = load.rate_per_s(at_ms) if load and limits else 0.0
        return limit_capacities(capacities, limits, total_per_s)


def _may_keep_ranges(
    instance: Instance, zones_out: set[str], is_cut: bool, at_ms: float
) -> bool:
    """Returns whether an instance may keep its ranges.

    A granter that is cut off from all instances cannot tell which of them are lost.
    """
    if _is_leaving(instance, zones_out):
        return False
    return is_cut or not instance.is_unreachable(at_ms)


def _is_leaving(instance: Instance, zones_out: set[str]) -> bool:
    return instance.is_leaving or instance.entry.zone in zones_out
