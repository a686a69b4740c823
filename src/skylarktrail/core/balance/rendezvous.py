"""Gives each slice to its first server in rank order, whatever the load."""

from __future__ import annotations

from ..hashing import rank_candidates
from .policy import Move, PlanInput, PlanLimits, balancer


@balancer("rendezvous")
def plan_by_rendezvous(situation: PlanInput, limits: PlanLimits) -> list[Move]:
    """Moves slices that are not at their first server; the baseline."""
    moves = []
    for held in situation.slices:
        server = rank_candidates(f"{situation.item}:{held.start}", situation.servers)[0]
        if server != held.server:
            moves.append(Move(held.start, server))
    return moves[: limits.max_moves]
