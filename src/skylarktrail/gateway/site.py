"""What this daemon knows of its site, and the scheduler over it, behind one lock."""

from __future__ import annotations

import random
import threading
from typing import Callable, Iterable, NamedTuple

from ..config.gateway_settings import Bounds
from ..core.gateway.budget import RetryBudget
from ..core.gateway.fleet import Fleet, FleetChange
from ..core.gateway.model import Route, ServiceSpec, SiteConfig
from ..core.gateway.ranges import OwnedRange, OwnerTable, apply_changed_ranges
from ..core.gateway.routes import RouteTable, Splitter
from ..core.gateway.scheduler import Scheduler, SchedulerView, Ticket
from ..core.gateway.shared_state import SharedState
from ..peer.messages import (
    BusyInstance,
    GatewayLoad,
    InFlight,
    KeyCount,
    SpeedSample,
)
from .site_store import Listing, OperatorUpdate, SharedUpdate

NEW_OWNER_MS = 12.0  # A grant reaches its owner about when its record is read.
MOVING_MS = 600.0  # Longest time for which a move keeps its requests waiting.
LEFT_MS = 1000.0  # How long the next owner of a range is asked before its owner.
UNHELD_MS = 200.0  # How long an owner that does not hold a key is not asked again.
UNHELD_MAX = 4096


class SiteVersions(NamedTuple):
    """What a decision was based on, for the log.

    Attributes:
        config: Version of the configuration.
        listing: Position of the instances' entries.
        listing_age_ms: Time since they were read or told.
        term: Term of the granter whose owners are known.
    """

    config: int
    listing: int
    listing_age_ms: int
    term: int


