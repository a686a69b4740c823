"""Types and registry of the balancing policies."""

from __future__ import annotations

from typing import Callable, Mapping, NamedTuple, Sequence

from ..slices import Slice


class PlanLimits(NamedTuple):
    """Limits of one plan.

    Attributes:
        threshold_ratio: Load above the mean that a server may keep, as a share of the
            mean.
        max_moves: Largest number of wide slices, and of single-key slices, that one
            plan moves.
    """

    threshold_ratio: float = 0.15
    max_moves: int = 2


class Move(NamedTuple):
    """Moves a slice to another server.

    Attributes:
        start: First hash of the slice.
        server: New owner.
    """

    start: int
    server: str


class PlanInput(NamedTuple):
    """Input of a plan.

    A wide slice contains more than one key hash.

    Attributes:
        group: Name of the granter group; breaks ties.
        slices: Slices that this plan may move, with their owners.
        loads: Requests per second of each of these slices, by first hash.
        servers: Requests per second of each server that may own slices, including the
            load of slices that only other plans may move.
        wide_loads: Like `loads`, without hot keys, which have or will get a slice of
            their own.
        wide_servers: Like `servers`, without hot keys.
    """

    group: str
    slices: Sequence[Slice]
    loads: Mapping[int, float]
    servers: Mapping[str, float]
    wide_loads: Mapping[int, float]
    wide_servers: Mapping[str, float]


Balancer = Callable[[PlanInput, PlanLimits], list[Move]]
BALANCERS: dict[str, Balancer] = {}


def balancer(name: str) -> Callable[[Balancer], Balancer]:
    """Registers a balancing policy under its name in the operator file."""

    def register(policy: Balancer) -> Balancer:
        BALANCERS[name] = policy
        return policy

    return register
