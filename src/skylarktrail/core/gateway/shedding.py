"""Decides which part of the requests for an overloaded owner is admitted.

Load pattern: the owner of some keys gets twice what it can do for seconds. What a
daemon is told of its queue is half a second old, so all daemons send while it was short
and none while it was long, and most answers are late. A part changes slowly, so the
queue stays short and what is admitted is answered in time.
"""

from __future__ import annotations

from typing import Mapping

TARGET_LOAD_RATIO = (
    1.8  # Requests at an owner, relative to its slots, that are aimed for.
)
OVERLOAD_RATIO = 2.5  # Above this part of its slots less is admitted.
INCREASE_RATIO = 1.5  # Growth of the part in each step while slots are free.
DECREASE_RATIO = 0.6  # Largest fall of the part in one step.
MIN_ADMITTED_RATIO = (
    0.1  # Keeps some requests coming, so that an end of the load is seen.
)


class LoadShedder:
    """The part of the requests that each overloaded owner gets."""

    def __init__(self) -> None:
        self._admitted_parts: dict[str, float] = {}

    def update(
        self, totals: Mapping[str, int], slots: Mapping[str, int]
    ) -> dict[str, float]:
        """Takes the requests of all daemons at each instance, after a pause.

        Returns:
            The parts below 1.
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
