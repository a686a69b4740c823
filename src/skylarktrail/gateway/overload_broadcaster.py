"""Broadcasts overloaded instances and services, found from load reports."""

from __future__ import annotations

import threading
from typing import Callable, Mapping

from ..core.gateway.in_flight_reports import (
    REPORT_TTL_MS,
    InFlightReports,
    find_overloaded,
)
from ..core.gateway.service_load import SERVICE_LIMITS, ServiceLoads
from ..core.gateway.shedding import LoadShedder
from ..peer.gateway_messages import (
    GatewayLoad,
    GatewayOverload,
    GatewayServiceShedding,
    OverloadedInstance,
    ShedService,
)
from .clock import now_ms
from .event_log import EventLog
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
        log: Log of this daemon.
    """

    def __init__(
        self,
        site: SiteState,
        is_granter: Callable[[], bool],
        broadcast: Callable[[GatewayOverload | GatewayServiceShedding], None],
        log: EventLog,
    ) -> None:
        self._site = site
        self._is_granter = is_granter
        self._broadcast = broadcast
        self._log = log
        self._in_flight_reports = InFlightReports()
        self._load_shedder = LoadShedder()
        self._service_shedder = LoadShedder(SERVICE_LIMITS)
        self._lock = threading.Lock()
        self._was_overloaded = False
        self._shed_services: dict[str, float] = {}
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
            self._shed_services = {}
            return BROADCAST_INTERVAL_MS
        with self._lock:
            totals = self._in_flight_reports.totals(now_ms())
        message = self._make_message(totals)
        if message.instances or self._was_overloaded:
            self._site.apply_overloads(message.instances, now_ms())
            self._broadcast(message)
        self._was_overloaded = bool(message.instances)
        self._broadcast_services(totals)
        return BROADCAST_INTERVAL_MS

    def _broadcast_services(self, totals: Mapping[str, int]) -> None:
        """Broadcasts the services admitted in part, and once that there are none."""
        loads = self._site.service_loads(totals)
        parts = self._service_shedder.update(*loads)
        self._log_changes(parts, loads)
        if parts or self._shed_services:
            services = tuple(ShedService(*item) for item in sorted(parts.items()))
            self._site.apply_service_shedding(services, now_ms())
            self._broadcast(GatewayServiceShedding(services))
        self._shed_services = parts

    def _log_changes(self, parts: Mapping[str, float], loads: ServiceLoads) -> None:
        """Logs the services whose shedding begins or ends."""
        for service in sorted(set(parts) ^ set(self._shed_services)):
            change = "began" if service in parts else "ended"
            self._log.state(
                f"service_shedding_{change}",
                service=service,
                admitted_part=parts.get(service, 1.0),
                in_flight=loads.totals.get(service, 0),
                slots=loads.slots.get(service, 0),
            )

    def _make_message(self, totals: Mapping[str, int]) -> GatewayOverload:
        slots = self._site.slots()
        parts = self._load_shedder.update(totals, slots)
        return GatewayOverload(
            tuple(
                OverloadedInstance(name, totals[name], parts.get(name, 1.0))
                for name in sorted(set(find_overloaded(totals, slots)) | set(parts))
            )
        )
