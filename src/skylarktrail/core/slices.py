"""Slice table of one keyed service."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from typing import Any, Iterator, NamedTuple

from .hashing import HASH_SPACE

FENCE_TERM_SHIFT = 32


def make_fence(term: int, seq: int) -> int:
    """Returns the fence of an assignment.

    Fences increase with the term and, within a term, with the sequence number.
    """
    return (term << FENCE_TERM_SHIFT) | seq


class Slice(NamedTuple):
    """A range of key hashes with one owner.

    Attributes:
        start: First hash of the range.
        end: Hash after the last one of the range.
        group: Granter group that assigns the slice.
        server: VM identifier of the owner; "" for none.
        fence: Fence of the assignment to the owner; 0 for none.
    """

    start: int
    end: int
    group: str
    server: str
    fence: int


class SliceTable:
    """Slices of one service, sorted by first hash.

    The slices cover the whole hash space without gaps.
    """

    def __init__(
        self,
        starts: list[int],
        groups: list[str],
        servers: list[str],
        fences: list[int],
    ) -> None:
        self._starts = starts
        self._groups = groups
        self._servers = servers
        self._fences = fences

    @classmethod
    def build_even(cls, service: str, slices: int, groups: int) -> SliceTable:
        """Builds slices of equal width without owners.

        Args:
            service: Name of the service.
            slices: Number of slices.
            groups: Number of granter groups; they get the slices round-robin.
        """
        starts = [index * HASH_SPACE // slices for index in range(slices)]
        names = [f"{service}/{index % groups}" for index in range(slices)]
        return cls(starts, names, [""] * slices, [0] * slices)

    def __len__(self) -> int:
        return len(self._starts)

    def __iter__(self) -> Iterator[Slice]:
        return (self._at(index) for index in range(len(self._starts)))

    def _at(self, index: int) -> Slice:
        following = index + 1
        last = following == len(self._starts)
        end = HASH_SPACE if last else self._starts[following]
        return Slice(
            self._starts[index],
            end,
            self._groups[index],
            self._servers[index],
            self._fences[index],
        )

    def _index(self, start: int) -> int | None:
        index = bisect_right(self._starts, start) - 1
        return index if self._starts[index] == start else None

    def find(self, key_hash: int) -> Slice:
        """Returns the slice that contains a hash."""
        return self._at(bisect_right(self._starts, key_hash) - 1)

    def get(self, start: int) -> Slice | None:
        """Returns the slice that starts at a hash; None if there is none."""
        index = self._index(start)
        return None if index is None else self._at(index)

    def set_owner(self, start: int, server: str, fence: int) -> None:
        """Sets the owner of the slice that starts at a hash.

        Raises:
            KeyError: No slice starts at the hash.
        """
        index = self._index(start)
        if index is None:
            raise KeyError(start)
        self._servers[index] = server
        self._fences[index] = fence

    def split(self, start: int, new_starts: tuple[int, ...]) -> None:
        """Splits a slice; the parts keep its group, owner and fence.

        Args:
            start: First hash of the slice.
            new_starts: First hashes of the new slices, ascending and inside the slice.

        Raises:
            KeyError: No slice starts at the hash.
        """
        index = self._index(start)
        if index is None:
            raise KeyError(start)
        after = index + 1
        parts = len(new_starts)
        self._starts[after:after] = list(new_starts)
        self._groups[after:after] = [self._groups[index]] * parts
        self._servers[after:after] = [self._servers[index]] * parts
        self._fences[after:after] = [self._fences[index]] * parts

    def merge(self, start: int) -> None:
        """Merges a slice into the one before it, which gets the higher fence.

        Raises:
            KeyError: No slice starts at the hash, or it is the first slice.
        """
        index = self._index(start)
        if not index:
            raise KeyError(start)
        before = index - 1
        self._fences[before] = max(self._fences[before], self._fences[index])
        for column in (self._starts, self._groups, self._servers, self._fences):
            del column[index]

    def count_by_server(self) -> Counter[str]:
        """Returns how many slices each server owns; "" counts unassigned slices."""
        return Counter(self._servers)

    def copy(self) -> SliceTable:
        """Returns an independent copy."""
        return SliceTable(
            self._starts[:], self._groups[:], self._servers[:], self._fences[:]
        )

    def dump(self) -> dict[str, Any]:
        """Returns the table as plain lists."""
        return {
            "starts": self._starts[:],
            "groups": self._groups[:],
            "servers": self._servers[:],
            "fences": self._fences[:],
        }

    @classmethod
    def load(cls, plain: dict[str, Any]) -> SliceTable:
        """Builds a table from the result of `dump`."""
        return cls(
            list(plain["starts"]),
            list(plain["groups"]),
            list(plain["servers"]),
            list(plain["fences"]),
        )
