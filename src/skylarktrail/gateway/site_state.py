"""State of the site as known to this daemon, and its scheduler, behind one lock."""

from __future__ import annotations

import math
import random
import threading
from typing import Callable, Iterable, Mapping, NamedTuple

from ..config.gateway_settings import SiteBounds
from ..core.gateway.fleet import Fleet, FleetChange
from ..core.gateway.forward_targets import TargetProcess
from ..core.gateway.instance import Instance
from ..core.gateway.key_owners import KeyOwners
from ..core.gateway.leaving import LeavingNotice
from ..core.gateway.model import Route, ServiceSpec, SiteConfig
from ..core.gateway.positions import era_of
from ..core.gateway.ranges import OwnedRange, OwnerTable, apply_changed_ranges
from ..core.gateway.retry_budgets import RetryBudgets, RetryLimits
from ..core.gateway.routes import RouteTable, Splitter
from ..core.gateway.scheduler import Scheduler, SchedulerView
from ..core.gateway.service_load import ServiceLoads, sum_up_services
from ..core.gateway.shared_state import SharedState
from ..core.gateway.ticket import Ticket
from ..peer.gateway_messages import (
    GatewayLoad,
    InFlightCount,
    KeyRequestCount,
    OverloadedInstance,
    ResponseSample,
    ShedService,
)
from .site_store import Listing, OperatorUpdate, SharedUpdate

MIN_POLL_INTERVAL_MS = 10.0  # Half of the interval at which a waiting request polls.
# An evacuation that this daemon may have missed for longer counts from then on, so that
# with the grace of owners its zone gets no requests 5 s after the evacuation.
MAX_UNSEEN_MS = 2000.0


class SiteVersions(NamedTuple):
    """Versions of the data on which a decision was based, for the log.

    Attributes:
        config: Version of the configuration.
        listing: Position of the listing of instances.
        listing_age_ms: Time since the listing was read or received.
        term: Term of the current granter.
    """

    config: int
    listing: int
    listing_age_ms: int
    term: int


