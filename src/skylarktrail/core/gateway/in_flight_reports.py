"""Requests of all daemons under way at each instance, as the granter knows them.

Load pattern: dozens of daemons send to one overloaded instance. Each meets it seldom
and sees the load figures of few answers, so each takes it for idle, and together they
fill its queue with requests whose time runs out there.
"""

from __future__ import annotations

from collections import Counter
from typing import Mapping

REPORT_TTL_MS = 1500.0  # A daemon that has not reported for longer is left out.


class InFlightReports:
    """The last report of each daemon."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, Mapping[str, int]]] = {}

    def record(self, daemon: str, in_flight: Mapping[str, int], now_ms: float) -> None:
        """Takes a daemon's requests under way by instance."""
        self._reports[daemon] = (now_ms, in_flight)

    def totals(self, now_ms: float) -> Counter[str]:
        """Returns the requests under way by instance, of all daemons."""
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
    """Returns the totals of instances whose slots are all taken."""
    return {
        name: count
        for name, count in totals.items()
        if name in slots and count >= slots[name]
    }
