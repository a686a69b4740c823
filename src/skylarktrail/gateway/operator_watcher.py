"""Reads the operators' records: configuration and evacuated zones."""

from __future__ import annotations

from typing import Any, Callable

from result import Result

from ..core.gateway.granter_reads import GranterReads
from ..core.gateway.positions import era_of
from ..errors.code import Fault
from ..peer.config_messages import GatewayConfigConfirmed
from ..peer.hub import Responder
from .clock import now_ms
from .config_confirmer import ConfigConfirmer
from .event_log import EventLog
from .log_reader import BATCHING_PAUSE_MS, FOLLOWER_WAIT_MS, LogReader
from .messenger import Messenger
from .site_state import SiteState
from .site_store import OperatorUpdate, SiteStore
from .store_monitor import StoreCallMonitor

# The granter reports each read to the other daemons, which rely on its broadcasts for
# more than twice this time.
GRANTER_POLL_MS = 500


class OperatorWatcher(LogReader):
    """Reads the operators' records: configuration and evacuated zones.

    Other daemons rely on the granter's broadcasts as long as it reports reads of this
    log. Else they read the store themselves.

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
        self._granter_reads = GranterReads()
        self._is_following = True
        messenger.add_handler(GatewayConfigConfirmed, self._handle_granter_read)

    def _long_poll_ms(self) -> int:
        wait_ms = GRANTER_POLL_MS if self._is_granter() else super()._long_poll_ms()
        return self._confirmer.limit_wait_ms(wait_ms) if self._confirmer else wait_ms

    def _broadcast_wait_ms(self) -> float:
        wait_ms = 0.0 if self._is_granter() else self._relied_on_ms()
        is_following = wait_ms > 0
        if is_following != self._is_following:
            self._is_following = is_following
            source = "granter" if is_following else "store"
            self._log.state("config_source", source=source, position=self._position)
        return min(FOLLOWER_WAIT_MS, wait_ms)

    def _relied_on_ms(self) -> float:
        """Returns for how long the granter's broadcasts are relied on."""
        if self._is_settling():
            return FOLLOWER_WAIT_MS
        return self._granter_reads.relied_on_ms(now_ms())

    def _handle_granter_read(
        self, daemon: str, message: GatewayConfigConfirmed, _: Responder
    ) -> None:
        """Handles the report of a read to the end of the operators' log."""
        applied_position = self.applied_position()
        is_earlier_era = era_of(message.position) < era_of(applied_position)
        if is_earlier_era or not self._messenger.is_granter_daemon(daemon):
            return
        read_ms = now_ms() - message.age_ms
        self._granter_reads.record(read_ms)
        if applied_position >= message.position:
            self._known_until_ms = max(self._known_until_ms, read_ms)
        self.record_granter_position(message.position)

    def _fetch(self, position: int | None, wait_ms: int) -> Result[Any, Fault]:
        return self._store.read_operators(position, wait_ms)

    def _apply_update(self, update: OperatorUpdate, told_by: str = "") -> None:
        self._position = update.position
        self._messenger.record_positions(None, update.position)
        for fault in update.faults:
            self._log.state("records_refused", fault=str(fault))
        config = self._site.apply_operators(update, now_ms(), self._known_until_ms)
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
        if self._is_granter():
            age_ms = now_ms() - started_ms
            self._messenger.broadcast(GatewayConfigConfirmed(update.position, age_ms))
        return BATCHING_PAUSE_MS if update.position != position else 0.0
