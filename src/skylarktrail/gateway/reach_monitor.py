"""Probes the links to instances and tells other daemons when this one is cut off."""

from __future__ import annotations

import math
import random
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Callable, Sequence

from ..core.gateway.reachability import ZONE_PROBE_COUNT, LinkState, Reachability
from ..peer.gateway_messages import GatewayReachability
from ..peer.hub import Responder
from .clock import now_ms
from .connection_pool import ConnectionPool
from .event_log import EventLog
from .messenger import Messenger
from .site_state import SiteState

CHECK_INTERVAL_MS = 100.0
PROBE_TIMEOUT_MS = 300.0  # Instances accept connections within a few milliseconds.
# A daemon that is cut off says so again, for daemons that missed it or have just
# started. As granter it offers its role again.
REPEAT_INTERVAL_MS = 500.0
REPORT_TTL_MS = 3000.0  # An older report that a daemon is cut off counts no more.


class ReachMonitor:
    """Decides whether this daemon reaches the instances; all methods are thread-safe.

    Args:
        site: State of the site.
        connections: Pool of connections to instances.
        messenger: Sends messages to the other daemons and dispatches those received.
        log: Receives a line for each change.
        on_cut: Called when this daemon is cut off, and regularly while it lasts.
    """

    def __init__(
        self,
        site: SiteState,
        connections: ConnectionPool,
        messenger: Messenger,
        log: EventLog,
        on_cut: Callable[[], None],
    ) -> None:
        self._site = site
        self._connections = connections
        self._messenger = messenger
        self._log = log
        self._on_cut = on_cut
        self._reachability = Reachability(random.sample)
        self._lock = threading.Lock()
        self._cut_daemons_ms: dict[str, float] = {}
        self._repeated_ms = -math.inf
        self._probes = ThreadPoolExecutor(2 * ZONE_PROBE_COUNT, "probes")
        connections.on_connect = self.record_connect
        messenger.add_handler(GatewayReachability, self._handle_report)

    def record_connect(self, instance: str, is_open: bool) -> None:
        """Records whether a new connection to an instance could be opened."""
        with self._lock:
            if is_open:
                self._reachability.record_connected(now_ms())
            else:
                self._reachability.record_connect_failure(instance, now_ms())
        self._apply()

    def record_response(self) -> None:
        """Records that an instance responded."""
        with self._lock:
            self._reachability.record_response(now_ms())

    def record_unanswered_call(self, instance: str) -> None:
        """Records that a grant or release to an instance got no response."""
        with self._lock:
            self._reachability.record_unanswered_call(instance, now_ms())

    def cut_daemons(self) -> set[str]:
        """Returns the other daemons that reported lately that they are cut off."""
        with self._lock:
            return {
                name
                for name, at_ms in self._cut_daemons_ms.items()
                if now_ms() - at_ms <= REPORT_TTL_MS
            }

    def record_peer(self, daemon: str, is_cut: bool) -> None:
        """Records whether another daemon says that it is cut off."""
        with self._lock:
            if is_cut:
                self._cut_daemons_ms[daemon] = now_ms()
            else:
                self._cut_daemons_ms.pop(daemon, None)
        self._site.set_cut_daemons(self.cut_daemons())

    def run_once(self) -> float:
        """Probes if needed; returns the milliseconds until the next run."""
        self._site.set_cut_daemons(self.cut_daemons())
        ages_ms = self._site.oldest_request_ages_ms(now_ms())
        with self._lock:
            self._reachability.check_silence(ages_ms, now_ms())
            is_reaching = self._reachability.state is LinkState.REACHING
        if not is_reaching:
            self._probe_links()
        if self._reachability.is_cut:
            self._repeat()
        return CHECK_INTERVAL_MS

    def _probe_links(self) -> None:
        near, far = self._site.list_instances_by_distance()
        with self._lock:
            names = self._reachability.choose_probes(near, far, now_ms())
        if names:
            self._probe(names)

    def _probe(self, names: Sequence[str]) -> None:
        """Opens a connection to each instance at the same time, and closes it."""
        addresses = self._site.addresses(names)
        outcomes = self._probes.map(
            lambda address: self._connections.can_connect(address, PROBE_TIMEOUT_MS),
            addresses.values(),
        )
        is_open_by_name = dict(zip(addresses, outcomes))
        with self._lock:
            self._reachability.record_probes(is_open_by_name, now_ms())
        self._apply()

    def _apply(self) -> None:
        """Applies a changed conclusion to the site."""
        with self._lock:
            is_cut = self._reachability.is_cut
            are_silent = self._reachability.are_open_connections_silent(now_ms())
            is_changed = self._site.set_cut(is_cut, now_ms())
        if is_cut and are_silent:
            self._connections.keep_only(set())
        if is_changed:
            self._messenger.broadcast(GatewayReachability(is_cut))
            event = "instances_cut_off" if is_cut else "instances_reached"
            self._log.state(event, are_open_connections_silent=are_silent)

    def _repeat(self) -> None:
        """Tells again that this daemon is cut off, and closes silent connections."""
        if now_ms() - self._repeated_ms < REPEAT_INTERVAL_MS:
            return
        self._repeated_ms = now_ms()
        self._on_cut()
        self._messenger.broadcast(GatewayReachability(True))
        with self._lock:
            are_silent = self._reachability.are_open_connections_silent(now_ms())
        if are_silent:
            self._connections.keep_only(set())

    def _handle_report(
        self, daemon: str, message: GatewayReachability, _: Responder
    ) -> None:
        self.record_peer(daemon, message.is_cut)
