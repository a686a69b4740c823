"""Key ranges of a service and their recorded owners."""

from __future__ import annotations

from bisect import bisect_right
from typing import Iterable, NamedTuple

from .model import HASH_COUNT


class OwnedRange(NamedTuple):
    """A range of hashes and its recorded owner, one incarnation of an instance.

    Attributes:
        first: First hash.
        last: Last hash, inclusive.
        owner: Identifier of the owner.
        start_ms: Start of the owner's incarnation.
        next_owner: Instance that gets the range as soon as the owner holds no lease;
            empty if the range does not move.
        next_start_ms: Start of the next owner's incarnation.
    """

    first: int
    last: int
    owner: str
    start_ms: int
    next_owner: str = ""
    next_start_ms: int = 0


class OwnerTable:
    """Recorded owners of all hashes of one service."""

    def __init__(self, ranges: Iterable[OwnedRange] = ()) -> None:
        self.ranges = coalesce(ranges)
        self._first_hashes = [item.first for item in self.ranges]

    def find(self, key_hash: int) -> OwnedRange | None:
        """Returns the range that contains a hash, if there is one."""
        index = bisect_right(self._first_hashes, key_hash) - 1
        if index < 0 or self.ranges[index].last < key_hash:
            return None
        return self.ranges[index]

    def owners(self) -> set[str]:
        """Returns the identifiers of all owners."""
        return {item.owner for item in self.ranges}


def coalesce(ranges: Iterable[OwnedRange]) -> list[OwnedRange]:
    """Sorts ranges and merges adjacent ranges of the same owner."""
    joined: list[OwnedRange] = []
    for item in sorted(ranges):
        previous = joined[-1] if joined else None
        if previous and previous[2:] == item[2:] and previous.last + 1 == item.first:
            joined[-1] = previous._replace(last=item.last)
        else:
            joined.append(item)
    return joined


def changed_ranges(before: OwnerTable, after: OwnerTable) -> list[OwnedRange]:
    """Returns the changes from one table to another, for `apply_changed_ranges`.

    Hashes without an owner in the second table are returned with an empty owner.
    """
    known = set(before.ranges)
    changed = [item for item in after.ranges if item not in known]
    gaps = find_gaps((item.first, item.last) for item in after.ranges)
    return changed + [OwnedRange(first, last, "", 0) for first, last in gaps]


def apply_changed_ranges(
    before: OwnerTable, changed: Iterable[OwnedRange]
) -> OwnerTable:
    """Returns a table in which changed ranges replace what they overlap."""
    changed = sorted(changed)
    kept = []
    for item in before.ranges:
        first = item.first
        for other in changed:
            if other.last < first or other.first > item.last:
                continue
            if other.first > first:
                kept.append(item._replace(first=first, last=other.first - 1))
            first = other.last + 1
        if first <= item.last:
            kept.append(item._replace(first=first))
    return OwnerTable([*kept, *(item for item in changed if item.owner)])


def find_gaps(ranges: Iterable[tuple[int, int]]) -> list[tuple[int, int]]:
    """Returns the first and last hash of each gap that no range covers."""
    gaps = []
    next_hash = 0
    for first, last in sorted(ranges):
        if first > next_hash:
            gaps.append((next_hash, first - 1))
        next_hash = max(next_hash, last + 1)
    if next_hash < HASH_COUNT:
        gaps.append((next_hash, HASH_COUNT - 1))
    return gaps
