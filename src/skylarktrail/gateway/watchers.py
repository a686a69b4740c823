"""Periodic tasks that read the store, renew the candidacy and report load."""

from __future__ import annotations

import threading
from typing import Any, Callable, Sequence

from result import Result

from ..core.gateway.forward_targets import ForwardTarget
from ..core.gateway.ranges import OwnedRange, OwnerTable, changed_ranges
from ..core.gateway.shared_state import (
    FORWARD_PREFIX,
    MEMBER_PREFIX,
    Member,
    encode_forward_target,
    encode_member,
)
from ..errors import platform as codes
from ..errors.code import Fault
from ..peer.gateway_messages import GatewayRecords
from .clock import now_ms
from .connection_pool import ConnectionPool
from .event_log import EventLog
from .messenger import Messenger
from .metrics import GatewayMetrics
from .site_state import SiteState
from .site_store import OperatorUpdate, SharedUpdate, SiteStore

# An instance must get no more requests 2 s after it announces its shutdown.
LISTING_INTERVAL_MS = 1000.0
# The granter reads for all daemons; its broadcast takes further time.
GRANTER_LISTING_INTERVAL_MS = 700.0
FOLLOWER_POLL_MS = 100.0
# How often a daemon that waits for new records checks that the granter is alive.
FOLLOWER_WAIT_MS = 300.0
# A site tolerates disruptions of up to 3 s. A read on a dead connection ends sooner:
# after this wait and the store's response timeout.
LONG_POLL_MS = 2000
# Without a pause, each record would wake every reader while all daemons of a site start
# or operators publish a series of versions. A configuration has to be in force within
# 2 s.
BATCHING_PAUSE_MS = 400.0
TERM_CONFIRM_INTERVAL_MS = 1000  # How often the granter reads to confirm its term.
FAILURE_BACKOFF_MS = 250.0  # The store counts refused calls against its limits too.
# Together with the store's response timeout this stays below the 3 s named above.
MAX_FAILURE_BACKOFF_MS = 1500.0
STORE_LOST_FAILURES = 2  # A single call may fail although the store is available.
CANDIDACY_INTERVAL_MS = 600.0
# How often a daemon that is no candidate checks that the granter is alive. Leases end
# about 2 s after a granter is lost.
CANDIDACY_POLL_MS = 200.0
CANDIDACY_TTL_MS = 1500  # A lost candidate is replaced after this time.
# The granter sends records to each daemon over its own network link, which may have a
# hundredth of the store's bandwidth.
MAX_BROADCAST_BYTES = 16 << 10
UNKNOWN_POSITION = -1  # Follows no known position, so that receivers read the store.
LOAD_REPORT_INTERVAL_MS = 250.0  # Queues of instances fill and drain within 0.5 s.
# Limits the granter to 500 reports a second, whatever the number of daemons.
LOAD_REPORT_MEMBER_INTERVAL_MS = 2.0


class StoreCallMonitor:
    """Counts calls to the store, logs outages and computes the backoff.

    Args:
        name: Name of the call in the log and the metrics.
        log: Receives a line when calls begin to fail and when they succeed again.
        metrics: Counts the calls.
    """

    def __init__(self, name: str, log: EventLog, metrics: GatewayMetrics) -> None:
        self._name = name
        self._log = log
        self._metrics = metrics
        self._failure_count = 0
        self._failing_since_ms = 0.0

    @property
    def is_failing(self) -> bool:
        """Returns whether the last call failed; a log read then does not wait."""
        return self._failure_count > 0

    @property
    def failure_count(self) -> int:
        """Returns the number of consecutive failed calls."""
        return self._failure_count

    def check(self, result: Result[Any, Fault]) -> float | None:
        """Records the result of a call.

        Returns:
            Milliseconds to wait after a failure; None after a success.
        """
        if result.is_ok():
            self._metrics.count("store_calls", self._name, "done")
            if self._failure_count:
                lost_ms = round(now_ms() - self._failing_since_ms)
                self._log.state("store_regained", call=self._name, lost_ms=lost_ms)
            self._failure_count = 0
            return None
        fault = result.unwrap_err()
        self._metrics.count("store_calls", self._name, fault.code.name)
        if not self._failure_count:
            self._failing_since_ms = now_ms()
            self._log.state("store_lost", call=self._name, fault=str(fault))
        self._failure_count += 1
        return min(MAX_FAILURE_BACKOFF_MS, FAILURE_BACKOFF_MS * self._failure_count)


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

    def run_once(self) -> float:
        """Reads the entries unless the granter broadcasts them.

        Returns:
            Milliseconds until the next run.
        """
        if not self._is_granter() and self._messenger.is_granter_alive():
            self.has_listing = True
            self._connections.keep_only(set(self._site.fleet.instances))
            return FOLLOWER_POLL_MS
        started_ms = now_ms()
        read = self._store.read_instances()
        pause_ms = self._monitor.check(read)
        if pause_ms is not None:
            self._site.record_listing_failure(now_ms())
            return pause_ms
        listing = read.unwrap()
        changes = self._site.apply_listing(listing, now_ms())
        for change in changes:
            self._log.state(
                "instance_" + change.change,
                instance=change.instance,
                service=change.service,
                position=listing.position,
            )
        if changes:
            self._connections.keep_only(set(self._site.fleet.instances))
        self.has_listing = True
        if not self._is_granter():
            return LISTING_INTERVAL_MS - (now_ms() - started_ms)
        self._messenger.broadcast_listing(listing)
        return GRANTER_LISTING_INTERVAL_MS - (now_ms() - started_ms)


