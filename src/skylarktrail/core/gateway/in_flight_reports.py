"""Sums up the in-flight requests of all daemons by instance, at the granter.

When dozens of daemons send to one overloaded instance, each of them sends few requests
and gets few load reports in responses. Each would consider the instance idle, and
together they would fill its queue with requests that time out there.
"""

from __future__ import annotations

from collections import Counter
from typing import Mapping

REPORT_TTL_MS = 1500.0  # Older reports are ignored.


class InFlightReports:
    """Keeps the latest report of each daemon."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, Mapping[str, int]]] = {}

    def record(self, daemon: str, in_flight: Mapping[str, int], now_ms: float) -> None:
        """Records the in-flight requests of a daemon by instance."""
        self._reports[daemon] = (now_ms, in_flight)

    def totals(self, now_ms: float) -> Counter[str]:
        """Returns the in-flight requests of all daemons by instance."""
        self._reports = {
            daemon: report
            for daemon, report in self._reports.items()
            if now_ms - report[0] <= REPORT_TTL_MS
        }
        totals: Counter[str] = Counter()
        for _, in_flight in self._reports.values():
            totals.update(in_flight)
        return totals


def find_overloaded(
    totals: Mapping[str, int], slots: Mapping[str, int]
) -> dict[str, int]:
    """Returns the totals of the instances without a free slot."""
    return {
        name: count
        for name, count in totals.items()
        if name in slots and count >= slots[name]
    }
