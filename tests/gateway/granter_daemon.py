"""A granter made of the classes of a daemon, for tests that step it by hand."""

from __future__ import annotations

import io
from typing import Any

from skylarktrail.config.gateway_settings import SiteBounds
from skylarktrail.core.gateway.granter_role import GranterRole
from skylarktrail.core.gateway.lease_call_gate import LeaseCallGate
from skylarktrail.core.gateway.lease_calls import LeaseTimings
from skylarktrail.core.gateway.pending_write import WRITE_RETRY_MS
from skylarktrail.core.gateway.shared_state import Member
from skylarktrail.errors import platform as codes
from skylarktrail.gateway.clock import now_ms
from skylarktrail.gateway.event_log import EventLog
from skylarktrail.gateway.metrics import GatewayMetrics
from skylarktrail.gateway.shared_watcher import SharedWatcher
from skylarktrail.gateway.site_state import SiteState
from skylarktrail.gateway.store_monitor import StoreCallMonitor
from skylarktrail.platform.site_store import PlatformStore

# The first reads also register the daemon, so that claims conflict, and one may be sent
# again.
CLAIM_TIMEOUT_MS = 4 * WRITE_RETRY_MS


class SilentMessenger:
    """Reaches no other daemon."""

    def expects_listings(self) -> bool:
        """Returns whether the granter sends listings."""
        return False

    is_granter_alive = expects_listings

    def apply_early_listing(self) -> None:
        """There is none."""

    def record_positions(self, shared: int | None, operators: int | None) -> None:
        """Needs no handling."""

    def broadcast_records(self, *arguments: Any) -> None:
        """Needs no handling."""


class GranterDaemon:
    """The role of a daemon, its reader of the shared records and their store.

    Args:
        name: Name of the daemon.
        address: Address of the store for this daemon.
        timings: Durations of leases.

    Attributes:
        role: The role.
        gate: Is open while the daemon may send lease calls.
        writes: Writes that were not sent yet.
        reads: Position and start of each read that the role was told of.
    """

    def __init__(self, name: str, address: str, timings: LeaseTimings) -> None:
        self.site = SiteState(name, "east", SiteBounds())
        self.store = PlatformStore(address)
        self.gate = LeaseCallGate()
        self.writes: list[Any] = []
        self.reads: list[tuple[int, float]] = []
        process = f"{name}-process"
        self.role = GranterRole(
            name, process, timings, self.site.shared, self.gate, self, lambda: False
        )
        log = EventLog(name, io.StringIO())
        self.watcher = SharedWatcher(
            self.store,
            self.site,
            Member(process, f"{name}:1"),
            None,
            StoreCallMonitor("shared", log, GatewayMetrics()),
            self._on_read,
            lambda position: self.role.handle_broadcast(position, now_ms()),
            lambda: self.role.is_granter,
            lambda: False,
            SilentMessenger(),
            lambda: None,
        )

    def _on_read(self, position: int, started_ms: float) -> None:
        self.reads.append((position, started_ms))
        self.role.handle_read(position, started_ms, now_ms())

    def read(self) -> float:
        """Reads the shared records once; returns the pause until the next read."""
        return self.watcher._read(0)

    @property
    def is_read_due(self) -> bool:
        """Returns whether the next read follows at once."""
        return self.watcher._wakeup.is_set()

    def become_candidate(self) -> None:
        """Lets the role know that the store chose this daemon."""
        self.role.handle_candidacy(True, now_ms())

    def become_granter(self) -> None:
        """Reads and claims the role until the store has applied the claim.

        A claim whose answer is lost, as on a connection that the other end has just
        closed, is sent again after `WRITE_RETRY_MS`.
        """
        end_ms = now_ms() + CLAIM_TIMEOUT_MS
        while not self.role.is_granter and now_ms() < end_ms:
            self.read()
            self.become_candidate()
            self.role.step(now_ms())
            self.send_writes()
        self.read()
        assert self.role.is_granter and self.may_grant()

    def send_writes(self) -> None:
        """Sends the role's writes to the store, but none that follow from them."""
        writes, self.writes = self.writes, []
        for write in writes:
            result = self.store.share(write.key, write.value, write.expected_position)
            if result.is_ok():
                self.role.handle_write_applied(write, result.unwrap(), now_ms())
                continue
            is_conflict = result.unwrap_err().code is codes.STORE_CONFLICT
            self.role.handle_write_failed(write, is_conflict, now_ms())

    def may_grant(self) -> bool:
        """Returns whether the daemon may send lease calls now."""
        at_ms = now_ms()
        return self.role.may_grant(at_ms)

    # What the role asks of its daemon.

    def send_write(self, write: Any) -> None:
        """Keeps a write."""
        self.writes.append(write)

    def request_read(self) -> None:
        """Needs no handling: the test reads."""

    def ask_former_granter(self, daemon: str, term: int) -> None:
        """Gets no reply."""

    def on_term_started(self, term: int, position: int) -> None:
        """Needs no handling."""

    def on_term_ended(self, term: int, successor: Any) -> None:
        """Needs no handling."""

    def on_owners_recorded(self, service: str, is_recorded: bool) -> None:
        """Needs no handling."""

    def on_record_replaced(self, key: str, term: int) -> None:
        """Needs no handling."""