class LogReader:
    """Reads a log of the store and, as granter, broadcasts its records.

    While the granter is alive, other daemons read only if it has reached a later
    position and they did not receive the records.

    Args:
        store: Store client; used only by this reader's thread.
        site: State of the site.
        monitor: Counts the reads.
        messenger: Sends messages to the other daemons.
        is_granter: Returns whether this daemon is the granter.

    Attributes:
        log_name: Name of the log in broadcasts.
    """

    log_name = ""

    def __init__(
        self,
        store: SiteStore,
        site: SiteState,
        monitor: StoreCallMonitor,
        messenger: Messenger,
        is_granter: Callable[[], bool],
    ) -> None:
        self._store = store
        self._site = site
        self._monitor = monitor
        self._messenger = messenger
        self._is_granter = is_granter
        self._position: int | None = None
        self._wakeup = threading.Event()
        self._lock = threading.Lock()

    def run_once(self) -> float:
        """Reads once if needed; returns the milliseconds until the next run."""
        if self._position is not None and self._messenger.is_granter_alive():
            if not self._wakeup.wait(FOLLOWER_WAIT_MS / 1000):
                return 0.0
            return self._read(0)
        return self._read(0 if self._monitor.is_failing else LONG_POLL_MS)

    def record_granter_position(self, position: int) -> None:
        """Triggers a read if the granter has reached a later position."""
        if self._position is None or position > self._position:
            self._wakeup.set()

    def apply_broadcast(self, message: GatewayRecords) -> None:
        """Applies broadcast records; triggers a read if earlier ones are missing."""
        records = [(item.key, item.value) for item in message.records]
        with self._lock:
            is_next = self._position == message.base
            if is_next and self._apply_records(records, message.position):
                return
        self.record_granter_position(message.position)

    def _read(self, wait_ms: int) -> float:
        """Reads once, waiting for new records; returns the pause until the next run."""
        self._wakeup.clear()
        started_ms = now_ms()
        position = self._position
        read = self._fetch(position, wait_ms)
        pause_ms = self._record_read_result(read)
        if pause_ms is not None:
            return pause_ms
        update = read.unwrap()
        is_applied = self._apply_read(update, position)
        if self._is_granter() and position is not None and update.records:
            self._broadcast(update, position)
        if not is_applied:
            self._wakeup.set()
            return 0.0
        return self._finish_read(update, position, started_ms)

    def _apply_read(self, update: Any, position: int | None) -> bool:
        """Applies a read from a position unless a broadcast has moved on meanwhile.

        Returns:
            Whether all records of the read are applied now.
        """
        with self._lock:
            if self._position == position:
                self._apply_update(update)
            return self._position is not None and self._position >= update.position

    def _broadcast(self, update: Any, position: int) -> None:
        """Broadcasts records, or only their position if they are too large."""
        size_bytes = sum(len(value) for _, value in update.records)
        records = update.records if size_bytes <= MAX_BROADCAST_BYTES else ()
        base = position if records else UNKNOWN_POSITION
        self._messenger.broadcast_records(self.log_name, base, update.position, records)

    def _fetch(self, position: int | None, wait_ms: int) -> Result[Any, Fault]:
        raise NotImplementedError

    def _apply_update(self, update: Any) -> None:
        raise NotImplementedError

    def _apply_records(self, records: list[tuple[str, bytes]], position: int) -> bool:
        """Applies records that follow the last; returns False if they are invalid."""
        raise NotImplementedError

    def _finish_read(
        self, update: Any, position: int | None, started_ms: float
    ) -> float:
        """Completes a read from a position; returns the pause until the next run."""
        raise NotImplementedError

    def _record_read_result(self, read: Result[Any, Fault]) -> float | None:
        """Records the result of a read; returns the backoff after a failure.

        A position that does not exist any more is no failure of the store: a snapshot
        is read next.
        """
        if read.is_err() and read.unwrap_err().code is codes.STORE_TRIMMED:
            self._position = None
            self._wakeup.set()
            return 0.0
        pause_ms = self._monitor.check(read)
        if pause_ms is not None:
            self._wakeup.set()
        return pause_ms


