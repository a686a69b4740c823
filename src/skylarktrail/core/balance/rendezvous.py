"""Places each slice by rendezvous hashing, regardless of the load."""

from __future__ import annotations

from ..hashing import rank_candidates
from .policy import Move, PlanInput, PlanLimits, balancer


@balancer("rendezvous")
def plan_by_rendezvous(plan_input: PlanInput, limits: PlanLimits) -> list[Move]:
    """Moves slices that are not on their highest-ranked server.

    It is the baseline for the other policies.
    """
    moves = []
    for slice_ in plan_input.slices:
        server = rank_candidates(
            f"{plan_input.group}:{slice_.start}", plan_input.servers
        )[0]
        if server != slice_.server:
            moves.append(Move(slice_.start, server))
    return moves[: limits.max_moves]
