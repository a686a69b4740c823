"""Moves slices away from servers whose load is far above the mean."""

from __future__ import annotations

from typing import Mapping, Sequence

from ..hashing import rank_candidates
from ..slices import Slice
from .policy import Move, PlanInput, PlanLimits, balancer


@balancer("threshold")
def plan_by_threshold(plan_input: PlanInput, limits: PlanLimits) -> list[Move]:
    """Plans the best single moves away from the busiest servers, within the limits.

    Single-key slices are balanced by the whole load of the servers. Wide slices are
    balanced without the hot keys: otherwise they would leave a server because of a
    hot key that is about to leave it, and would return afterwards.
    """
    single = [slice_ for slice_ in plan_input.slices if slice_.end - slice_.start == 1]
    wide = [slice_ for slice_ in plan_input.slices if slice_.end - slice_.start > 1]
    group = plan_input.group
    moves = _plan_moves(group, single, plan_input.loads, plan_input.servers, limits)
    return moves + _plan_moves(
        group, wide, plan_input.wide_loads, plan_input.wide_servers, limits
    )


def _plan_moves(
    group: str,
    slices: Sequence[Slice],
    loads: Mapping[int, float],
    servers: Mapping[str, float],
    limits: PlanLimits,
) -> list[Move]:
    """Returns moves that reduce the load of servers to the threshold.

    A move is allowed only if the load of the target afterwards is below the previous
    load of the source by more than the threshold, so that slices do not oscillate.
    """
    totals = dict(servers)
    if len(totals) < 2:
        return []
    mean = sum(totals.values()) / len(totals)
    margin = mean * limits.threshold_ratio
    owners = {slice_.start: slice_.server for slice_ in slices}
    moves: list[Move] = []
    while len(moves) < limits.max_moves:
        move = _best_move(group, owners, loads, totals, mean + margin, margin)
        if move is None:
            break
        load = loads.get(move.start, 0.0)
        totals[owners[move.start]] -= load
        totals[move.server] += load
        owners[move.start] = move.server
        moves.append(move)
    return moves


def _best_move(
    group: str,
    owners: Mapping[int, str],
    loads: Mapping[int, float],
    totals: Mapping[str, float],
    limit: float,
    margin: float,
) -> Move | None:
    """Returns the best move away from the busiest server that has one, or None.

    The target is chosen by rank among the idlest servers, so that groups which plan
    at the same time choose different targets.
    """
    least = min(totals.values())
    idlest = [server for server, load in totals.items() if load <= least + margin]
    target = rank_candidates(group, idlest)[0]
    overloaded = [server for server, load in totals.items() if load > limit]
    for source in sorted(overloaded, key=lambda server: (-totals[server], server)):
        gap = totals[source] - totals[target]
        fitting = [
            (loads.get(start, 0.0), start)
            for start, server in owners.items()
            if server == source and 0.0 < loads.get(start, 0.0) < gap - margin
        ]
        if fitting:
            _, start = min(fitting, key=lambda item: (abs(item[0] - gap / 2), item[1]))
            return Move(start, target)
    return None