class SiteState:
    """State of the site; all public methods acquire the lock.

    Args:
        daemon: Name of this daemon.
        zone: Availability zone of this daemon.
        bounds: Bounds of the site.
        has_idle: Returns whether an idle connection to an instance is open.

    Attributes:
        lock: Protects all state of this object, its fleet and its scheduler.
        fleet: Instances of the site.
        shared: Records that the daemons share.
        zones_out: When each evacuated zone was evacuated, in milliseconds; minus
            infinity if it was before the start of this daemon.
        route_table: Routes of the configuration in force; None before the first.
        is_cut: Whether this daemon can open no connections to instances.
        granter_listing_position: Position of the last listing received from the
            granter; negative if there is none or a change was missed.
    """

    def __init__(
        self,
        daemon: str,
        zone: str,
        bounds: SiteBounds,
        has_idle: Callable[[str], bool] = lambda instance: False,
    ) -> None:
        self._has_idle = has_idle
        self.daemon = daemon
        self.zone = zone
        self.lock = threading.RLock()
        self.fleet = Fleet()
        self.shared = SharedState()
        self.zones_out: dict[str, float] = {}
        self.route_table: RouteTable | None = None
        self._splitter = Splitter()
        self._retry_budgets = RetryBudgets(_retry_limits(bounds))
        self._owners = KeyOwners(self.shared, self.fleet)
        self._polled_ms = -math.inf
        self._listing_position = -1
        self._listing_read_ms = 0.0
        self._key_counts: dict[tuple[str, int], int] = {}
        self.granter_listing_position = -1
        self.is_cut = False
        self._stop_ms = math.inf
        self._cut_daemons: frozenset[str] = frozenset()
        self.scheduler = Scheduler(self.fleet, self._view(), random.random)

    def apply_listing(self, listing: Listing, now_ms: float) -> list[FleetChange]:
        """Applies a listing unless it is older than the last; returns what changed."""
        with self.lock:
            if listing.position < self._listing_position:
                return []
            self._listing_position = listing.position
            self._listing_read_ms = now_ms
            changes = self.fleet.merge(listing.entries, now_ms)
            self._poll(now_ms)
            return changes

    def record_listing_failure(self, now_ms: float) -> None:
        """Records that the store could not be read."""
        with self.lock:
            self.fleet.record_store_outage(now_ms)

    def apply_operators(
        self, update: OperatorUpdate, now_ms: float, known_until_ms: float = math.inf
    ) -> SiteConfig | None:
        """Applies the operators' records; returns a new configuration.

        Args:
            update: The records.
            now_ms: The current time.
            known_until_ms: Until when the records before them are known to have been
                the newest; minus infinity if none were known.
        """
        with self.lock:
            self._apply_zones(update, min(now_ms, known_until_ms + MAX_UNSEEN_MS))
            config = self._apply_config(update.config)
            self._poll(now_ms)
            return config

    def apply_shared(self, update: SharedUpdate, now_ms: float) -> None:
        """Applies the daemons' shared records."""
        with self.lock:
            before = dict(self.shared.owners)
            era = era_of(update.position)
            self.shared.apply(update.records, update.is_snapshot, era)
            self._on_owners_changed(before, now_ms)

    def apply_owner_changes(
        self, service: str, changed: Iterable[OwnedRange], now_ms: float
    ) -> None:
        """Applies the ranges that the latest record of a service's owners changed."""
        with self.lock:
            before = dict(self.shared.owners)
            known = before.get(service, OwnerTable())
            self.shared.record_owners(service, apply_changed_ranges(known, changed))
            self._on_owners_changed(before, now_ms)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of a request."""
        with self.lock:
            return self.route_table.find(host, path) if self.route_table else None

    def choose_service(self, route: Route) -> str:
        """Chooses a service of the route by weight and counts the request."""
        with self.lock:
            return self._splitter.choose(route, random.random())

    def service(self, name: str) -> ServiceSpec:
        """Returns the configuration of a service, or defaults if there is none."""
        with self.lock:
            return self.scheduler.services.get(name, ServiceSpec(name))

    def submit(self, ticket: Ticket, now_ms: float) -> None:
        """Submits a ticket to the scheduler."""
        with self.lock:
            self._owners.now_ms = now_ms
            self.scheduler.submit(ticket, now_ms)

    def poll(self, now_ms: float) -> None:
        """Lets the scheduler decide waiting tickets, unless it has just done so.

        Each waiting request calls this, and each call decides all of them.
        """
        with self.lock:
            if now_ms - self._polled_ms >= MIN_POLL_INTERVAL_MS:
                self._poll(now_ms)

    def cancel(self, ticket: Ticket, now_ms: float) -> None:
        """Cancels a ticket, whether it is decided or not."""
        with self.lock:
            self.scheduler.cancel(ticket)
            self.scheduler.release(ticket)
            self._poll(now_ms)

    def finish(self, ticket: Ticket, now_ms: float) -> None:
        """Releases the instance of a ticket after an attempt."""
        with self.lock:
            self.scheduler.release(ticket)
            self._poll(now_ms)

    def find_instance(self, instance: str) -> Instance | None:
        """Returns an instance, if it is listed."""
        with self.lock:
            return self.fleet.find(instance)

    def record_leaving(self, notice: LeavingNotice, now_ms: float) -> bool:
        """Records that an instance says that it leaves; returns whether it is new."""
        with self.lock:
            is_new = self.fleet.record_leaving(notice, now_ms)
            if is_new:
                self._poll(now_ms)
            return is_new

    def leaving_notices(self) -> list[LeavingNotice]:
        """Returns the notices of the listed instances that say that they leave."""
        with self.lock:
            return self.fleet.leaving_notices()

    def record_unreachable(self, instance: str, now_ms: float) -> None:
        """Records that a connection to an instance failed."""
        with self.lock:
            found = self.fleet.find(instance)
            if found is not None:
                found.suspend(now_ms)

    def record_unheld_key(
        self, service: str, key_hash: int, instance: str, now_ms: float
    ) -> None:
        """Records that an instance reports that it does not hold a key hash."""
        with self.lock:
            self._owners.record_unheld_key(service, key_hash, instance, now_ms)

    def record_held_key(self, service: str, key_hash: int) -> None:
        """Records that the owner of a key hash has answered a request for it."""
        with self.lock:
            self._owners.record_held_key(service, key_hash)

    def count_key(self, service: str, key_hash: int) -> None:
        """Counts a request for a key hash, for the load report."""
        with self.lock:
            key = (service, key_hash)
            self._key_counts[key] = self._key_counts.get(key, 0) + 1

    def make_load_report(self) -> GatewayLoad:
        """Returns the load report of the requests since the last call."""
        with self.lock:
            counts, self._key_counts = self._key_counts, {}
            key_counts = [KeyRequestCount(*key, count) for key, count in counts.items()]
            samples = [
                ResponseSample(name, *instance.pop_samples())
                for name, instance in self.fleet.instances.items()
                if instance.has_new_samples()
            ]
            in_flight = tuple(
                InFlightCount(name, instance.in_flight)
                for name, instance in self.fleet.instances.items()
                if instance.in_flight
            )
            return GatewayLoad(
                tuple(key_counts),
                tuple(samples),
                in_flight,
                self.granter_listing_position,
            )

    def apply_overloads(
        self, busy: Iterable[OverloadedInstance], now_ms: float
    ) -> None:
        """Applies the granter's broadcast of overloaded instances."""
        overloads = {item.instance: item for item in busy}
        with self.lock:
            for name, instance in self.fleet.instances.items():
                item = overloads.get(name)
                if item is None:
                    instance.record_not_overloaded()
                    continue
                instance.record_in_flight_total(item.in_flight_count, now_ms)
                instance.record_admitted_part(min(1.0, item.admitted_part), now_ms)

    def apply_service_shedding(
        self, services: Iterable[ShedService], now_ms: float
    ) -> None:
        """Applies the granter's broadcast of services that are admitted in part."""
        parts = {name: min(1.0, part) for name, part in services}
        with self.lock:
            self.scheduler.service_shedding.record(parts, now_ms)

    def admitted_parts(self, now_ms: float) -> dict[str, float]:
        """Returns the admitted fraction of each service without keys."""
        with self.lock:
            shedding = self.scheduler.service_shedding
            return {
                name: shedding.admitted_part(name, now_ms)
                for name, spec in self.scheduler.services.items()
                if not spec.is_keyed
            }

    def deferrable_count(self, now_ms: float) -> int:
        """Returns how many waiting requests leave slots free for urgent ones."""
        with self.lock:
            return self.scheduler.deferrable_count(now_ms)

    def service_loads(self, in_flight: Mapping[str, int]) -> ServiceLoads:
        """Returns the load of the services by the in-flight requests at instances."""
        with self.lock:
            return sum_up_services(
                self.fleet.instances.values(),
                self.scheduler.services,
                self.zones_out,
                in_flight,
            )

    def slots(self) -> dict[str, int]:
        """Returns the number of slots of each instance."""
        with self.lock:
            return {n: i.entry.slots for n, i in self.fleet.instances.items()}

    def record_first_attempt(self, service: str, now_ms: float) -> None:
        """Counts a caller's request, which adds to the retry budget."""
        with self.lock:
            self._retry_budgets.record_first_attempt(service, now_ms)

    def try_acquire_retry(self, service: str, now_ms: float) -> bool:
        """Counts a retry and returns True if the retry budget allows one more."""
        with self.lock:
            return self._retry_budgets.try_acquire(service, now_ms)

    def forward_targets(self) -> dict[str, TargetProcess]:
        """Returns the other daemons that accept forwarded requests."""
        with self.lock:
            members = self.shared.members
            return {
                name: TargetProcess(*target, members[name].process)
                for name, target in self.shared.forward_targets.items()
                if name in members and name != self.daemon
            }

    def set_cut(self, is_cut: bool, now_ms: float) -> bool:
        """Records whether this daemon is cut off; returns whether that changed."""
        with self.lock:
            if self.is_cut == is_cut:
                return False
            self.is_cut = is_cut
            self.scheduler.view = self._view()
            for instance in self.fleet.instances.values():
                instance.end_suspension()
            self._poll(now_ms)
            return True

    def set_stop(self, stop_ms: float, now_ms: float) -> None:
        """Records when this daemon stops; refuses what it could not complete."""
        with self.lock:
            self._stop_ms = stop_ms
            self.scheduler.view = self._view()
            self._poll(now_ms)

    def set_cut_daemons(self, names: set[str]) -> None:
        """Records which other daemons are cut off from the instances."""
        with self.lock:
            if names != self._cut_daemons:
                self._cut_daemons = frozenset(names)
                self.scheduler.view = self._view()

    def list_instances_by_distance(self) -> tuple[list[str], list[str]]:
        """Returns the listed instances of this daemon's zone, and all others."""
        with self.lock:
            instances = self.fleet.instances.values()
            near = [i.entry.instance for i in instances if i.entry.zone == self.zone]
            far = [i.entry.instance for i in instances if i.entry.zone != self.zone]
            return near, far

    def addresses(self, instances: Iterable[str]) -> dict[str, str]:
        """Returns the addresses of those instances that are listed."""
        with self.lock:
            found = {name: self.fleet.find(name) for name in instances}
            return {name: i.entry.address for name, i in found.items() if i}

    def oldest_request_ages_ms(self, now_ms: float) -> list[float]:
        """Returns the age of the oldest request at each instance that has one."""
        with self.lock:
            instances = self.fleet.instances.values()
            return [i.oldest_request_age_ms(now_ms) for i in instances if i.in_flight]

    def listing_age_ms(self, now_ms: float) -> float:
        """Returns the time since the listing of instances was read or received."""
        with self.lock:
            return now_ms - self._listing_read_ms

    def versions(self, now_ms: float) -> SiteVersions:
        """Returns the versions on which decisions are based now."""
        with self.lock:
            return SiteVersions(
                self.route_table.config.version if self.route_table else 0,
                self._listing_position,
                round(self.listing_age_ms(now_ms)),
                self.shared.granter.term,
            )

    def set_bounds(self, bounds: SiteBounds) -> None:
        """Replaces the bounds and resets the retry budgets."""
        with self.lock:
            self._retry_budgets.set_limits(_retry_limits(bounds))

    def decide_waiting(self, now_ms: float) -> None:
        """Lets the scheduler decide waiting tickets after a change."""
        with self.lock:
            self._poll(now_ms)

    def _poll(self, now_ms: float) -> None:
        self._owners.now_ms = now_ms
        self._polled_ms = now_ms
        self.scheduler.poll(now_ms)

    def _apply_zones(self, update: OperatorUpdate, out_ms: float) -> None:
        zones = {} if update.is_snapshot else dict(self.zones_out)
        for zone, is_out in update.zones.items():
            if is_out:
                zones[zone] = self.zones_out.get(zone, out_ms)
            else:
                zones.pop(zone, None)
        if zones != self.zones_out:
            self.zones_out = zones
            self.scheduler.view = self._view()

    def _apply_config(self, config: SiteConfig | None) -> SiteConfig | None:
        if config is None:
            return None
        if self.route_table and config.version <= self.route_table.config.version:
            return None
        self.route_table = RouteTable(config)
        self.scheduler.services = config.services
        self._splitter.keep_only(config.routes)
        return config

    def _on_owners_changed(self, before: dict[str, OwnerTable], now_ms: float) -> None:
        for service, table in self.shared.owners.items():
            self._owners.record_owners(service, before.get(service), table, now_ms)
        self._retry_budgets.set_daemon_count(len(self.shared.members))
        self.scheduler.view = self._view()
        self._poll(now_ms)

    def _view(self) -> SchedulerView:
        return SchedulerView(
            self._owners.find,
            self._owners.is_moving,
            self._has_idle,
            dict(self.zones_out),
            frozenset(self.shared.members) | {self.daemon},
            self.daemon,
            self.zone,
            self.is_cut,
            len(self._cut_daemons & set(self.shared.members)),
            self._owners.missing_ms,
            self._stop_ms,
        )


def _retry_limits(bounds: SiteBounds) -> RetryLimits:
    window_ms = bounds.repeat_window_s * 1000
    return RetryLimits(window_ms, bounds.repeat_ratio, bounds.repeat_extra)
