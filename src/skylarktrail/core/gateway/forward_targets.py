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


class TargetProcess(NamedTuple):
    """A process of a daemon that accepts forwarded requests.

    Attributes:
        zone: Its availability zone.
        address: `host:port` for forwarded requests.
        process: Identifier of the process.
    """

    zone: str
    address: str
    process: str


class _Failures(NamedTuple):
    """Failures of one process of a target, one after the other.

    Attributes:
        process: Identifier of the process.
        count: How many there were; those of requests in flight together are one.
        avoided_until_ms: Until when the target gets no requests.
    """

    process: str
    count: int
    avoided_until_ms: float


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
        self._failures: dict[str, _Failures] = {}

    def choose(
        self,
        targets: Mapping[str, TargetProcess],
        excluded: Collection[str],
        now_ms: float,
    ) -> str | None:
        """Returns the name of the cheapest target; None if there is none."""
        usable = [
            name
            for name, target in targets.items()
            if name not in excluded and not self._is_avoided(name, target, now_ms)
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
        self._failures.pop(name, None)

    def record_failure(self, name: str, target: TargetProcess, now_ms: float) -> None:
        """Records that a target could not be reached, or does not serve requests.

        Args:
            name: Name of the daemon.
            target: The target as it was when the request was sent.
            now_ms: Present time.
        """
        if self._is_avoided(name, target, now_ms):
            return
        failures = self._failures.get(name)
        is_same = failures is not None and failures.process == target.process
        count = failures.count if is_same else 0
        backoff_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**count)
        self._failures[name] = _Failures(target.process, count + 1, now_ms + backoff_ms)

    def _is_avoided(self, name: str, target: TargetProcess, now_ms: float) -> bool:
        failures = self._failures.get(name)
        if failures is None or failures.process != target.process:
            return False
        return now_ms < failures.avoided_until_ms

    def _cost(self, target: TargetProcess, name: str) -> float:
        cost = float(self._in_flight.get(name, 0) + 1)
        if target.zone != self._own_zone:
            cost *= OTHER_ZONE_COST_RATIO
        return cost * (1 + COST_JITTER_RATIO * self._random_fraction())
