"""Measures how the load of a keyed service is distributed over its hashes."""

from __future__ import annotations

import math
from bisect import bisect_left
from itertools import accumulate
from typing import Mapping

from .model import HASH_COUNT

DECAY_MS = 4000.0  # Time constant of the counts; hot keys change within seconds.
# Fraction of the load that is assumed to be evenly distributed, as samples are few.
EVEN_RATIO = 0.1
TRUSTED_SAMPLE_COUNT = 60.0  # Fewer requests say little about the distribution.
MIN_COUNT = 0.05  # Lower counts are dropped.


class LoadDistribution:
    """Cumulative distribution of the load over the hashes; the total load is 1.

    Args:
        counts: Requests by hash.
        even_ratio: Fraction of the load that is spread evenly over all hashes.
        sample_count: Number of requests on which the distribution is based.
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
        """Returns the load of all hashes below one."""
        counted = self._cumulative_loads[bisect_left(self._hashes, key_hash)]
        return self._even_ratio * key_hash / HASH_COUNT + counted

    def load_between(self, first: int, last: int) -> float:
        """Returns the load of the hashes from first to last, inclusive."""
        return self.load_below(last + 1) - self.load_below(first)

    def hash_at(self, load: float) -> int:
        """Returns the lowest hash below which there is at least a given load."""
        low, high = 0, HASH_COUNT
        while low < high:
            middle = (low + high) // 2
            if self.load_below(middle) < load:
                low = middle + 1
            else:
                high = middle
        return low


class KeyLoad:
    """Counts requests by hash, with exponential decay."""

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._decayed_ms = 0.0

    def add(self, counts: Mapping[int, int], now_ms: float) -> None:
        """Adds requests by hash."""
        self._decay(now_ms)
        for key_hash, count in counts.items():
            self._counts[key_hash] = self._counts.get(key_hash, 0.0) + count

    def distribution(self, now_ms: float) -> LoadDistribution:
        """Returns the present distribution of the load."""
        self._decay(now_ms)
        sample_count = sum(self._counts.values())
        confidence = min(1.0, sample_count / TRUSTED_SAMPLE_COUNT)
        even_ratio = EVEN_RATIO + (1 - EVEN_RATIO) * (1 - confidence)
        return LoadDistribution(self._counts, even_ratio, sample_count)

    def rate_per_s(self, now_ms: float) -> float:
        """Returns the present requests per second for all hashes."""
        self._decay(now_ms)
        return sum(self._counts.values()) / (DECAY_MS / 1000)

    def _decay(self, now_ms: float) -> None:
        if now_ms - self._decayed_ms < DECAY_MS / 10:
            return
        factor = math.exp(-(now_ms - self._decayed_ms) / DECAY_MS)
        self._decayed_ms = now_ms
        decayed = {item: count * factor for item, count in self._counts.items()}
        self._counts = {k: v for k, v in decayed.items() if v > MIN_COUNT}
