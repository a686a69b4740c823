"""Periodic task that reads the entries of the instances from the store."""

from __future__ import annotations

from typing import Callable

from .clock import now_ms
from .connection_pool import ConnectionPool
from .event_log import EventLog
from .instance_log import log_instance_changes
from .messenger import Messenger
from .site_state import SiteState
from .site_store import Listing, SiteStore
from .store_monitor import StoreCallMonitor

# An instance must get no more requests 2 s after it announces its shutdown.
LISTING_INTERVAL_MS = 1000.0
# The granter reads for all daemons; its broadcast takes further time.
GRANTER_LISTING_INTERVAL_MS = 700.0
FOLLOWER_POLL_MS = 100.0
# A daemon that has just started expects a listing of the granter for this long.
SETTLE_MS = 1500.0


class InstanceWatcher:
    """Reads the instances' entries and, as granter, broadcasts their changes.

    Other daemons read the store only while the granter sends no listings.

    Attributes:
        has_listing: Whether a listing was read or received at least once.
    """

    def __init__(
        self,
        store: SiteStore,
        site: SiteState,
        connections: ConnectionPool,
        monitor: StoreCallMonitor,
        log: EventLog,
        messenger: Messenger,
        is_granter: Callable[[], bool],
    ) -> None:
        self._store = store
        self._site = site
        self._messenger = messenger
        self._is_granter = is_granter
        self._connections = connections
        self._monitor = monitor
        self._log = log
        self.has_listing = False
        self._settled_ms = 0.0

    def run_once(self) -> float:
        """Reads the entries unless the granter broadcasts them.

        Returns:
            Milliseconds until the next run.
        """
        is_granter = self._is_granter()
        if not is_granter and self._expects_listing():
            return FOLLOWER_POLL_MS
        started_ms = now_ms()
        read = self._store.read_instances()
        pause_ms = self._monitor.check(read)
        if pause_ms is not None:
            self._site.record_listing_failure(now_ms())
            return pause_ms
        self._apply(read.unwrap(), is_granter)
        if not is_granter and now_ms() < self._settled_ms:
            return FOLLOWER_POLL_MS
        interval_ms = GRANTER_LISTING_INTERVAL_MS if is_granter else LISTING_INTERVAL_MS
        return interval_ms - (now_ms() - started_ms)

    def _expects_listing(self) -> bool:
        """Returns whether a granter sends listings, or may soon do so."""
        if not self._messenger.expects_listings():
            return now_ms() < self._settled_ms
        self.has_listing = True
        self._connections.keep_only(set(self._site.fleet.instances))
        return True

    def _apply(self, listing: Listing, is_granter: bool) -> None:
        changes = self._site.apply_listing(listing, now_ms())
        log_instance_changes(self._log, changes, listing.position)
        if is_granter:
            self._messenger.broadcast_listing(listing)
        if changes:
            self._connections.keep_only(set(self._site.fleet.instances))
        if not self.has_listing:
            self._settled_ms = now_ms() + SETTLE_MS
        self.has_listing = True
