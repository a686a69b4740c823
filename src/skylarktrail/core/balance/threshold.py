"""Moves slices off servers that are far above the mean."""

from __future__ import annotations

from typing import Mapping, Sequence

from ..hashing import rank_candidates
from ..slices import Slice
from .policy import Move, PlanInput, PlanLimits, balancer


@balancer("threshold")
def plan_by_threshold(situation: PlanInput, limits: PlanLimits) -> list[Move]:
    """Takes the best single moves off the busiest servers, within the limits.

    Slices of one key are placed by the load of the servers as a whole. Wide slices
    are evened without the hot keys: else they would leave a server because of a
    hot key that is about to leave it, and come back after it.
    """
    single = [held for held in situation.slices if held.end - held.start == 1]
    wide = [held for held in situation.slices if held.end - held.start > 1]
    item = situation.item
    moves = _level(item, single, situation.loads, situation.servers, limits)
    return moves + _level(
        item, wide, situation.wide_loads, situation.wide_servers, limits
    )


def _level(
    item: str,
    slices: Sequence[Slice],
    loads: Mapping[int, float],
    servers: Mapping[str, float],
    limits: PlanLimits,
) -> list[Move]:
    """Returns moves that bring servers down to the threshold.

    A move counts as a gain when the receiving server stays below what the giving
    one had by at least the threshold, so that no slice goes back and forth.
    """
    totals = dict(servers)
    if len(totals) < 2:
        return []
    mean = sum(totals.values()) / len(totals)
    margin = mean * limits.threshold_ratio
    owners = {held.start: held.server for held in slices}
    moves: list[Move] = []
    while len(moves) < limits.max_moves:
        move = _best_move(item, owners, loads, totals, mean + margin, margin)
        if move is None:
            break
        load = loads.get(move.start, 0.0)
        totals[owners[move.start]] -= load
        totals[move.server] += load
        owners[move.start] = move.server
        moves.append(move)
    return moves


def _best_move(
    item: str,
    owners: Mapping[int, str],
    loads: Mapping[int, float],
    totals: Mapping[str, float],
    limit: float,
    margin: float,
) -> Move | None:
    """Returns the move that relieves the busiest server most; None for none.

    Groups that plan at one time choose different receivers among the idlest.
    """
    least = min(totals.values())
    idlest = [server for server, load in totals.items() if load <= least + margin]
    target = rank_candidates(item, idlest)[0]
    over = [server for server, load in totals.items() if load > limit]
    for giver in sorted(over, key=lambda server: (-totals[server], server)):
        gap = totals[giver] - totals[target]
        fitting = [
            (loads.get(start, 0.0), start)
            for start, server in owners.items()
            if server == giver and 0.0 < loads.get(start, 0.0) < gap - margin
        ]
        if fitting:
            _, start = min(fitting, key=lambda item: (abs(item[0] - gap / 2), item[1]))
            return Move(start, target)
    return None
