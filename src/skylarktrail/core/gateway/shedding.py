"""Decides which part of the requests for an overloaded owner is admitted.

Load pattern: the owner of some keys gets twice what it can do for seconds. What a
daemon is told of its queue is half a second old, so all daemons send while it was short
and none while it was long, and most answers are late. A part changes slowly, so the
queue stays short and what is admitted is answered in time.
"""

from __future__ import annotations

from typing import Mapping

KEPT_RATIO = 1.8  # Requests at an owner, relative to its slots, that are aimed for.
LONG_RATIO = 2.5  # Above this part of its slots less is admitted.
RISE_RATIO = 1.5  # Growth of the part in each step while slots are free.
FALL_RATIO = 0.6  # Largest fall of the part in one step.
LEAST_PART = 0.1  # Keeps some requests coming, so that an end of the load is seen.


class LoadShedder:
    """The part of the requests that each overloaded owner gets."""

    def __init__(self) -> None:
        self._parts: dict[str, float] = {}

    def update(
        self, totals: Mapping[str, int], slots: Mapping[str, int]
    ) -> dict[str, float]:
        """Takes the requests of all daemons at each instance, after a pause.

        Returns:
            The parts below 1.
        """
        parts = {
            name: self._next(self._parts.get(name, 1.0), totals.get(name, 0), count)
            for name, count in slots.items()
        }
        self._parts = {name: part for name, part in parts.items() if part < 1}
        return dict(self._parts)

    @staticmethod
    def _next(part: float, total: int, slots: int) -> float:
        kept = slots * KEPT_RATIO
        if total > slots * LONG_RATIO:
            return max(LEAST_PART, part * max(FALL_RATIO, kept / total))
        if total < kept:
            return min(1.0, part * RISE_RATIO)
        return part
