"""Busiest keys of a stream in bounded memory."""

from __future__ import annotations

from typing import NamedTuple


class HeavyHitter(NamedTuple):
    """A key that may be among the busiest.

    Attributes:
        key_hash: Hash of the key.
        count: Upper bound of its weight.
        error: Part of the count that may belong to other keys.
    """

    key_hash: int
    count: float
    error: float


class SpaceSaving:
    """Space-saving sketch: every key above 1 / capacity of the weight is in it."""

    def __init__(self, capacity: int) -> None:
        """Begins empty.

        Args:
            capacity: Largest number of keys kept.
        """
        self._capacity = capacity
        self._counts: dict[int, float] = {}
        self._errors: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, key_hash: int, weight: float = 1.0) -> None:
        """Counts one key; a new one replaces the least when the sketch is full."""
        counts = self._counts
        if key_hash in counts:
            counts[key_hash] += weight
            return
        error = 0.0
        if len(counts) >= self._capacity:
            least = min(counts, key=counts.__getitem__)
            error = counts.pop(least)
            del self._errors[least]
        counts[key_hash] = error + weight
        self._errors[key_hash] = error

    def top(self, limit: int) -> list[HeavyHitter]:
        """Returns the busiest keys, busiest first."""
        ranked = sorted(self._counts.items(), key=lambda item: (-item[1], item[0]))
        return [
            HeavyHitter(key_hash, count, self._errors[key_hash])
            for key_hash, count in ranked[:limit]
        ]

    def clear(self) -> None:
        """Forgets everything."""
        self._counts.clear()
        self._errors.clear()
