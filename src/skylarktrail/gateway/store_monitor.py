"""Counts calls to the store and logs its outages."""

from __future__ import annotations

from typing import Any

from result import Result

from ..errors.code import Fault
from .clock import now_ms
from .event_log import EventLog
from .metrics import GatewayMetrics

FAILURE_BACKOFF_MS = 250.0  # The store counts refused calls against its limits too.
# Together with the store's response timeout this stays below the 3 s that a site
# tolerates.
MAX_FAILURE_BACKOFF_MS = 1500.0


class StoreCallMonitor:
    """Counts calls to the store, logs outages and computes the backoff.

    Args:
        name: Name of the call in the log and the metrics.
        log: Receives a line when calls begin to fail and when they succeed again.
        metrics: Counts the calls.
    """

    def __init__(self, name: str, log: EventLog, metrics: GatewayMetrics) -> None:
        self._name = name
        self._log = log
        self._metrics = metrics
        self._failure_count = 0
        self._failing_since_ms = 0.0

    @property
    def is_failing(self) -> bool:
        """Returns whether the last call failed; a log read then does not wait."""
        return self._failure_count > 0

    @property
    def failure_count(self) -> int:
        """Returns the number of consecutive failed calls."""
        return self._failure_count

    def check(self, result: Result[Any, Fault]) -> float | None:
        """Records the result of a call.

        Returns:
            Milliseconds to wait after a failure; None after a success.
        """
        if result.is_ok():
            self._metrics.count("store_calls", self._name, "done")
            if self._failure_count:
                lost_ms = round(now_ms() - self._failing_since_ms)
                self._log.state("store_regained", call=self._name, lost_ms=lost_ms)
            self._failure_count = 0
            return None
        fault = result.unwrap_err()
        self._metrics.count("store_calls", self._name, fault.code.name)
        if not self._failure_count:
            self._failing_since_ms = now_ms()
            self._log.state("store_lost", call=self._name, fault=str(fault))
        self._failure_count += 1
        return min(MAX_FAILURE_BACKOFF_MS, FAILURE_BACKOFF_MS * self._failure_count)
