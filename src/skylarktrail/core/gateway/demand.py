"""Measures which requests a service gets, by priority, over the last few seconds.

Each daemon gets an equal share of a site's requests, so what one daemon sees tells the
demand of the site, although with much noise for rare requests.
"""

from __future__ import annotations

import math
from typing import NamedTuple

DEMAND_DECAY_MS = 5000.0  # Long enough for several requests of a kind per daemon.
# A shorter observation would take the first few requests for a high rate.
MIN_OBSERVED_MS = 1000.0


class KindOfRequest(NamedTuple):
    """Requests that an admission decision treats alike; lower values come first.

    Attributes:
        priority: Their priority; 0 is the most urgent.
        is_late: Whether their responses cannot meet the latency target any more.
        work_class: Binary logarithm of the expected work time in milliseconds.
    """

    priority: int
    is_late: bool
    work_class: int


class KindDemand(NamedTuple):
    """Recent requests of one kind; later ones have more weight.

    Attributes:
        count: Their number.
        work_ms: The sum of their work times.
        at_ms: Time to which the weights relate.
    """

    count: float = 0.0
    work_ms: float = 0.0
    at_ms: float = 0.0

    def decayed(self, now_ms: float) -> KindDemand:
        """Returns the demand with the weights at a later time."""
        ratio = math.exp(-max(0.0, now_ms - self.at_ms) / DEMAND_DECAY_MS)
        return KindDemand(self.count * ratio, self.work_ms * ratio, now_ms)


class ServiceDemand:
    """Recent requests to one service that this daemon got.

    Args:
        now_ms: When the observation begins.
    """

    def __init__(self, now_ms: float) -> None:
        self._since_ms = now_ms
        self._kinds: dict[KindOfRequest, KindDemand] = {}

    def record(self, kind: KindOfRequest, work_ms: float, now_ms: float) -> None:
        """Records a request with its expected work time."""
        known = self._kinds.get(kind, KindDemand()).decayed(now_ms)
        self._kinds[kind] = KindDemand(known.count + 1, known.work_ms + work_ms, now_ms)

    def by_kind(self, now_ms: float) -> dict[KindOfRequest, KindDemand]:
        """Returns the demand of each kind, the first to be admitted first."""
        return {kind: self._kinds[kind].decayed(now_ms) for kind in sorted(self._kinds)}

    def more_urgent(self, priority: int, now_ms: float) -> KindDemand:
        """Returns the demand of all priorities above one."""
        demands = [
            demand.decayed(now_ms)
            for kind, demand in self._kinds.items()
            if kind.priority < priority
        ]
        count = sum(demand.count for demand in demands)
        work_ms = sum(demand.work_ms for demand in demands)
        return KindDemand(count, work_ms, now_ms)

    def busy_slots(self, demand: KindDemand, now_ms: float) -> float:
        """Returns how many slots requests of this daemon occupy by their demand."""
        observed_ms = max(MIN_OBSERVED_MS, now_ms - self._since_ms)
        weight_ms = DEMAND_DECAY_MS * (1 - math.exp(-observed_ms / DEMAND_DECAY_MS))
        return demand.work_ms / weight_ms


class DemandMeter:
    """Recent requests to each service that this daemon got."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceDemand] = {}

    def service(self, name: str, now_ms: float) -> ServiceDemand:
        """Returns the demand of a service."""
        return self._services.setdefault(name, ServiceDemand(now_ms))
