"""Bounds, log lines and metrics of the connections of callers and other daemons."""

from __future__ import annotations

import threading
from typing import Callable, Mapping

from ..caller_budget import make_caller_budget
from ..config.gateway_settings import GatewaySettings
from ..core.gateway.model import CallerLimits
from ..daemon.caller_guard import CallerGuard, EndedConnection
from .clock import now_ms
from .event_log import EventLog
from .metrics import GatewayMetrics
from .site_state import SiteState

# Crowds end hundreds of connections a second; all lines share one rate limit.
LOG_INTERVAL_MS = 1000.0
ConnectionCounter = Callable[[], Mapping[str, float]]


class ClientBounds:
    """Makes the bounds that the request servers of one daemon share.

    Args:
        settings: Settings of the daemon.
        site: State of the site, with the limits of the configuration in force.
        log: Receives a line for each connection that is ended.
        metrics: Counts them, and shows what callers hold.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        site: SiteState,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._bounds = settings.clients
        self._site = site
        self._log = log
        self._metrics = metrics
        self._lock = threading.Lock()
        self._logged_ms: dict[str, float] = {}  # Time of the last line by reason.
        self._unlogged_counts: dict[str, int] = {}
        self._budget = make_caller_budget(settings.memory_mb, self._bounds.held_bytes)
        metrics.add_gauge(
            "caller_bytes",
            "Bytes of requests and unread answers that are held for callers.",
            lambda: self._budget.used_bytes,
        )

    def caller_guard(self) -> CallerGuard:
        """Returns the bounds of callers' connections."""
        return self._make_guard(lambda: self._limits().body_bytes)

    def forward_guard(self) -> CallerGuard:
        """Returns the bounds of other daemons' connections.

        Their configuration may be newer and allow larger bodies.
        """
        default_bytes = CallerLimits().body_bytes
        return self._make_guard(lambda: max(default_bytes, self._limits().body_bytes))

    def _make_guard(self, read_body_limit) -> CallerGuard:
        return CallerGuard(self._budget, self._bounds, read_body_limit, self.record_end)

    def _limits(self) -> CallerLimits:
        table = self._site.route_table
        return table.config.limits if table is not None else CallerLimits()

    def add_connection_gauge(self, count_by_address: ConnectionCounter) -> None:
        """Adds the gauge of open connections by address."""
        self._metrics.add_labelled_gauge(
            "client_connections",
            "Open connections of clients, by address.",
            "address",
            count_by_address,
        )

    def record_end(self, ended: EndedConnection) -> None:
        """Counts a connection that was ended, at any address, and logs some of them.

        Each reason has a line a second; it tells how many others there were before it.
        """
        self._metrics.count("caller_ends", ended.reason)
        unlogged_count = self._begin_line(ended.reason)
        if unlogged_count is None:
            return
        self._log.write(
            "caller_ended",
            **ended._asdict(),
            all_held_bytes=self._budget.used_bytes,
            unlogged_count=unlogged_count,
        )

    def _begin_line(self, reason: str) -> int | None:
        """Returns how many ends had no line since the last; None if this has none."""
        at_ms = now_ms()
        with self._lock:
            unlogged_count = self._unlogged_counts.get(reason, 0)
            if at_ms - self._logged_ms.get(reason, -LOG_INTERVAL_MS) < LOG_INTERVAL_MS:
                self._unlogged_counts[reason] = unlogged_count + 1
                return None
            self._logged_ms[reason] = at_ms
            self._unlogged_counts[reason] = 0
            return unlogged_count
