"""The table of slices of one keyed service."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from typing import Any, Iterator, NamedTuple

from .hashing import HASH_SPACE

FENCE_TERM_SHIFT = 32


def make_fence(term: int, seq: int) -> int:
    """Returns the fence of an assignment; it rises with term and sequence."""
    return (term << FENCE_TERM_SHIFT) | seq


class Slice(NamedTuple):
    """A range of hashes with one owner.

    Attributes:
        start: First hash.
        end: Hash after the last one.
        group: Granter group.
        server: Owner; "" for none.
        fence: Fence of the owner's assignment; 0 for none.
    """

    start: int
    end: int
    group: str
    server: str
    fence: int


class SliceTable:
    """Slices of one service, ordered by first hash, without gaps."""

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
        """Builds equal slices without owners, dealt over the groups in turn."""
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
        """Returns the slice that holds a hash."""
        return self._at(bisect_right(self._starts, key_hash) - 1)

    def get(self, start: int) -> Slice | None:
        """Returns the slice that begins at a hash, if there is one."""
        index = self._index(start)
        return None if index is None else self._at(index)

    def set_owner(self, start: int, server: str, fence: int) -> None:
        """Gives a slice to a server.

        Raises:
            KeyError: No slice begins there.
        """
        index = self._index(start)
        if index is None:
            raise KeyError(start)
        self._servers[index] = server
        self._fences[index] = fence

    def split(self, start: int, cuts: tuple[int, ...]) -> None:
        """Divides a slice at the cuts, which lie inside it and ascend."""
        index = self._index(start)
        if index is None:
            raise KeyError(start)
        after = index + 1
        parts = len(cuts)
        self._starts[after:after] = list(cuts)
        self._groups[after:after] = [self._groups[index]] * parts
        self._servers[after:after] = [self._servers[index]] * parts
        self._fences[after:after] = [self._fences[index]] * parts

    def merge(self, start: int) -> None:
        """Joins a slice to the one before it; the higher fence remains."""
        index = self._index(start)
        if not index:
            raise KeyError(start)
        before = index - 1
        self._fences[before] = max(self._fences[before], self._fences[index])
        for column in (self._starts, self._groups, self._servers, self._fences):
            del column[index]

    def count_by_server(self) -> Counter[str]:
        """Returns how many slices each server owns; "" for none."""
        return Counter(self._servers)

    def copy(self) -> SliceTable:
        """Returns an independent copy."""
        return SliceTable(
            self._starts[:], self._groups[:], self._servers[:], self._fences[:]
        )

    def dump(self) -> dict[str, Any]:
        """Returns the table in plain form."""
        return {
            "starts": self._starts[:],
            "groups": self._groups[:],
            "servers": self._servers[:],
            "fences": self._fences[:],
        }

    @classmethod
    def load(cls, plain: dict[str, Any]) -> SliceTable:
        """Builds a table from its plain form."""
        return cls(
            list(plain["starts"]),
            list(plain["groups"]),
            list(plain["servers"]),
            list(plain["fences"]),
        )
