"""Balancing policies and their registry."""

from __future__ import annotations

from typing import Callable, Mapping, NamedTuple, Sequence

from ..slices import Slice


class PlanLimits(NamedTuple):
    """Bounds of one plan.

    Attributes:
        threshold_ratio: Excess of a server over the mean that is left alone.
        max_moves: Largest number of wide slices, and of single-key slices, that one
            plan moves.
    """

    threshold_ratio: float = 0.15
    max_moves: int = 2


class Move(NamedTuple):
    """Gives a slice to another server.

    Attributes:
        start: First hash of the slice.
        server: The new owner.
    """

    start: int
    server: str


class PlanInput(NamedTuple):
    """What a plan is made from.

    Attributes:
        item: Names the group; breaks ties.
        slices: Slices that this plan may move, with their owners.
        loads: Requests a second of each of them, by first hash.
        servers: Requests a second of each server that may own slices, with the
            load of slices that other plans move.
        wide_loads: Like `loads`, without keys that are or will be split out.
        wide_servers: Like `servers`, without keys that are or will be split out.
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
    """Registers a policy under its name in the operator file."""

    def register(policy: Balancer) -> Balancer:
        BALANCERS[name] = policy
        return policy

    return register
