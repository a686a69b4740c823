"""Reads health and load of backends and cancels attempts, over HTTP with JSON."""

from __future__ import annotations

import json

from result import Result

from ..core.gateway.checks import MAX_EXACT_NUMBER
from ..errors import Fault
from .http import CONTROL_BOUNDS, make_pool_manager, send_request
from .interface import Health, LoadReport
from .registry import REPORT_ADAPTERS, adapter


def _parse_health(body: bytes) -> Health:
    plain = json.loads(body)
    return Health(bool(plain["ready"]), bool(plain["draining"]))


def _parse_load(body: bytes) -> LoadReport:
    plain = json.loads(body)
    figures = (plain["in_flight"], plain["slots"], plain["age_ms"])
    if not all(0 <= item <= MAX_EXACT_NUMBER for item in figures):
        raise ValueError("a figure out of range")
    return LoadReport(int(figures[0]), int(figures[1]), float(figures[2]))


def _parse_cancel(body: bytes) -> bool:
    return json.loads(body or b"{}").get("outcome") == "not-run"


@adapter(REPORT_ADAPTERS, "http")
class HttpReportClient:
    """Client of the control address of backends."""

    def __init__(self) -> None:
        self._manager = make_pool_manager(CONTROL_BOUNDS)

    def fetch_health(self, address: str, timeout_ms: float) -> Result[Health, Fault]:
        """Returns the health of a backend."""
        url = f"http://{address}/health"
        return send_request(self._manager, "GET", url, timeout_ms, _parse_health)

    def fetch_load(self, address: str, timeout_ms: float) -> Result[LoadReport, Fault]:
        """Returns the load report of a backend."""
        url = f"http://{address}/load"
        return send_request(self._manager, "GET", url, timeout_ms, _parse_load)

    def cancel(
        self, address: str, request_id: str, timeout_ms: float
    ) -> Result[bool, Fault]:
        """Cancels an attempt; returns True when the backend says that it never ran."""
        url = f"http://{address}/requests/{request_id}"
        return send_request(self._manager, "DELETE", url, timeout_ms, _parse_cancel)
