"""Periodic task that renews the candidacy for the granter role."""

from __future__ import annotations

from typing import Callable

from .site_state import SiteState
from .site_store import SiteStore
from .store_monitor import StoreCallMonitor

CANDIDACY_INTERVAL_MS = 600.0
# How often a daemon that is no candidate checks that the granter is alive. Leases end
# about 2 s after a granter is lost.
CANDIDACY_POLL_MS = 200.0
CANDIDACY_TTL_MS = 1000  # A lost candidate is replaced after this time.


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
