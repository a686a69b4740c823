"""Reads the operators' records: configuration and evacuated zones."""

from __future__ import annotations

from typing import Any, Callable

from result import Result

from ..errors.code import Fault
from .clock import now_ms
from .config_confirmer import ConfigConfirmer
from .event_log import EventLog
from .log_reader import BATCHING_PAUSE_MS, LogReader
from .messenger import Messenger
from .site_state import SiteState
from .site_store import OperatorUpdate, SiteStore
from .store_monitor import StoreCallMonitor


class OperatorWatcher(LogReader):
    """Reads the operators' records: configuration and evacuated zones.

    Args:
        confirmer: Is told of the reads that reach the end of the log; None for nobody.
    """

    log_name = "operators"

    def __init__(
        self,
        store: SiteStore,
        site: SiteState,
        monitor: StoreCallMonitor,
        log: EventLog,
        messenger: Messenger,
        is_granter: Callable[[], bool],
        confirmer: ConfigConfirmer | None = None,
    ) -> None:
        super().__init__(store, site, monitor, messenger, is_granter)
        self._log = log
        self._confirmer = confirmer
        self._is_following = True

    def _long_poll_ms(self) -> int:
        wait_ms = super()._long_poll_ms()
        return self._confirmer.limit_wait_ms(wait_ms) if self._confirmer else wait_ms

    def _expects_broadcasts(self) -> bool:
        expects = super()._expects_broadcasts()
        if expects != self._is_following:
            self._is_following = expects
            source = "granter" if expects else "store"
            self._log.state("config_source", source=source, position=self._position)
        return expects

    def _fetch(self, position: int | None, wait_ms: int) -> Result[Any, Fault]:
        return self._store.read_operators(position, wait_ms)

    def _apply_update(self, update: OperatorUpdate, told_by: str = "") -> None:
        self._position = update.position
        self._messenger.record_positions(None, update.position)
        for fault in update.faults:
            self._log.state("records_refused", fault=str(fault))
        config = self._site.apply_operators(update, now_ms())
        if config is not None:
            routes = len(config.routes)
            self._log.state(
                "config_in_force",
                version=config.version,
                routes=routes,
                customers=len(config.customers.customers),
                position=update.position,
                told_by=told_by,
            )
            if self._confirmer:
                self._confirmer.record_config()
        for zone, is_out in update.zones.items():
            self._log.state("zone_out" if is_out else "zone_back", zone=zone)

    def _apply_records(self, records: list[tuple[str, bytes]], position: int) -> bool:
        decoded = self._store.decode_operators(records, position)
        if decoded.is_err():
            self._log.state("records_refused", fault=str(decoded.unwrap_err()))
            return False
        self._apply_update(decoded.unwrap(), self._site.shared.granter.daemon)
        return True

    def _finish_read(
        self, update: OperatorUpdate, position: int | None, started_ms: float
    ) -> float:
        if self._confirmer:
            self._confirmer.record_read(update.position, started_ms)
        return BATCHING_PAUSE_MS if update.position != position else 0.0
