"""Decides which fraction of the requests for an overload is admitted.

When the owner of some keys gets twice its capacity for seconds, the daemons know its
queue length only with a delay of half a second. If they admitted by queue length, all
of them would send while the queue was short and none while it was long, and most
responses would be late. The admitted fraction changes slowly, so that the queue stays
short and admitted requests are answered in time.

The same holds for a service without keys in a burst of more requests than its instances
have slots for. See `service_load` for how its load is found.
"""

from __future__ import annotations

from typing import Mapping, NamedTuple

# Targeted requests at an owner, relative to its slots. An urgent request that is
# admitted waits behind those that are there, whatever their priority.
TARGET_LOAD_RATIO = 1.4
OVERLOAD_RATIO = 2.0  # Above this load, relative to the slots, less is admitted.
INCREASE_RATIO = 1.5  # Factor of an increase per step while the load is below target.
DECREASE_RATIO = 0.6  # Smallest factor of a decrease per step.
MIN_ADMITTED_RATIO = 0.1  # Some requests must arrive to detect the end of an overload.


class LoadLimits(NamedTuple):
    """Loads, relative to the slots, at which the admitted fraction changes.

    Attributes:
        target_ratio: Load to which the fraction is lowered; below it, it rises.
        overload_ratio: Load above which it falls.
        increase_ratio: Factor of an increase per step.
    """

    target_ratio: float
    overload_ratio: float
    increase_ratio: float


OWNER_LIMITS = LoadLimits(TARGET_LOAD_RATIO, OVERLOAD_RATIO, INCREASE_RATIO)


class LoadShedder:
    """Keeps the fraction of requests that is admitted for each owner or service.

    Args:
        limits: Loads at which the fraction changes.
    """

    def __init__(self, limits: LoadLimits = OWNER_LIMITS) -> None:
        self._limits = limits
        self._admitted_parts: dict[str, float] = {}

    def update(
        self, totals: Mapping[str, int], slots: Mapping[str, int]
    ) -> dict[str, float]:
        """Adjusts the admitted fractions by one step; called at regular intervals.

        Args:
            totals: In-flight requests of all daemons by owner or service.
            slots: Slots by owner or service.

        Returns:
            The fractions below 1 by owner or service.
        """
        parts = {
            name: self._next_part(
                self._admitted_parts.get(name, 1.0), totals.get(name, 0), count
            )
            for name, count in slots.items()
        }
        self._admitted_parts = {name: part for name, part in parts.items() if part < 1}
        return dict(self._admitted_parts)

    def _next_part(self, part: float, total: int, slots: int) -> float:
        target = slots * self._limits.target_ratio
        if total > slots * self._limits.overload_ratio:
            return max(MIN_ADMITTED_RATIO, part * max(DECREASE_RATIO, target / total))
        if total < target:
            return min(1.0, part * self._limits.increase_ratio)
        return part
