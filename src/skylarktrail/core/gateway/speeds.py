"""Estimates the speed of instances from the responses that all daemons received."""

from __future__ import annotations

PRIOR_SAMPLE_COUNT = 25.0  # Weight, in responses, of the previous estimate.
SPEED_LIMITS = (0.4, 1.8)  # A short slowdown must not move all keys of an instance.
# A failing instance keeps a tenth of its capacity, so that its recovery is detected.
MAX_FAILURE_RATIO = 0.9


class Speeds:
    """Smoothed speed of each instance, relative to the mean of its service."""

    def __init__(self) -> None:
        self._work_ratios: dict[str, float] = {}
        self._failure_ratios: dict[str, float] = {}

    def add(
        self, instance: str, answers: int, work_ratio_sum: float, failures: int
    ) -> None:
        """Adds samples of an instance.

        Args:
            instance: Its identifier.
            answers: Number of responses.
            work_ratio_sum: Sum of their work times, each relative to the mean of its
                route.
            failures: Number of failed attempts.
        """
        if answers:
            weight = answers / (answers + PRIOR_SAMPLE_COUNT)
            known = self._work_ratios.get(instance, 1.0)
            self._work_ratios[instance] = known + weight * (
                work_ratio_sum / answers - known
            )
        total = answers + failures
        if not total:
            return
        weight = total / (total + PRIOR_SAMPLE_COUNT)
        known = self._failure_ratios.get(instance, 0.0)
        self._failure_ratios[instance] = known + weight * (failures / total - known)

    def capacity(self, instance: str) -> float:
        """Returns the capacity of an instance relative to the others of its service."""
        low, high = SPEED_LIMITS
        speed = min(high, max(low, 1 / max(0.01, self._work_ratios.get(instance, 1.0))))
        return speed * (
            1 - min(MAX_FAILURE_RATIO, self._failure_ratios.get(instance, 0.0))
        )

    def keep_only(self, instances: set[str]) -> None:
        """Discards the estimates of all other instances."""
        self._work_ratios = {
            k: v for k, v in self._work_ratios.items() if k in instances
        }
        self._failure_ratios = {
            k: v for k, v in self._failure_ratios.items() if k in instances
        }
