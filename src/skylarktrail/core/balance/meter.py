"""Measures the load of slices and keys at one daemon."""

from __future__ import annotations

from ..ownership.messages import LoadsReported, SliceLoad
from .report_limits import MAX_REPORTED_KEYS, MAX_REPORTED_SLICES
from .sketch import SpaceSaving

MEAN_SAMPLE_INTERVAL = 8
SKETCH_CAPACITY = 128


class LoadMeter:
    """Counts the requests of one keyed service by slice and samples their keys."""

    def __init__(self, daemon: str, service: str, now_ms: float) -> None:
        """Creates a meter whose first report covers the time from now on.

        Args:
            daemon: Name of this daemon.
            service: Name of the keyed service.
            now_ms: Monotonic time.
        """
        self._daemon = daemon
        self._service = service
        self._since_ms = now_ms
        self._counts: dict[int, int] = {}
        self._sketch = SpaceSaving(SKETCH_CAPACITY)
        self._random_state = 1
        self._requests_until_sample = MEAN_SAMPLE_INTERVAL

    def record_request(self, start: int, key_hash: int) -> None:
        """Counts a request.

        Args:
            start: First hash of the slice that contains the key.
            key_hash: Hash of the key.
        """
        self._counts[start] = self._counts.get(start, 0) + 1
        self._requests_until_sample -= 1
        if self._requests_until_sample == 0:
            self._requests_until_sample = self._next_sample_gap()
            self._sketch.add(key_hash, MEAN_SAMPLE_INTERVAL)

    def _next_sample_gap(self) -> int:
        """Returns the number of requests until the next sample.

        The gaps are pseudo-random with mean `MEAN_SAMPLE_INTERVAL` (a linear
        congruential generator), so that periodic request patterns do not bias the
        sample.
        """
        self._random_state = (self._random_state * 1103515245 + 12345) % (1 << 31)
        return 1 + (self._random_state >> 16) % (2 * MEAN_SAMPLE_INTERVAL - 1)

    def collect_report(self, now_ms: float) -> LoadsReported:
        """Returns the busiest slices and keys since the last report, and resets them.

        The report names at most `MAX_REPORTED_SLICES` slices and `MAX_REPORTED_KEYS`
        keys, whatever the number of slices.
        """
        span_s = max(now_ms - self._since_ms, 1.0) / 1000
        busiest = sorted(self._counts.items(), key=lambda item: (-item[1], item[0]))
        keys = self._keys_by_slice(span_s)
        loads = tuple(
            SliceLoad(start, count / span_s, tuple(keys.get(start, ())))
            for start, count in busiest[:MAX_REPORTED_SLICES]
        )
        self._since_ms = now_ms
        self._counts = {}
        self._sketch.clear()
        return LoadsReported(self._daemon, self._service, loads)

    def _keys_by_slice(self, span_s: float) -> dict[int, list[tuple[int, float]]]:
        starts = sorted(self._counts)
        found: dict[int, list[tuple[int, float]]] = {}
        for hitter in self._sketch.top(MAX_REPORTED_KEYS):
            start = max(
                (start for start in starts if start <= hitter.key_hash), default=None
            )
            if start is not None:
                rate = (hitter.count - hitter.error) / span_s
                found.setdefault(start, []).append((hitter.key_hash, rate))
        return found
