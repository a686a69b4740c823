"""Measures how the load of a keyed service is spread over its hashes."""

from __future__ import annotations

import math
from bisect import bisect_left
from itertools import accumulate
from typing import Mapping

from .model import HASH_COUNT

DECAY_MS = 4000.0  # Hot keys change within seconds; older requests count less.
EVEN_RATIO = 0.1  # Load that is assumed to be even_ratio, as sample_count are few.
TRUSTED_SAMPLE_COUNT = 60.0  # Fewer requests say little about the spread.
MIN_COUNT = 0.05  # Counts below this are dropped.


class LoadDistribution:
    """Load below each hash; the whole load is 1.

    Args:
        counts: Requests by hash.
        even_ratio: Part of the load that is spread evenly over all hashes.
        sample_count: Number of requests behind it.
    """

    def __init__(
        self, counts: Mapping[int, float], even_ratio: float, sample_count: float
    ) -> None:
        self.sample_count = sample_count
        self._even_ratio = even_ratio if counts else 1.0
        self._hashes = sorted(counts)
        total = sum(counts.values()) or 1.0
        scaled = [
            counts[item] * (1 - self._even_ratio) / total for item in self._hashes
        ]
        self._cumulative_loads = [0.0, *accumulate(scaled)]

    def load_below(self, key_hash: int) -> float:
        """Returns the load of all lower hashes."""
        counted = self._cumulative_loads[bisect_left(self._hashes, key_hash)]
        return self._even_ratio * key_hash / HASH_COUNT + counted

    def load_between(self, first: int, last: int) -> float:
        """Returns the load of hashes from first to last, both included."""
        return self.load_below(last + 1) - self.load_below(first)

    def hash_at(self, load: float) -> int:
        """Returns the lowest hash below which there is at least this load."""
        low, high = 0, HASH_COUNT
        while low < high:
            middle = (low + high) // 2
            if self.load_below(middle) < load:
                low = middle + 1
            else:
                high = middle
        return low


class KeyLoad:
    """Requests by hash, older ones fading out."""

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._decayed_ms = 0.0

    def add(self, counts: Mapping[int, int], now_ms: float) -> None:
        """Adds requests by hash."""
        self._decay(now_ms)
        for key_hash, count in counts.items():
            self._counts[key_hash] = self._counts.get(key_hash, 0.0) + count

    def distribution(self, now_ms: float) -> LoadDistribution:
        """Returns how the load is spread now."""
        self._decay(now_ms)
        sample_count = sum(self._counts.values())
        confidence = min(1.0, sample_count / TRUSTED_SAMPLE_COUNT)
        even_ratio = EVEN_RATIO + (1 - EVEN_RATIO) * (1 - confidence)
        return LoadDistribution(self._counts, even_ratio, sample_count)

    def _decay(self, now_ms: float) -> None:
        if now_ms - self._decayed_ms < DECAY_MS / 10:
            return
        factor = math.exp(-(now_ms - self._decayed_ms) / DECAY_MS)
        self._decayed_ms = now_ms
        decayed = {item: count * factor for item, count in self._counts.items()}
        self._counts = {k: v for k, v in decayed.items() if v > MIN_COUNT}
