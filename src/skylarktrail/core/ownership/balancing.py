"""Plans of moves, splits and merges for the groups of one granter."""

from __future__ import annotations

from typing import Mapping, NamedTuple

from ..balance import BALANCERS, PlanInput, PlanLimits
from ..balance.hot_keys import (
    HotKeyLimits,
    configured_slice_starts,
    plan_merges,
    plan_splits,
)
from ..balance.report_limits import MAX_REPORTED_SLICES
from ..slices import SliceTable
from .granter import Granter
from .messages import LoadsReported

LOAD_MAX_AGE_MS = 30_000
IDLE_SHARE = 0.05
LEAST_RATE = 1e-3
UNREPORTED_SHARE = 0.7


class Report(NamedTuple):
    """The last report of one daemon about one service."""

    at_ms: float
    event: LoadsReported


class Rates(NamedTuple):
    """Requests a second of the slices of a service.

    Attributes:
        above: What a slice has above `others`, by first hash.
        others: Estimate for a slice that no daemon reported.
    """

    above: Mapping[int, float]
    others: float

    def of(self, start: int) -> float:
        """Returns the rate of one slice."""
        return self.above.get(start, 0.0) + self.others

    def total(self, slices: int) -> float:
        """Returns the rate of a service with this number of slices."""
        return sum(self.above.values()) + self.others * slices


class LoadTracker:
    """Load of the slices of each service, summed over the daemons."""

    def __init__(self) -> None:
        self._reports: dict[str, dict[str, Report]] = {}

    def record_report(self, now_ms: float, event: LoadsReported) -> None:
        """Takes a report; it replaces the one before of the same daemon."""
        reports = self._reports.setdefault(event.service, {})
        reports[event.daemon] = Report(now_ms, event)

    def drop_reports(self, service: str) -> None:
        """Drops reports that name slices of another shape."""
        self._reports.pop(service, None)

    def _fresh(self, service: str, now_ms: float) -> list[LoadsReported]:
        reports = self._reports.get(service, {})
        oldest_ms = now_ms - LOAD_MAX_AGE_MS
        return [report.event for report in reports.values() if report.at_ms > oldest_ms]

    def slices(self, service: str, now_ms: float) -> Rates:
        """Returns requests a second by first hash of the slice."""
        rates: dict[int, float] = {}
        others = 0.0
        for event in self._fresh(service, now_ms):
            least = 0.0
            if len(event.loads) >= MAX_REPORTED_SLICES:
                least = min(load.requests_per_s for load in event.loads)
            others += least * UNREPORTED_SHARE
            for load in event.loads:
                more = load.requests_per_s - least * UNREPORTED_SHARE
                rates[load.start] = rates.get(load.start, 0.0) + more
        return Rates(rates, others)

    def hashes(self, service: str, now_ms: float) -> dict[int, float]:
        """Returns requests a second of the busiest keys by hash."""
        rates: dict[int, float] = {}
        for event in self._fresh(service, now_ms):
            for load in event.loads:
                for key_hash, rate in load.hot_hashes:
                    rates[key_hash] = rates.get(key_hash, 0.0) + rate
        return rates


class ServiceLoad(NamedTuple):
    """Load of one service at the time of a plan.

    Attributes:
        slices: Requests a second by first hash, a little for idle slices too.
        hashes: Requests a second of the busiest keys by hash.
        servers: Requests a second of each server that may own slices.
        wide_slices: Like `slices`, without keys that are or will be split out.
        wide_servers: Like `servers`, without keys that are or will be split out.
    """

    slices: Mapping[int, float]
    hashes: Mapping[int, float]
    servers: Mapping[str, float]
    wide_slices: Mapping[int, float]
    wide_servers: Mapping[str, float]


def measure_load(
    table: SliceTable,
    eligible: set[str],
    rates: Rates,
    hashes: Mapping[int, float],
) -> ServiceLoad:
    """Returns the load of the slices of a service and of its servers."""
    idle = max(IDLE_SHARE * rates.total(len(table)) / len(table), LEAST_RATE)
    slices, wide_slices = {}, {}
    servers = dict.fromkeys(eligible, 0.0)
    wide_servers = dict.fromkeys(eligible, 0.0)
    hot = _hot_loads(table, hashes, rates.total(len(table)) / max(len(eligible), 1))
    for held in table:
        load = rates.of(held.start) + idle
        wide = 0.0 if held.end - held.start == 1 else load - hot.get(held.start, 0.0)
        slices[held.start] = load
        wide_slices[held.start] = max(wide, 0.0)
        if held.server in servers:
            servers[held.server] += load
            wide_servers[held.server] += max(wide, 0.0)
    return ServiceLoad(slices, hashes, servers, wide_slices, wide_servers)


def _hot_loads(
    table: SliceTable, hashes: Mapping[int, float], mean: float
) -> dict[int, float]:
    """Returns the load of hot keys by first hash of their slice."""
    found: dict[int, float] = {}
    for key_hash, rate in hashes.items():
        if rate > mean * HotKeyLimits().split_ratio:
            start = table.find(key_hash).start
            found[start] = found.get(start, 0.0) + rate
    return found


def balance(
    group: str,
    granter: Granter,
    table: SliceTable,
    fixed_slices: int,
    measured: ServiceLoad,
    policy: str,
    now_ms: float,
) -> bool:
    """Changes shape or owners of slices, one kind of change at a time.

    Args:
        group: Granter group.
        granter: Its books.
        table: Slices of the service.
        fixed_slices: Number of slices that the operator file gives.
        measured: Load of the service.
        policy: Name of the balancing policy.
        now_ms: Monotonic time.

    Returns:
        Whether slices change their shape.
    """
    if not measured.servers:
        return False
    mean = sum(measured.servers.values()) / len(measured.servers)
    steady = granter.steady_slices(now_ms)
    splits = plan_splits(steady, measured.hashes, mean, HotKeyLimits())
    for split in splits:
        granter.split(split.start, split.new_starts)
    if splits:
        return True
    fixed = configured_slice_starts(fixed_slices)
    merges, gathering = plan_merges(
        steady, measured.slices, mean, fixed, HotKeyLimits()
    )
    for start in merges:
        granter.merge(start)
    if merges:
        return True
    situation = PlanInput(
        group,
        steady,
        measured.slices,
        measured.servers,
        measured.wide_slices,
        measured.wide_servers,
    )
    moves = BALANCERS[policy](situation, PlanLimits())
    moved = {move.start for move in moves}
    moves += [move for move in gathering if move.start not in moved]
    granter.set_move_plan(moves[: 2 * PlanLimits().max_moves], measured.slices)
    return False
