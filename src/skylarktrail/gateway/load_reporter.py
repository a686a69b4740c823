"""Periodic task that sends this daemon's load reports to the granter."""

from __future__ import annotations

from .messenger import Messenger
from .site_state import SiteState

LOAD_REPORT_INTERVAL_MS = 250.0  # Queues of instances fill and drain within 0.5 s.
# Limits the granter to 500 reports a second, whatever the number of daemons.
LOAD_REPORT_MEMBER_INTERVAL_MS = 2.0
# A daemon that has just started gets its listing in response to its first report.
NO_GRANTER_INTERVAL_MS = 50.0


class LoadReporter:
    """Sends this daemon's load reports to the granter."""

    def __init__(self, messenger: Messenger, site: SiteState) -> None:
        self._messenger = messenger
        self._site = site

    def run_once(self) -> float:
        """Sends one report; returns the milliseconds until the next."""
        self._messenger.update_peers()
        self._messenger.send_load_report()
        if not self._site.shared.granter.daemon:
            return NO_GRANTER_INTERVAL_MS
        members = len(self._site.shared.members)
        return max(LOAD_REPORT_INTERVAL_MS, LOAD_REPORT_MEMBER_INTERVAL_MS * members)
