"""Speeds of instances, from the answers that all daemons have seen."""

from __future__ import annotations

PRIOR_SAMPLE_COUNT = 25.0  # Answers that outweigh what was known before.
SPEED_LIMITS = (0.4, 1.8)  # One slow moment does not take all keys from an instance.
MAX_FAILURE_RATIO = (
    0.9  # A failing instance keeps this little, so that it is seen again.
)


class Speeds:
    """Smoothed speed of each instance relative to the mean of its service."""

    def __init__(self) -> None:
        self._work_ratios: dict[str, float] = {}
        self._failure_ratios: dict[str, float] = {}

    def add(self, instance: str, answers: int, work_sum: float, failures: int) -> None:
        """Adds answers and failures of an instance."""
        if answers:
            weight = answers / (answers + PRIOR_SAMPLE_COUNT)
            known = self._work_ratios.get(instance, 1.0)
            self._work_ratios[instance] = known + weight * (work_sum / answers - known)
        total = answers + failures
        weight = total / (total + PRIOR_SAMPLE_COUNT)
        known = self._failure_ratios.get(instance, 0.0)
        self._failure_ratios[instance] = known + weight * (failures / total - known)

    def capacity(self, instance: str) -> float:
        """Returns the load that an instance can carry relative to others."""
        low, high = SPEED_LIMITS
        speed = min(high, max(low, 1 / max(0.01, self._work_ratios.get(instance, 1.0))))
        return speed * (
            1 - min(MAX_FAILURE_RATIO, self._failure_ratios.get(instance, 0.0))
        )

    def keep_only(self, instances: set[str]) -> None:
        """Forgets all other instances."""
        self._work_ratios = {
            k: v for k, v in self._work_ratios.items() if k in instances
        }
        self._failure_ratios = {
            k: v for k, v in self._failure_ratios.items() if k in instances
        }
