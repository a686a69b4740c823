"""Speeds of instances, from the answers that all daemons have seen."""

from __future__ import annotations

SAMPLES = 25.0  # Answers that outweigh what was known before.
LIMITS = (0.4, 1.8)  # One slow moment does not take all keys from an instance.
FAILURE_MAX = 0.9  # A failing instance keeps this little, so that it is seen again.


class Speeds:
    """Smoothed speed of each instance relative to the mean of its service."""

    def __init__(self) -> None:
        self._work: dict[str, float] = {}
        self._failing: dict[str, float] = {}

    def add(self, instance: str, answers: int, work_sum: float, failures: int) -> None:
        """Adds answers and failures of an instance."""
        if answers:
            weight = answers / (answers + SAMPLES)
            known = self._work.get(instance, 1.0)
            self._work[instance] = known + weight * (work_sum / answers - known)
        total = answers + failures
        weight = total / (total + SAMPLES)
        known = self._failing.get(instance, 0.0)
        self._failing[instance] = known + weight * (failures / total - known)

    def capacity(self, instance: str) -> float:
        """Returns the load that an instance can carry relative to others."""
        low, high = LIMITS
        speed = min(high, max(low, 1 / max(0.01, self._work.get(instance, 1.0))))
        return speed * (1 - min(FAILURE_MAX, self._failing.get(instance, 0.0)))

    def keep_only(self, instances: set[str]) -> None:
        """Forgets all other instances."""
        self._work = {k: v for k, v in self._work.items() if k in instances}
        self._failing = {k: v for k, v in self._failing.items() if k in instances}
