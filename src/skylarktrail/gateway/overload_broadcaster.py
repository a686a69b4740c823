"""Broadcasts overloaded instances, computed by the granter from load reports."""

from __future__ import annotations

import threading
from typing import Callable

from ..core.gateway.in_flight_reports import (
    REPORT_TTL_MS,
    InFlightReports,
    find_overloaded,
)
from ..core.gateway.shedding import LoadShedder
from ..peer.gateway_messages import GatewayLoad, GatewayOverload, OverloadedInstance
from .clock import now_ms
from .site_state import SiteState

# Queues fill and empty within half a second. With older figures the daemons would
# alternate between sending too many requests and too few.
BROADCAST_INTERVAL_MS = 350.0


class OverloadBroadcaster:
    """Sums up the requests in flight and broadcasts the overloaded instances.

    Args:
        site: State of the site.
        is_granter: Returns whether this daemon is the granter.
        broadcast: Sends a message to all other daemons.
    """

    def __init__(
        self,
        site: SiteState,
        is_granter: Callable[[], bool],
        broadcast: Callable[[GatewayOverload], None],
    ) -> None:
        self._site = site
        self._is_granter = is_granter
        self._broadcast = broadcast
        self._in_flight_reports = InFlightReports()
        self._load_shedder = LoadShedder()
        self._lock = threading.Lock()
        self._was_overloaded = False
        self._eligible_ms: dict[str, float] = {}

    def record_report(self, daemon: str, report: GatewayLoad) -> None:
        """Records the load report of a daemon."""
        in_flight = {item.instance: item.count for item in report.in_flight}
        with self._lock:
            self._in_flight_reports.record(daemon, in_flight, now_ms())
            if report.is_eligible:
                self._eligible_ms[daemon] = now_ms()
            else:
                self._eligible_ms.pop(daemon, None)

    def eligible_daemons(self) -> list[str]:
        """Returns the daemons that recently reported that they may become granter."""
        with self._lock:
            self._eligible_ms = {
                name: at_ms
                for name, at_ms in self._eligible_ms.items()
                if now_ms() - at_ms <= REPORT_TTL_MS
            }
            return sorted(self._eligible_ms)

    def run_once(self) -> float:
        """Broadcasts as granter, or does nothing; returns the pause in milliseconds."""
        if not self._is_granter():
            self._was_overloaded = False
            return BROADCAST_INTERVAL_MS
        message = self._make_message()
        if message.instances or self._was_overloaded:
            self._site.apply_overloads(message.instances, now_ms())
            self._broadcast(message)
        self._was_overloaded = bool(message.instances)
        return BROADCAST_INTERVAL_MS

    def _make_message(self) -> GatewayOverload:
        slots = self._site.slots()
        with self._lock:
            totals = self._in_flight_reports.totals(now_ms())
            parts = self._load_shedder.update(totals, slots)
        return GatewayOverload(
            tuple(
                OverloadedInstance(name, totals[name], parts.get(name, 1.0))
                for name in sorted(set(find_overloaded(totals, slots)) | set(parts))
            )
        )
