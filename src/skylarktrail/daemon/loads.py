"""Load meters of the keyed services."""

from __future__ import annotations

import threading

from ..core.balance.meter import LoadMeter
from ..core.ownership.messages import LoadsReported
from .clock import now_ms


class LoadMeters:
    """One load meter for each keyed service.

    Any thread may call the methods.

    Args:
        daemon: Name of this daemon.
    """

    def __init__(self, daemon: str) -> None:
        self._daemon = daemon
        self._lock = threading.Lock()
        self._meters: dict[str, LoadMeter] = {}

    def record_request(self, service: str, start: int, key_hash: int) -> None:
        """Counts one keyed request.

        Args:
            service: A keyed service.
            start: First hash of the slice of the key.
            key_hash: Hash of the key.
        """
        with self._lock:
            meter = self._meters.get(service)
            if meter is None:
                meter = LoadMeter(self._daemon, service, now_ms())
                self._meters[service] = meter
            meter.record_request(start, key_hash)

    def collect_reports(self) -> list[LoadsReported]:
        """Returns the load of each service since the previous call."""
        with self._lock:
            return [meter.collect_report(now_ms()) for meter in self._meters.values()]
