"""Finds the busiest keys of a stream in bounded memory."""

from __future__ import annotations

from typing import NamedTuple


class HeavyHitter(NamedTuple):
    """A key that may be among the busiest.

    Attributes:
        key_hash: Hash of the key.
        count: Upper bound of the weight of the key.
        error: Part of `count` that may belong to other keys.
    """

    key_hash: int
    count: float
    error: float


class SpaceSaving:
    """Space-saving sketch.

    Contains every key whose weight exceeds 1 / capacity of the total weight.
    """

    def __init__(self, capacity: int) -> None:
        """Creates an empty sketch.

        Args:
            capacity: Largest number of keys in the sketch.
        """
        self._capacity = capacity
        self._counts: dict[int, float] = {}
        self._errors: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, key_hash: int, weight: float = 1.0) -> None:
        """Adds weight to a key; in a full sketch a new key replaces the lightest."""
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
        """Returns at most `limit` keys, busiest first."""
        ranked = sorted(self._counts.items(), key=lambda item: (-item[1], item[0]))
        return [
            HeavyHitter(key_hash, count, self._errors[key_hash])
            for key_hash, count in ranked[:limit]
        ]

    def clear(self) -> None:
        """Removes all keys."""
        self._counts.clear()
        self._errors.clear()
