"""Plans moves, splits and merges of slices from the reported load."""

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
# This part of the mean load of a slice is added to the load of every slice.
IDLE_RATIO = 0.05
MIN_RATE_PER_S = 1e-3
UNREPORTED_RATIO = 0.7


class ReceivedReport(NamedTuple):
    """The last report of one daemon about one service.

    Attributes:
        at_ms: Monotonic time at which it was received.
        event: The report.
    """

    at_ms: float
    event: LoadsReported


class Rates(NamedTuple):
    """Requests per second of the slices of a service.

    Attributes:
        excess: Requests per second above `others`, by first hash of the slice.
        others: Estimated requests per second of a slice that no daemon reported.
    """

    excess: Mapping[int, float]
    others: float

    def of(self, start: int) -> float:
        """Returns the requests per second of the slice that starts at a hash."""
        return self.excess.get(start, 0.0) + self.others

    def total(self, slices: int) -> float:
        """Returns the requests per second of a service with a number of slices."""
        return sum(self.excess.values()) + self.others * slices


class LoadTracker:
    """Sums the load of the slices of each service over all daemons.

    A report expires after `LOAD_MAX_AGE_MS`.
    """

    def __init__(self) -> None:
        self._reports: dict[str, dict[str, ReceivedReport]] = {}

    def record_report(self, now_ms: float, event: LoadsReported) -> None:
        """Records a report; it replaces the last one of the same daemon."""
        reports = self._reports.setdefault(event.service, {})
        reports[event.daemon] = ReceivedReport(now_ms, event)

    def drop_reports(self, service: str) -> None:
        """Drops the reports about a service, after its slices were split or merged."""
        self._reports.pop(service, None)

    def _recent_reports(self, service: str, now_ms: float) -> list[LoadsReported]:
        reports = self._reports.get(service, {})
        oldest_ms = now_ms - LOAD_MAX_AGE_MS
        return [report.event for report in reports.values() if report.at_ms > oldest_ms]

    def slices(self, service: str, now_ms: float) -> Rates:
        """Returns the requests per second of the slices of a service.

        A report names at most `MAX_REPORTED_SLICES` slices. A slice that a full report
        does not name counts `UNREPORTED_RATIO` of the lowest rate in the report.
        """
        rates: dict[int, float] = {}
        others = 0.0
        for event in self._recent_reports(service, now_ms):
            min_rate = 0.0
            if len(event.loads) >= MAX_REPORTED_SLICES:
                min_rate = min(load.requests_per_s for load in event.loads)
            others += min_rate * UNREPORTED_RATIO
            for load in event.loads:
                excess = load.requests_per_s - min_rate * UNREPORTED_RATIO
                rates[load.start] = rates.get(load.start, 0.0) + excess
        return Rates(rates, others)

    def hashes(self, service: str, now_ms: float) -> dict[int, float]:
        """Returns the requests per second of the busiest keys, by key hash."""
        rates: dict[int, float] = {}
        for event in self._recent_reports(service, now_ms):
            for load in event.loads:
                for key_hash, rate in load.hot_hashes:
                    rates[key_hash] = rates.get(key_hash, 0.0) + rate
        return rates


class ServiceLoad(NamedTuple):
    """Load of one service at the time of a plan, in requests per second.

    A wide slice contains more than one key hash.

    Attributes:
        slices: Load by first hash of the slice, positive for idle slices, too.
        hashes: Load of the busiest keys by key hash.
        servers: Load of each server that may own slices.
        wide_slices: Like `slices`, without the hot keys, which have or will get
            slices of their own.
        wide_servers: Like `servers`, without the hot keys.
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
    """Returns the load of a service.

    Args:
        table: Slices of the service.
        eligible: Servers that may own slices.
        rates: Requests per second of the slices.
        hashes: Requests per second of the busiest keys, by key hash.
    """
    idle = max(IDLE_RATIO * rates.total(len(table)) / len(table), MIN_RATE_PER_S)
    slices, wide_slices = {}, {}
    servers = dict.fromkeys(eligible, 0.0)
    wide_servers = dict.fromkeys(eligible, 0.0)
    hot_loads = _hot_key_loads(
        table, hashes, rates.total(len(table)) / max(len(eligible), 1)
    )
    for current in table:
        load = rates.of(current.start) + idle
        wide = (
            0.0
            if current.end - current.start == 1
            else load - hot_loads.get(current.start, 0.0)
        )
        slices[current.start] = load
        wide_slices[current.start] = max(wide, 0.0)
        if current.server in servers:
            servers[current.server] += load
            wide_servers[current.server] += max(wide, 0.0)
    return ServiceLoad(slices, hashes, servers, wide_slices, wide_servers)


def _hot_key_loads(
    table: SliceTable, hashes: Mapping[int, float], mean_rate: float
) -> dict[int, float]:
    """Returns the load of the hot keys by first hash of their slice.

    A key is hot if its load is above `split_ratio` of the mean load of a server.
    """
    found: dict[int, float] = {}
    for key_hash, rate in hashes.items():
        if rate > mean_rate * HotKeyLimits().split_ratio:
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
    """Splits, merges or moves slices of a group according to the load.

    Only one kind of change is made at a time: splits come first, then merges, then
    moves.

    Args:
        group: Granter group.
        granter: Granter of the group.
        table: Slices of the service.
        fixed_slices: Number of slices that the operator file configures.
        measured: Load of the service.
        policy: Name of the balancing policy.
        now_ms: Monotonic time.

    Returns:
        Whether slices are split or merged.
    """
    if not measured.servers:
        return False
    mean_rate = sum(measured.servers.values()) / len(measured.servers)
    steady = granter.steady_slices(now_ms)
    splits = plan_splits(steady, measured.hashes, mean_rate, HotKeyLimits())
    for split in splits:
        granter.split(split.start, split.new_starts)
    if splits:
        return True
    fixed = configured_slice_starts(fixed_slices)
    merges, merge_moves = plan_merges(
        steady, measured.slices, mean_rate, fixed, HotKeyLimits()
    )
    for start in merges:
        granter.merge(start)
    if merges:
        return True
    plan_input = PlanInput(
        group,
        steady,
        measured.slices,
        measured.servers,
        measured.wide_slices,
        measured.wide_servers,
    )
    moves = BALANCERS[policy](plan_input, PlanLimits())
    moved = {move.start for move in moves}
    moves += [move for move in merge_moves if move.start not in moved]
    granter.set_move_plan(moves[: 2 * PlanLimits().max_moves], measured.slices)
    return False
