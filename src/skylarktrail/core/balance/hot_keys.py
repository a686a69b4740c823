"""Splits hot keys into slices of their own, and merges slices that are cold again."""

from __future__ import annotations

from typing import Iterable, Mapping, NamedTuple, Sequence

from ..hashing import HASH_SPACE
from ..slices import Slice
from .policy import Move


class HotKeyLimits(NamedTuple):
    """Limits that decide which keys are hot and which slices are cold.

    Attributes:
        split_ratio: Share of the mean load of a server above which a key is hot and
            gets a slice of its own.
        merge_ratio: Share of the mean load of a server up to which two adjacent slices
            together are cold and are merged.
        slices: Largest number of slices of a group.
    """

    split_ratio: float = 0.25
    merge_ratio: float = 0.2
    slices: int = 512


class SplitPlan(NamedTuple):
    """Plan to split one slice.

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
        hot_hashes: Requests per second of the busiest keys, by hash.
        server_mean: Mean requests per second of a server.
        limits: Limits for hot keys.
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
    """Returns the first hashes of the slices that the operator file configures.

    Args:
        slices: Number of slices in the operator file.
    """
    return {index * HASH_SPACE // slices for index in range(slices)}


def plan_merges(
    slices: Sequence[Slice],
    loads: Mapping[int, float],
    server_mean: float,
    fixed: Iterable[int],
    limits: HotKeyLimits,
) -> tuple[list[int], list[Move]]:
    """Plans merges of cold slices with the slice before them.

    Two slices can be merged only on the same server.

    Args:
        slices: Slices of the group.
        loads: Requests per second by first hash.
        server_mean: Mean requests per second of a server.
        fixed: First hashes configured by the operator file; these slices stay.
        limits: Limits for cold slices.

    Returns:
        First hashes of the slices to merge, and moves that bring cold slices to the
        server of the slice before them.
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
