"""Merges adjacent leased ranges of the same owner.

Each range costs one renewal per interval, so their number has to stay small.
"""

from __future__ import annotations

from typing import Iterable

from .leased_range import LeasedRange


def merge_adjacent(ranges: Iterable[LeasedRange], now_ms: float) -> list[LeasedRange]:
    """Merges adjacent leased ranges of the same owner; merged ones need a new fence.

    Returns:
        The ranges that are left, in order of their hashes.
    """
    joined: list[LeasedRange] = []
    for item in sorted(ranges, key=lambda item: item.owned.first):
        if joined and _can_merge(joined[-1], item, now_ms):
            _absorb(joined[-1], item, now_ms)
        else:
            joined.append(item)
    return joined


def _absorb(left: LeasedRange, right: LeasedRange, now_ms: float) -> None:
    """Extends a range by the next one, with the later end of each lease."""
    left.owned = left.owned._replace(last=right.owned.last)
    left.fence = 0
    left.next_call_ms = now_ms
    left.lease_end_ms = max(left.lease_end_ms, right.lease_end_ms)
    left.inherited_lease_end_ms = max(
        left.inherited_lease_end_ms, right.inherited_lease_end_ms
    )
    left.unproven_grant_end_ms = max(
        left.unproven_grant_end_ms, right.unproven_grant_end_ms
    )
    left.former_calls_end_ms = max(left.former_calls_end_ms, right.former_calls_end_ms)


def _can_merge(left: LeasedRange, right: LeasedRange, now_ms: float) -> bool:
    is_adjacent = left.owned.last + 1 == right.owned.first
    has_same_owner = left.owned[2:] == right.owned[2:]
    are_settled = _is_settled(left, now_ms) and _is_settled(right, now_ms)
    return is_adjacent and has_same_owner and are_settled


def _is_settled(item: LeasedRange, now_ms: float) -> bool:
    is_moving = item.is_releasing or item.is_released or item.target or item.call_id
    return not is_moving and not item.needs_fencing(now_ms)
