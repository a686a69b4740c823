"""Reads the daemons' shared records and registers this daemon as a member."""

from __future__ import annotations

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
from ..errors.code import Fault
from .clock import now_ms
from .log_reader import BATCHING_PAUSE_MS, LogReader
from .messenger import Messenger
from .site_state import SiteState
from .site_store import SharedUpdate, SiteStore
from .store_monitor import StoreCallMonitor

TERM_CONFIRM_INTERVAL_MS = 1000  # How often the granter reads to confirm its term.
STORE_LOST_FAILURES = 2  # A single call may fail although the store is available.


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

    def _expects_broadcasts(self) -> bool:
        if self._is_candidate():
            return self._messenger.is_granter_alive()
        return super()._expects_broadcasts()

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
            is_base_known = not self._site.shared.are_owners_uncertain(service)
            if self._position == position and is_base_known:
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
        if self._own_keys() & self._site.shared.uncertain_keys:
            self._wakeup.set()  # A read registers this daemon again.
        return True

    def _finish_read(
        self, update: SharedUpdate, position: int | None, started_ms: float
    ) -> float:
        self._on_read(update.position, started_ms)
        self._messenger.apply_early_listing()
        self._register_member()
        is_urgent = self._is_granter() or self._is_candidate()
        return BATCHING_PAUSE_MS if update.records and not is_urgent else 0.0

    def _own_keys(self) -> set[str]:
        name = self._site.daemon
        return {MEMBER_PREFIX + name, FORWARD_PREFIX + name}

    def _register_member(self) -> None:
        """Writes the records of this daemon that the store does not have yet."""
        name, shared = self._site.daemon, self._site.shared
        records = []
        is_malformed = bool(self._own_keys() & shared.uncertain_keys)
        if is_malformed or shared.members.get(name) != self._member:
            records.append((MEMBER_PREFIX + name, encode_member(self._member)))
        target = self._forward_target
        is_known = shared.forward_targets.get(name) == target and not is_malformed
        if target is not None and not is_known:
            records.append((FORWARD_PREFIX + name, encode_forward_target(target)))
        if records:
            self._monitor.check(self._store.share_all(records))
