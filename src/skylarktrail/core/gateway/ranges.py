"""Key ranges of a service and the instances that are recorded as their owners."""

from __future__ import annotations

from bisect import bisect_right
from typing import Iterable, NamedTuple

from .model import HASH_COUNT


class OwnedRange(NamedTuple):
    """Hashes that one life of an instance owns by record.

    Attributes:
        first: First hash.
        last: Last hash, inclusive.
        owner: Identifier of the instance.
        start_ms: Start of the life that owns them.
        next_owner: Instance that gets them as soon as the owner holds them no more;
            empty while they stay.
        next_start_ms: Start of its life.
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
        """Returns the range of a hash."""
        index = bisect_right(self._first_hashes, key_hash) - 1
        if index < 0 or self.ranges[index].last < key_hash:
            return None
        return self.ranges[index]

    def owners(self) -> set[str]:
        """Returns the identifiers of all owners."""
        return {item.owner for item in self.ranges}


def coalesce(ranges: Iterable[OwnedRange]) -> list[OwnedRange]:
    """Sorts ranges and joins neighbours of one owner."""
    joined: list[OwnedRange] = []
    for item in sorted(ranges):
        previous = joined[-1] if joined else None
        if previous and previous[2:] == item[2:] and previous.last + 1 == item.first:
            joined[-1] = previous._replace(last=item.last)
        else:
            joined.append(item)
    return joined


def changed_ranges(before: OwnerTable, after: OwnerTable) -> list[OwnedRange]:
    """Returns what has to be laid over the first table to get the second.

    Hashes that lose their owner are ranges with an empty owner.
    """
    known = set(before.ranges)
    changed = [item for item in after.ranges if item not in known]
    gaps = find_gaps((item.first, item.last) for item in after.ranges)
    return changed + [OwnedRange(first, last, "", 0) for first, last in gaps]


def apply_changed_ranges(
    before: OwnerTable, changed: Iterable[OwnedRange]
) -> OwnerTable:
    """Returns the table with some ranges changed."""
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
    """Returns the hashes that no range covers, as first and last of each gap."""
    gaps = []
    next_hash = 0
    for first, last in sorted(ranges):
        if first > next_hash:
            gaps.append((next_hash, first - 1))
        next_hash = max(next_hash, last + 1)
    if next_hash < HASH_COUNT:
        gaps.append((next_hash, HASH_COUNT - 1))
    return gaps
