"""Quantiles of recent latencies of a service."""

from __future__ import annotations

WINDOW_SAMPLE_COUNT = 256
REFRESH_SAMPLE_COUNT = 32
BASELINE_GROWTH_RATIO = 1.02


class LatencyWindow:
    """Sliding window of the latest latencies of a service.

    Quantiles are recomputed once every `REFRESH_SAMPLE_COUNT` samples.

    Attributes:
        baseline_ms: Estimate of the median latency without queueing. Follows the
            current median down at once and up slowly. 0 before the first refresh.
    """

    def __init__(self) -> None:
        self._samples: list[float] = []
        self._sorted: list[float] = []
        self._next_index = 0
        self._unsorted_count = 0
        self.baseline_ms = 0.0

    def add_sample(self, latency_ms: float) -> bool:
        """Adds a sample.

        Returns:
            Whether this sample recomputed the quantiles.
        """
        if len(self._samples) < WINDOW_SAMPLE_COUNT:
            self._samples.append(latency_ms)
        else:
            self._samples[self._next_index] = latency_ms
            self._next_index = (self._next_index + 1) % WINDOW_SAMPLE_COUNT
        self._unsorted_count += 1
        if (
            self._unsorted_count < REFRESH_SAMPLE_COUNT
            and len(self._samples) > REFRESH_SAMPLE_COUNT
        ):
            return False
        self._refresh()
        return True

    def _refresh(self) -> None:
        self._unsorted_count = 0
        self._sorted = sorted(self._samples)
        median = self.quantile_ms(50)
        self.baseline_ms = min(
            self.baseline_ms * BASELINE_GROWTH_RATIO or median, median
        )

    def quantile_ms(self, percent: float) -> float:
        """Returns a percentile as of the last refresh; 0 without samples."""
        if not self._sorted:
            return 0.0
        index = int(len(self._sorted) * percent / 100)
        return self._sorted[min(index, len(self._sorted) - 1)]
