"""Decides which fraction of the requests for an overloaded owner is admitted.

When the owner of some keys gets twice its capacity for seconds, the daemons know its
queue length only with a delay of half a second. If they admitted by queue length, all
of them would send while the queue was short and none while it was long, and most
responses would be late. The admitted fraction changes slowly, so that the queue stays
short and admitted requests are answered in time.
"""

from __future__ import annotations

from typing import Mapping

# Targeted requests at an owner, relative to its slots. An urgent request that is
# admitted waits behind those that are there, whatever their priority.
TARGET_LOAD_RATIO = 1.4
OVERLOAD_RATIO = 2.0  # Above this load, relative to the slots, less is admitted.
INCREASE_RATIO = 1.5  # Factor of an increase per step while the load is below target.
DECREASE_RATIO = 0.6  # Smallest factor of a decrease per step.
MIN_ADMITTED_RATIO = 0.1  # Some requests must arrive to detect the end of an overload.


class LoadShedder:
    """Keeps the fraction of requests that is admitted for each overloaded owner."""

    def __init__(self) -> None:
        self._admitted_parts: dict[str, float] = {}

    def update(
        self, totals: Mapping[str, int], slots: Mapping[str, int]
    ) -> dict[str, float]:
        """Adjusts the admitted fractions by one step; called at regular intervals.

        Args:
            totals: In-flight requests of all daemons by instance.
            slots: Slots by instance.

        Returns:
            The fractions below 1 by instance.
        """
        parts = {
            name: self._next_part(
                self._admitted_parts.get(name, 1.0), totals.get(name, 0), count
            )
            for name, count in slots.items()
        }
        self._admitted_parts = {name: part for name, part in parts.items() if part < 1}
        return dict(self._admitted_parts)

    @staticmethod
    def _next_part(part: float, total: int, slots: int) -> float:
        target = slots * TARGET_LOAD_RATIO
        if total > slots * OVERLOAD_RATIO:
            return max(MIN_ADMITTED_RATIO, part * max(DECREASE_RATIO, target / total))
        if total < target:
            return min(1.0, part * INCREASE_RATIO)
        return part
