"""HTTP client of a daemon's operator address."""

from __future__ import annotations

from typing import Any
from urllib.parse import urlencode

import urllib3
from result import Err, Ok, Result

from ..errors import CODES
from ..errors import tool as codes
from ..errors.code import Fault
from ..http_pools import make_pool_manager

REQUIRED_STATUS_FIELDS = {
    "daemon",
    "zone",
    "is_ready",
    "is_draining",
    "is_confirmed",
    "log",
    "revision",
    "next_offset",
    "zones",
    "groups",
    "servers",
    "services",
}


class DaemonClient:
    """Sends requests to the operator address of one daemon.

    Args:
        address: Operator address of the daemon, `host:port`.
        timeout_ms: Longest wait for a response, milliseconds.
    """

    def __init__(self, address: str, timeout_ms: float) -> None:
        self._address = address
        self._timeout_s = timeout_ms / 1000
        self._manager = make_pool_manager(retries=False)

    def status(self) -> Result[dict[str, Any], Fault]:
        """Returns the daemon's status as a JSON object."""
        outcome = self._get("/status.json", {})
        if outcome.is_err():
            return outcome
        missing = REQUIRED_STATUS_FIELDS - set(outcome.ok_value)
        if missing:
            detail = f"no {', '.join(sorted(missing))}"
            return Err(Fault(codes.ANSWER_MALFORMED, self._address, detail))
        return outcome

    def explain_key(self, service: str, key: str) -> Result[dict[str, Any], Fault]:
        """Returns where the daemon sends requests with a key, and why."""
        return self._get("/explain/key", {"service": service, "key": key})

    def explain_upstream(self, instance: str) -> Result[dict[str, Any], Fault]:
        """Returns how the daemon treats an instance, and why."""
        return self._get("/explain/upstream", {"id": instance})

    def _get(self, path: str, query: dict[str, str]) -> Result[dict[str, Any], Fault]:
        url = f"http://{self._address}{path}"
        if query:
            url = f"{url}?{urlencode(query)}"
        try:
            response = self._manager.request("GET", url, timeout=self._timeout_s)
            document = response.json()
        except urllib3.exceptions.HTTPError as error:
            detail = type(error).__name__
            return Err(Fault(codes.NO_ANSWER, self._address, detail))
        except ValueError:
            return Err(Fault(codes.ANSWER_MALFORMED, self._address, "not JSON"))
        return self._parse_response(response.status, document)

    def _parse_response(
        self, status: int, document: Any
    ) -> Result[dict[str, Any], Fault]:
        """Returns the JSON object of a response, or the fault that it reports."""
        if not isinstance(document, dict):
            return Err(Fault(codes.ANSWER_MALFORMED, self._address, "no JSON object"))
        if status == 200:
            return Ok(document)
        code = CODES.get(document.get("code", 0), codes.ANSWER_MALFORMED)
        detail = str(document.get("detail", f"HTTP status {status}"))
        return Err(Fault(code, self._address, detail))
