"""Hot keys get a slice of their own, and lose it when they are cold again."""

from __future__ import annotations

from typing import Iterable, Mapping, NamedTuple, Sequence

from ..hashing import HASH_SPACE
from ..slices import Slice
from .policy import Move


class HotKeyLimits(NamedTuple):
    """When a key is hot and when a slice is cold.

    Attributes:
        split_ratio: Share of a server's mean load above which a key is split out.
        merge_ratio: Share up to which two neighbours together become one again.
        slices: Largest number of slices that a group may have.
    """

    split_ratio: float = 0.25
    merge_ratio: float = 0.2
    slices: int = 512


class SplitPlan(NamedTuple):
    """Divides a slice.

    Attributes:
        start: First hash of the slice.
        new_starts: First hashes of the new slices, ascending.
    """

    start: int
    new_starts: tuple[int, ...]


def plan_splits(
    slices: Sequence[Slice],
    hot_hashes: Mapping[int, float],
    server_mean: float,
    limits: HotKeyLimits,
) -> list[SplitPlan]:
    """Returns splits that give each hot key a slice of its own.

    Args:
        slices: Slices of the group.
        hot_hashes: Requests a second of the busiest keys, by hash.
        server_mean: Mean requests a second of a server.
        limits: When a key is hot.
    """
    least = max(server_mean * limits.split_ratio, 1.0)
    hot = sorted(key for key, rate in hot_hashes.items() if rate > least)
    plans = []
    room = limits.slices - len(slices)
    for held in slices:
        inside = [key for key in hot if held.start <= key < held.end]
        if not inside or held.end - held.start == 1:
            continue
        bounds = {bound for key in inside for bound in (key, key + 1)}
        new_starts = sorted(bound for bound in bounds if held.start < bound < held.end)
        if new_starts and len(new_starts) <= room:
            room -= len(new_starts)
            plans.append(SplitPlan(held.start, tuple(new_starts)))
    return plans


def configured_slice_starts(slices: int) -> set[int]:
    """Returns the first hashes of the slices that the operator file gives."""
    return {index * HASH_SPACE // slices for index in range(slices)}


def plan_merges(
    slices: Sequence[Slice],
    loads: Mapping[int, float],
    server_mean: float,
    fixed: Iterable[int],
    limits: HotKeyLimits,
) -> tuple[list[int], list[Move]]:
    """Returns slices to join to the one before, and moves that make it possible.

    Args:
        slices: Slices of the group.
        loads: Requests a second by first hash.
        server_mean: Mean requests a second of a server.
        fixed: First hashes that stay, since the operator file gives them.
        limits: When slices are cold.
    """
    most = server_mean * limits.merge_ratio
    kept = set(fixed)
    merges: list[int] = []
    moves: list[Move] = []
    by_end = {held.end: held for held in slices}
    for held in sorted(slices):
        before = by_end.get(held.start)
        if held.start in kept or before is None or before.start in merges:
            continue
        if loads.get(held.start, 0.0) + loads.get(before.start, 0.0) > most:
            continue
        if held.server == before.server:
            merges.append(held.start)
        elif before.server:
            moves.append(Move(held.start, before.server))
    return merges, moves