class OperatorWatcher(LogReader):
    """Reads the operators' records: configuration and evacuated zones."""

    log_name = "operators"

    def __init__(
        self,
        store: SiteStore,
        site: SiteState,
        monitor: StoreCallMonitor,
        log: EventLog,
        messenger: Messenger,
        is_granter: Callable[[], bool],
    ) -> None:
        super().__init__(store, site, monitor, messenger, is_granter)
        self._log = log

    def _fetch(self, position: int | None, wait_ms: int) -> Result[Any, Fault]:
        return self._store.read_operators(position, wait_ms)

    def _apply_update(self, update: OperatorUpdate) -> None:
        self._position = update.position
        self._messenger.record_positions(None, update.position)
        config = self._site.apply_operators(update, now_ms())
        if config is not None:
            routes = len(config.routes)
            self._log.state("config_in_force", version=config.version, routes=routes)
        for zone, is_out in update.zones.items():
            self._log.state("zone_out" if is_out else "zone_back", zone=zone)

    def _apply_records(self, records: list[tuple[str, bytes]], position: int) -> bool:
        decoded = self._store.decode_operators(records, position)
        if decoded.is_err():
            self._log.state("records_refused", fault=str(decoded.unwrap_err()))
            return False
        self._apply_update(decoded.unwrap())
        return True

    def _finish_read(
        self, update: OperatorUpdate, position: int | None, started_ms: float
    ) -> float:
        return BATCHING_PAUSE_MS if update.position != position else 0.0


class SharedWatcher(LogReader):
    """Reads the daemons' shared records and registers this daemon as a member.

    Args:
        member: Record of this daemon.
        forward_target: Where this daemon accepts forwarded requests; None if it does
            not.
        on_read: Called with the position reached and the time when the read began.
        on_broadcast: Called with the position that broadcast records reached.
        is_candidate: Returns whether the store chose this daemon as next granter.
        on_store_lost: Called after each failed read of the granter from the
            `STORE_LOST_FAILURES`th consecutive one on.
    """

    log_name = "shared"

    def __init__(
        self,
        store: SiteStore,
        site: SiteState,
        member: Member,
        forward_target: ForwardTarget | None,
        monitor: StoreCallMonitor,
        on_read: Callable[[int, float], None],
        on_broadcast: Callable[[int], None],
        is_granter: Callable[[], bool],
        is_candidate: Callable[[], bool],
        messenger: Messenger,
        on_store_lost: Callable[[], None],
    ) -> None:
        super().__init__(store, site, monitor, messenger, is_granter)
        self._on_store_lost = on_store_lost
        self._member = member
        self._forward_target = forward_target
        self._on_read = on_read
        self._on_broadcast = on_broadcast
        self._is_candidate = is_candidate

    def run_once(self) -> float:
        """Reads once if needed; the granter reads each second to confirm its term."""
        if self._is_granter():
            self._wakeup.wait(TERM_CONFIRM_INTERVAL_MS / 1000)
            return self._read(0)
        return super().run_once()

    def trigger_read(self) -> None:
        """Starts the next read at once."""
        self._wakeup.set()

    def _record_read_result(self, read: Result[Any, Fault]) -> float | None:
        pause_ms = super()._record_read_result(read)
        if self._is_granter() and self._monitor.failure_count >= STORE_LOST_FAILURES:
            self._on_store_lost()
        return pause_ms

    def apply_written_owners(
        self, service: str, ranges: Sequence[OwnedRange], position: int
    ) -> list[OwnedRange] | None:
        """Applies owners that this daemon has written.

        Args:
            service: Name of the service.
            ranges: All owners of the service.
            position: Position of the record.

        Returns:
            The ranges that the record changed. None if it was read already, or earlier
            records are missing: then the broadcast of the read has it.
        """
        with self._lock:
            if self._position != position:
                self._wakeup.set()
                return None
            before = self._site.shared.owners.get(service, OwnerTable())
            changed = changed_ranges(before, OwnerTable(ranges))
            self._advance(position + 1)
            self._site.apply_owner_changes(service, changed, now_ms())
            return changed

    def apply_owner_changes(
        self, service: str, changed: Sequence[OwnedRange], position: int
    ) -> None:
        """Applies a broadcast change of owners.

        Args:
            service: Name of the service.
            changed: Ranges that the record changed.
            position: Position of the record; triggers a read if earlier records are
                missing.
        """
        with self._lock:
            if self._position == position:
                self._advance(position + 1)
                self._site.apply_owner_changes(service, changed, now_ms())
                self._on_broadcast(position + 1)
                return
            is_known = self._position is not None and self._position > position
        if not is_known:
            self._wakeup.set()

    def _fetch(self, position: int | None, wait_ms: int) -> Result[Any, Fault]:
        return self._store.read_shared(position, wait_ms)

    def _advance(self, position: int) -> None:
        self._position = position
        self._messenger.record_positions(position, None)

    def _apply_update(self, update: SharedUpdate) -> None:
        self._advance(update.position)
        self._site.apply_shared(update, now_ms())

    def _apply_records(self, records: list[tuple[str, bytes]], position: int) -> bool:
        self._apply_update(SharedUpdate(records, False, position))
        self._on_broadcast(position)
        return True

    def _finish_read(
        self, update: SharedUpdate, position: int | None, started_ms: float
    ) -> float:
        self._on_read(update.position, started_ms)
        self._register_member()
        is_urgent = self._is_granter() or self._is_candidate()
        return BATCHING_PAUSE_MS if update.records and not is_urgent else 0.0

    def _register_member(self) -> None:
        """Writes the records of this daemon that the store does not have yet."""
        name, shared = self._site.daemon, self._site.shared
        if shared.members.get(name) != self._member:
            self._write(MEMBER_PREFIX + name, encode_member(self._member))
        target = self._forward_target
        if target is not None and shared.forward_targets.get(name) != target:
            self._write(FORWARD_PREFIX + name, encode_forward_target(target))

    def _write(self, key: str, value: bytes) -> None:
        self._monitor.check(self._store.share(key, value, None))


