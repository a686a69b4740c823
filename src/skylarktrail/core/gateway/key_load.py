"""Measures how the load of a keyed service is spread over its hashes."""

from __future__ import annotations

import math
from itertools import accumulate
from typing import Mapping

from .model import HASHES

BUCKET_HASHES = 4  # Busy keys lie close together, so buckets have to be narrow.
BUCKETS = HASHES // BUCKET_HASHES
FADE_MS = 3000.0  # Hot keys change within seconds; older requests count less.
EVEN_PART = 0.15  # Load that is assumed to be even, as samples are few.


class KeyLoad:
    """Requests by bucket of hashes, older ones fading out."""

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._at_ms = 0.0
        self.total = 0.0

    def add(self, counts: Mapping[int, int], now_ms: float) -> None:
        """Adds requests by bucket."""
        self._fade(now_ms)
        for bucket, count in counts.items():
            self._counts[bucket] = self._counts.get(bucket, 0.0) + count
            self.total += count

    def cumulate(self, now_ms: float) -> list[float]:
        """Returns the load below each bucket; the last item is the whole load, 1."""
        self._fade(now_ms)
        total = max(self.total, 1e-9)
        even = 1.0 if self.total < 1 else EVEN_PART
        weights = [even / BUCKETS] * BUCKETS
        for bucket, count in self._counts.items():
            weights[bucket] += (1 - even) * count / total
        return [0.0, *accumulate(weights)]

    def _fade(self, now_ms: float) -> None:
        if now_ms - self._at_ms < FADE_MS / 10:
            return
        factor = math.exp(-(now_ms - self._at_ms) / FADE_MS)
        self._at_ms = now_ms
        faded = {b: c * factor for b, c in self._counts.items() if c * factor > 0.02}
        self._counts = faded
        self.total = sum(faded.values())
