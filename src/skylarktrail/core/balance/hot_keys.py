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
    min_rate = max(server_mean * limits.split_ratio, 1.0)
    hot = sorted(key for key, rate in hot_hashes.items() if rate > min_rate)
    plans = []
    remaining_slices = limits.slices - len(slices)
    for slice_ in slices:
        hot_hashes_inside = [key for key in hot if slice_.start <= key < slice_.end]
        if not hot_hashes_inside or slice_.end - slice_.start == 1:
            continue
        bounds = {bound for key in hot_hashes_inside for bound in (key, key + 1)}
        new_starts = sorted(
            bound for bound in bounds if slice_.start < bound < slice_.end
        )
        if new_starts and len(new_starts) <= remaining_slices:
            remaining_slices -= len(new_starts)
            plans.append(SplitPlan(slice_.start, tuple(new_starts)))
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
    max_load = server_mean * limits.merge_ratio
    fixed_starts = set(fixed)
    merges: list[int] = []
    moves: list[Move] = []
    by_end = {slice_.end: slice_ for slice_ in slices}
    for slice_ in sorted(slices):
        before = by_end.get(slice_.start)
        if slice_.start in fixed_starts or before is None or before.start in merges:
            continue
        if loads.get(slice_.start, 0.0) + loads.get(before.start, 0.0) > max_load:
            continue
        if slice_.server == before.server:
            merges.append(slice_.start)
        elif before.server:
            moves.append(Move(slice_.start, before.server))
    return merges, moves