class Site:
    """State of the site. Every public method takes the lock itself.

    Args:
        daemon: Name of this daemon.
        zone: Its availability zone.
        bounds: Bounds of the site.
        has_idle: Tells whether an idle connection to an instance is open.
    """

    def __init__(
        self,
        daemon: str,
        zone: str,
        bounds: Bounds,
        has_idle: Callable[[str], bool] = lambda instance: False,
    ) -> None:
        self._has_idle = has_idle
        self.daemon = daemon
        self.zone = zone
        self.lock = threading.RLock()
        self.fleet = Fleet()
        self.shared = SharedState()
        self.zones_out: dict[str, float] = {}
        self.table: RouteTable | None = None
        self._bounds = bounds
        self._splitter = Splitter()
        self._budgets: dict[str, RetryBudget] = {}
        self._unheld: dict[tuple[str, int], tuple[str, float]] = {}
        self._settling: dict[tuple[str, OwnedRange], float] = {}
        self._left: dict[tuple[str, OwnedRange], float] = {}
        self._now_ms = 0.0
        self._listing_position = -1
        self._listing_ms = 0.0
        self._key_counts: dict[tuple[str, int], int] = {}
        self.granter_listing_position = -1
        self.scheduler = Scheduler(self.fleet, self._view(), random.random)

    def take_listing(self, listing: Listing, now_ms: float) -> list[FleetChange]:
        """Takes the instances' entries; an older read than before is ignored."""
        with self.lock:
            if listing.position < self._listing_position:
                return []
            self._listing_position = listing.position
            self._listing_ms = now_ms
            changes = self.fleet.merge(listing.entries, now_ms)
            self._poll(now_ms)
            return changes

    def note_listing_failure(self, now_ms: float) -> None:
        """Says that the instances' entries could not be read."""
        with self.lock:
            self.fleet.record_store_outage(now_ms)

    def take_operators(
        self, update: OperatorUpdate, now_ms: float
    ) -> SiteConfig | None:
        """Takes the operators' wishes; returns a configuration that came into force."""
        with self.lock:
            self._take_zones(update, now_ms)
            config = self._take_config(update.config)
            self._poll(now_ms)
            return config

    def take_shared(self, update: SharedUpdate, now_ms: float) -> None:
        """Takes the daemons' shared records."""
        with self.lock:
            before = dict(self.shared.owners)
            self.shared.apply(update.records, update.is_whole)
            self._take_changes(before, now_ms)

    def take_owners(
        self, service: str, changed: Iterable[OwnedRange], now_ms: float
    ) -> None:
        """Takes what the latest record of a service's owners has changed."""
        with self.lock:
            before = dict(self.shared.owners)
            known = before.get(service, OwnerTable())
            self.shared.owners[service] = apply_changed_ranges(known, changed)
            self._take_changes(before, now_ms)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of a request."""
        with self.lock:
            return self.table.find(host, path) if self.table else None

    def choose_service(self, route: Route) -> str:
        """Returns the service that gets a request of the route, and counts it."""
        with self.lock:
            return self._splitter.choose(route, random.random())

    def service(self, name: str) -> ServiceSpec:
        """Returns what the operators declare of a service."""
        with self.lock:
            return self.scheduler.services.get(name, ServiceSpec(name))

    def submit(self, ticket: Ticket, now_ms: float) -> None:
        """Asks for an instance."""
        with self.lock:
            self._now_ms = now_ms
            self.scheduler.submit(ticket, now_ms)

    def poll(self, now_ms: float) -> None:
        """Decides waiting tickets."""
        with self.lock:
            self._poll(now_ms)

    def withdraw(self, ticket: Ticket, now_ms: float) -> None:
        """Gives up a ticket, decided or not."""
        with self.lock:
            self.scheduler.cancel(ticket)
            self.scheduler.release(ticket)
            self._poll(now_ms)

    def finish(self, ticket: Ticket, now_ms: float) -> None:
        """Ends the use of a ticket's instance."""
        with self.lock:
            self.scheduler.release(ticket)
            self._poll(now_ms)

    def note_unreached(self, instance: str, now_ms: float) -> None:
        """Notes that no connection to an instance could be made."""
        with self.lock:
            found = self.fleet.find(instance)
            if found is not None:
                found.suspend(now_ms)

    def note_unheld(
        self, service: str, key_hash: int, instance: str, now_ms: float
    ) -> None:
        """Notes that an instance does not hold a hash at the moment."""
        with self.lock:
            table = self.shared.owners.get(service)
            owned = table.find(key_hash) if table else None
            if owned is None:
                return
            if owned.next_owner and owned.owner == instance:
                self._left[(service, owned)] = now_ms + LEFT_MS
                return
            if len(self._unheld) >= UNHELD_MAX:
                self._unheld.clear()
            self._unheld[(service, key_hash)] = (instance, now_ms + UNHELD_MS)

    def note_key(self, service: str, key_hash: int) -> None:
        """Counts a request of a keyed service for the report of load."""
        with self.lock:
            key = (service, key_hash)
            self._key_counts[key] = self._key_counts.get(key, 0) + 1

    def take_report(self) -> GatewayLoad:
        """Returns what the granter is to know of the requests since the last call."""
        with self.lock:
            counts, self._key_counts = self._key_counts, {}
            keys = [KeyCount(*key, count) for key, count in counts.items()]
            speeds = [
                SpeedSample(name, *instance.pop_samples())
                for name, instance in self.fleet.instances.items()
                if instance.has_new_samples()
            ]
            in_flight = tuple(
                InFlight(name, instance.in_flight)
                for name, instance in self.fleet.instances.items()
                if instance.in_flight
            )
            return GatewayLoad(
                tuple(keys), tuple(speeds), in_flight, self.granter_listing_position
            )

    def apply_overloads(self, busy: Iterable[BusyInstance], now_ms: float) -> None:
        """Takes the granter's word on overloaded instances."""
        told = {item.instance: item for item in busy}
        with self.lock:
            for name, instance in self.fleet.instances.items():
                item = told.get(name)
                if item is None:
                    instance.record_not_overloaded()
                    continue
                instance.record_in_flight_total(item.count, now_ms)
                instance.record_admitted_part(item.admitted_part, now_ms)

    def slots(self) -> dict[str, int]:
        """Returns the slots of each instance."""
        with self.lock:
            return {n: i.entry.slots for n, i in self.fleet.instances.items()}

    def note_first(self, service: str, now_ms: float) -> None:
        """Counts a caller's request against the bound on repeats."""
        with self.lock:
            self._budget(service).record_first_attempt(now_ms)

    def take_repeat(self, service: str, now_ms: float) -> bool:
        """Counts a repeat if the bound allows one more."""
        with self.lock:
            return self._budget(service).try_acquire(now_ms)

    def versions(self, now_ms: float) -> SiteVersions:
        """Returns what decisions are based on at this moment."""
        with self.lock:
            return SiteVersions(
                self.table.config.version if self.table else 0,
                self._listing_position,
                round(now_ms - self._listing_ms),
                self.shared.granter.term,
            )

    def set_bounds(self, bounds: Bounds) -> None:
        """Takes other bounds."""
        with self.lock:
            self._bounds = bounds
            self._budgets.clear()

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            limits = self._bounds
            budget = RetryBudget(
                limits.repeat_window_s * 1000, limits.repeat_ratio, self._extra()
            )
            self._budgets[service] = budget
        return budget

    def _extra(self) -> float:
        """Returns this daemon's part of the repeats beyond the ratio."""
        return self._bounds.repeat_extra / 2 / max(4, len(self.shared.members))

    def _share_extra(self) -> None:
        for budget in self._budgets.values():
            budget.extra_retries = self._extra()

    def _poll(self, now_ms: float) -> None:
        self._now_ms = now_ms
        self.scheduler.poll(now_ms)

    def _take_zones(self, update: OperatorUpdate, now_ms: float) -> None:
        zones = {} if update.is_whole else dict(self.zones_out)
        for zone, is_out in update.zones.items():
            if is_out:
                zones[zone] = self.zones_out.get(zone, now_ms)
            else:
                zones.pop(zone, None)
        if zones != self.zones_out:
            self.zones_out = zones
            self.scheduler.view = self._view()

    def _take_config(self, config: SiteConfig | None) -> SiteConfig | None:
        if config is None:
            return None
        if self.table and config.version <= self.table.config.version:
            return None
        self.table = RouteTable(config)
        self.scheduler.services = config.services
        self._splitter.keep_only(config.routes)
        return config

    def _take_changes(self, before: dict[str, OwnerTable], now_ms: float) -> None:
        for service, table in self.shared.owners.items():
            self._note_new_owners(service, before.get(service), table, now_ms)
        self._share_extra()
        self.scheduler.view = self._view()
        self._poll(now_ms)

    def _note_new_owners(
        self, service: str, before: OwnerTable | None, after: OwnerTable, now_ms: float
    ) -> None:
        if before is None or before is after:
            return
        known = set(before.ranges)
        self._settling = {k: v for k, v in self._settling.items() if v > now_ms}
        self._left = {k: v for k, v in self._left.items() if v > now_ms}
        for owned in after.ranges:
            was = before.find(owned.first)
            is_same = (
                was is not None and was[2:] == owned[2:] and was.last >= owned.last
            )
            if owned not in known and not is_same:
                wait_ms = MOVING_MS if owned.next_owner else NEW_OWNER_MS
                self._settling[(service, owned)] = now_ms + wait_ms

    def _owner_of(self, service: str, key_hash: int) -> str:
        table = self.shared.owners.get(service)
        owned = table.find(key_hash) if table else None
        if owned is None:
            return ""
        if self._settling.get((service, owned), 0.0) > self._now_ms:
            return ""
        name, start_ms = owned.owner, owned.start_ms
        if self._left.get((service, owned), 0.0) > self._now_ms:
            name, start_ms = owned.next_owner, owned.next_start_ms
        unheld_by, until_ms = self._unheld.get((service, key_hash), ("", 0.0))
        if unheld_by == name and until_ms > self._now_ms:
            return ""
        instance = self.fleet.find(name)
        is_life = instance is not None and instance.entry.start_ms == start_ms
        return name if is_life else ""

    def _is_moving(self, service: str, key_hash: int) -> bool:
        """Tells whether a hash is about to get an owner.

        An owner that has vanished may keep its lease for seconds, so its hashes are
        not expected back soon.
        """
        table = self.shared.owners.get(service)
        if table is None:
            return False
        owned = table.find(key_hash)
        return owned is None or self.fleet.find(owned.owner) is not None

    def _view(self) -> SchedulerView:
        return SchedulerView(
            self._owner_of,
            self._is_moving,
            self._has_idle,
            dict(self.zones_out),
            frozenset(self.shared.members) | {self.daemon},
            self.daemon,
            self.zone,
        )
