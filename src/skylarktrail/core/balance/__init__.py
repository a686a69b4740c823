"""Load balancing of slices: load meters, plans of moves, and hot keys."""

from __future__ import annotations

from . import rendezvous, threshold
from .policy import BALANCERS, Move, PlanInput, PlanLimits

__all__ = ["BALANCERS", "PlanLimits", "Move", "PlanInput", "rendezvous", "threshold"]
