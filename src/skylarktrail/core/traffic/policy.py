"""Traffic policy of a service: fields of the operator file, defaults and bounds."""

from __future__ import annotations

from typing import Any, Mapping, NamedTuple, TypedDict


class Policy(TypedDict):
    """Traffic policy of one service.

    Attributes:
        choice: Name of the chooser.
        queue_limit: Requests that may wait, per service or pinned server.
        queue_wait_ms: Longest time that a request may wait before it is refused.
        retry_budget_percent: Extra attempts (retries and hedges) per 100 first
            attempts.
        retry_burst: Extra attempts that may be saved up.
        hedge_budget_percent: Hedges per 100 first attempts.
        hedge_percentile: Percentile of recent latencies after which a hedge is sent.
        cold_start_ms: Time from a start or return of an instance to its full capacity.
        cold_limit: Capacity of an instance at its start, in requests in flight.
        ejection_max_percent: Largest share of the instances that is ejected at the same
            time for being slow or not ready.
        ejection_factor: Multiple of the median latency above which an instance is
            ejected as slow.
        ejection_ms: Time from an ejection for slowness to the first probe.
    """

    choice: str
    queue_limit: int
    queue_wait_ms: float
    retry_budget_percent: float
    retry_burst: int
    hedge_budget_percent: float
    hedge_percentile: float
    cold_start_ms: float
    cold_limit: int
    ejection_max_percent: float
    ejection_factor: float
    ejection_ms: float


class Bounds(NamedTuple):
    """Smallest and largest accepted value of a field, both inclusive."""

    low: float
    high: float


POLICY_DEFAULTS: Policy = {
    "choice": "adaptive",
    "queue_limit": 128,
    "queue_wait_ms": 100,
    "retry_budget_percent": 10,
    "retry_burst": 10,
    "hedge_budget_percent": 5,
    "hedge_percentile": 95,
    "cold_start_ms": 10_000,
    "cold_limit": 1,
    "ejection_max_percent": 35,
    "ejection_factor": 3,
    "ejection_ms": 5_000,
}

POLICY_BOUNDS: dict[str, Bounds] = {
    "queue_limit": Bounds(0, 10_000),
    "queue_wait_ms": Bounds(0, 600_000),
    "retry_budget_percent": Bounds(0, 100),
    "retry_burst": Bounds(0, 1_000),
    "hedge_budget_percent": Bounds(0, 100),
    "hedge_percentile": Bounds(50, 99.9),
    "cold_start_ms": Bounds(0, 600_000),
    "cold_limit": Bounds(1, 1_000),
    "ejection_max_percent": Bounds(0, 90),
    "ejection_factor": Bounds(1.5, 100),
    "ejection_ms": Bounds(100, 600_000),
}


def make_policy(fields: Mapping[str, Any]) -> Policy:
    """Returns a complete policy: the fields of the operator file over the defaults."""
    return {**POLICY_DEFAULTS, **fields}
