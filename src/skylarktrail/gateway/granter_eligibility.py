"""Decides whether this daemon stands as a candidate for the granter role."""

from __future__ import annotations

from .clock import now_ms
from .messenger import Messenger
from .reach_monitor import ReachMonitor
from .site_state import SiteState

# A granter of 100 ranges uses a tenth of a processor.
MIN_GRANTER_PROCESSORS = 0.7
# A few candidacy lifetimes, so that larger VMs may replace a lost granter first.
SMALL_VM_WAIT_MS = 4000.0


class GranterEligibility:
    """Observes the granter and decides whether this daemon may replace it.

    Args:
        site: State of the site.
        messenger: Observes whether a granter is alive.
        reach_monitor: Knows which daemons are cut off from the instances.
        processors: Processors of this VM.
    """

    def __init__(
        self,
        site: SiteState,
        messenger: Messenger,
        reach_monitor: ReachMonitor,
        processors: float,
    ) -> None:
        self._site = site
        self._messenger = messenger
        self._reach_monitor = reach_monitor
        self._processors = processors
        self._granter_seen_ms = now_ms()

    def is_eligible(self) -> bool:
        """Returns whether this daemon renews its candidacy for the granter role.

        It does not while a granter is alive. Lease renewals use part of a processor,
        so small VMs become candidates only if there is no granter for a while.
        """
        if self._messenger.is_granter_alive() or self._is_cut_alone():
            self._granter_seen_ms = now_ms()
            return False
        if self._processors >= MIN_GRANTER_PROCESSORS:
            return True
        return now_ms() - self._granter_seen_ms > SMALL_VM_WAIT_MS

    def _is_cut_alone(self) -> bool:
        """Returns whether this daemon is cut off and another one is not."""
        others = set(self._site.shared.members) - {self._site.daemon}
        return self._site.is_cut and bool(others - self._reach_monitor.cut_daemons())
