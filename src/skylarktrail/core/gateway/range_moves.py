"""Plans, applies and cancels moves of leased ranges."""

from __future__ import annotations

import math
from typing import Sequence

from .key_load import LoadDistribution
from .leased_range import LeasedRange
from .listed_owners import ListedOwners
from .pending_calls import PendingCalls
from .planner import RangeAssignment, RangeMove, plan_moves
from .ranges import OwnedRange, find_gaps


def find_unassigned(ranges: Sequence[LeasedRange]) -> list[tuple[int, int]]:
    """Returns hashes that no range covers."""
    return find_gaps((item.owned.first, item.owned.last) for item in ranges)


def plan_range_moves(
    ranges: Sequence[LeasedRange],
    owners: ListedOwners,
    distribution: LoadDistribution,
    may_balance: bool,
) -> list[RangeMove]:
    """Plans moves to instances that may receive keys.

    Args:
        ranges: All ranges of the service.
        owners: The listed instances.
        distribution: Distribution of the load over the hashes.
        may_balance: Whether ranges may also move just to balance the load; if not, only
            ranges that need another owner move.
    """
    capacities = owners.capacities()
    if not capacities:
        return []
    assignments = [
        RangeAssignment(first, last, "") for first, last in find_unassigned(ranges)
    ] + [
        RangeAssignment(item.owned.first, item.owned.last, item.owned.owner)
        for item in ranges
        if not item.is_released and not item.target and not owners.is_pinned(item)
    ]
    moves = plan_moves(assignments, capacities, distribution)
    if may_balance:
        return moves
    return [move for move in moves if not _can_owner_receive(ranges, owners, move)]


def _can_owner_receive(
    ranges: Sequence[LeasedRange], owners: ListedOwners, move: RangeMove
) -> bool:
    """Returns whether the present owner of moved hashes may receive keys."""
    for item in ranges:
        if item.owned.first <= move.first <= item.owned.last and not item.is_released:
            return owners.can_receive(item.owned.owner)
    return False


def cancel_lost_moves(
    ranges: Sequence[LeasedRange], owners: ListedOwners
) -> list[LeasedRange]:
    """Cancels moves whose target is lost, so that the hashes are planned again.

    Returns:
        The ranges that still have an owner or a target.
    """
    for item in ranges:
        is_own_move = item.target and not item.is_inherited_move
        if is_own_move and not owners.can_target_receive(item):
            item.clear_target()
    return [item for item in ranges if not item.is_released or item.target]


def apply_move(
    ranges: Sequence[LeasedRange],
    move: RangeMove,
    start_ms: int,
    pending_calls: PendingCalls,
) -> list[LeasedRange]:
    """Splits ranges at the edges of a move and sets the target between them.

    Args:
        ranges: All ranges of the service.
        move: The move.
        start_ms: Start of the incarnation of the instance that gets the hashes.
        pending_calls: Calls without a result, some of them about ranges that are split.

    Returns:
        The ranges that replace the given ones.
    """
    result: list[LeasedRange] = []
    covered: list[tuple[int, int]] = []
    for item in ranges:
        first = max(item.owned.first, move.first)
        last = min(item.owned.last, move.last)
        if first > last:
            result.append(item)
            continue
        covered.append((first, last))
        parts = _split(item, first, last, move.owner, start_ms)
        pending_calls.split_range(item, parts)
        result += parts
    for first, last in find_gaps(covered):
        first, last = max(first, move.first), min(last, move.last)
        if first <= last:
            result.append(_make_unowned(first, last, move.owner, start_ms))
    return result


def _split(
    item: LeasedRange, first: int, last: int, target: str, start_ms: int
) -> list[LeasedRange]:
    """Returns the parts of a range; the one between two hashes gets the target."""
    parts = []
    if item.owned.first < first:
        parts.append(item.copy_subrange(item.owned.first, first - 1))
    moved = item.copy_subrange(first, last)
    moved.set_target(target, start_ms)
    parts.append(moved)
    if last < item.owned.last:
        parts.append(item.copy_subrange(last + 1, item.owned.last))
    return parts


def _make_unowned(first: int, last: int, target: str, start_ms: int) -> LeasedRange:
    """Returns a range that nobody owns and that the target gets next."""
    item = LeasedRange(OwnedRange(first, last, "", 0), "", -math.inf)
    item.is_released = item.is_releasing = True
    item.set_target(target, start_ms)
    return item