class CandidacyRenewer:
    """Renews this daemon's candidacy for the granter role.

    Args:
        store: Store client; used only by this task's thread.
        site: State of the site.
        is_eligible: Returns whether this daemon may become granter.
        monitor: Counts the calls.
        on_candidate: Called with whether the store chose this daemon as next granter.

    Attributes:
        is_candidate: Whether the store chose this daemon at the last renewal.
    """

    def __init__(
        self,
        store: SiteStore,
        site: SiteState,
        is_eligible: Callable[[], bool],
        monitor: StoreCallMonitor,
        on_candidate: Callable[[bool], None],
    ) -> None:
        self._store = store
        self._site = site
        self._is_eligible = is_eligible
        self._monitor = monitor
        self._on_candidate = on_candidate
        self._is_withdrawn = False
        self.is_candidate = False

    def run_once(self) -> float:
        """Renews the candidacy if eligible; returns the pause until the next run."""
        if self._is_withdrawn or not (
            self._has_keyed_service() and self._is_eligible()
        ):
            self.is_candidate = False
            return CANDIDACY_POLL_MS
        renewed = self._store.renew_candidacy(self._site.daemon, CANDIDACY_TTL_MS)
        pause_ms = self._monitor.check(renewed)
        if pause_ms is not None:
            return pause_ms
        self.is_candidate = renewed.unwrap()
        self._on_candidate(self.is_candidate)
        return CANDIDACY_INTERVAL_MS

    def withdraw(self) -> None:
        """Withdraws the candidacy for good, so that another daemon is chosen."""
        self._is_withdrawn = True
        self._monitor.check(self._store.withdraw_candidacy(self._site.daemon))

    def _has_keyed_service(self) -> bool:
        services = self._site.scheduler.services.values()
        return any(service.is_keyed for service in services)


class LoadReporter:
    """Sends this daemon's load reports to the granter."""

    def __init__(self, messenger: Messenger, site: SiteState) -> None:
        self._messenger = messenger
        self._site = site

    def run_once(self) -> float:
        """Sends one report; returns the milliseconds until the next."""
        self._messenger.update_peers()
        self._messenger.send_load_report()
        members = len(self._site.shared.members)
        return max(LOAD_REPORT_INTERVAL_MS, LOAD_REPORT_MEMBER_INTERVAL_MS * members)
