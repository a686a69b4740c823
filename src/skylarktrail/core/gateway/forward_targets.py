"""Chooses the daemon to which a request is forwarded."""

from __future__ import annotations

from typing import Callable, Collection, Mapping, NamedTuple

# Traffic between zones is expensive; an overloaded daemon is worse.
OTHER_ZONE_COST_RATIO = 1.5
COST_JITTER_RATIO = 0.2  # Keeps the daemons from all choosing the same target.
# Backoff after a failed connection to a target, doubled with each further failure.
INITIAL_BACKOFF_MS = 300.0
MAX_BACKOFF_MS = 3000.0


class ForwardTarget(NamedTuple):
    """A daemon that accepts forwarded requests.

    Attributes:
        zone: Its availability zone.
        address: `host:port` for forwarded requests.
    """

    zone: str
    address: str


class ForwardTargets:
    """Requests in flight at each target, and the targets that failed.

    Args:
        own_zone: Availability zone of this daemon.
        random_fraction: Returns random numbers in [0, 1).
    """

    def __init__(self, own_zone: str, random_fraction: Callable[[], float]) -> None:
        self._own_zone = own_zone
        self._random_fraction = random_fraction
        self._in_flight: dict[str, int] = {}
        self._failure_counts: dict[str, int] = {}
        self._avoided_until_ms: dict[str, float] = {}

    def choose(
        self,
        targets: Mapping[str, ForwardTarget],
        excluded: Collection[str],
        now_ms: float,
    ) -> str | None:
        """Returns the name of the cheapest target; None if there is none."""
        usable = [
            name
            for name in targets
            if name not in excluded and self._avoided_until_ms.get(name, 0.0) <= now_ms
        ]
        return min(
            usable, key=lambda name: self._cost(targets[name], name), default=None
        )

    def begin(self, name: str) -> None:
        """Records that a request is sent to a target."""
        self._in_flight[name] = self._in_flight.get(name, 0) + 1

    def end(self, name: str) -> None:
        """Records the end of a request."""
        self._in_flight[name] -= 1

    def record_success(self, name: str) -> None:
        """Records that a target could be reached."""
        self._failure_counts.pop(name, None)

    def record_failure(self, name: str, now_ms: float) -> None:
        """Records that a target could not be reached, or does not serve requests."""
        count = self._failure_counts.get(name, 0)
        self._failure_counts[name] = count + 1
        backoff_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**count)
        self._avoided_until_ms[name] = now_ms + backoff_ms

    def _cost(self, target: ForwardTarget, name: str) -> float:
        cost = float(self._in_flight.get(name, 0) + 1)
        if target.zone != self._own_zone:
            cost *= OTHER_ZONE_COST_RATIO
        return cost * (1 + COST_JITTER_RATIO * self._random_fraction())
