"""Sends single requests through the daemons of a site, for tests."""

from __future__ import annotations

import time
from typing import Any, NamedTuple

import urllib3
import uuid6

from skylarktrail.errors.idempotency import KEY_FORGOTTEN

from .site import Site, SiteError

TIMEOUT_S = 20.0
RETRY_TIMEOUT_S = 20.0
RETRY_DELAY_S = 0.05
NOT_RUN = "not-run"
UNKNOWN = "unknown"


class CallerResponse(NamedTuple):
    """Response that a caller received.

    Attributes:
        status: HTTP status; 0 without a complete response.
        outcome: Value of `Skylark-Outcome`; "" if absent.
        body: Parsed JSON body.
    """

    status: int
    outcome: str
    body: dict[str, Any]


class Client:
    """Sends requests of one tenant.

    Args:
        site: Site whose daemons are called.
        tenant: Name of the tenant.
    """

    def __init__(self, site: Site, tenant: str) -> None:
        self._site = site
        self._tenant = tenant

    def send(
        self,
        daemon: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> CallerResponse:
        """Sends one request through a daemon without a retry."""
        address = self._site.vms[daemon].address
        try:
            response = urllib3.request(
                method,
                f"http://{address}{path}",
                headers={"Skylark-Tenant": self._tenant} | (headers or {}),
                body=body or None,
                timeout=TIMEOUT_S,
                retries=False,
            )
        except urllib3.exceptions.HTTPError:
            return CallerResponse(0, "", {})
        outcome = response.headers.get("Skylark-Outcome", "")
        return CallerResponse(response.status, outcome, response.json())

    def send_until_answered(
        self,
        daemon: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> CallerResponse:
        """Sends a request and retries it while a retry is safe.

        A retry is safe if the request did not run, if it is a read, or if the daemon
        asks for a retry with the same idempotency key.

        Raises:
            SiteError: The request still failed after `RETRY_TIMEOUT_S`, or failed in
                a way that forbids a retry.
        """
        deadline_s = time.monotonic() + RETRY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            response = self.send(daemon, method, path, headers, body)
            if response.status == 200:
                return response
            if not _may_retry(method, response):
                break
            time.sleep(RETRY_DELAY_S)
        raise SiteError(f"request was not answered: {response}")

    def send_with_new_key(
        self, daemon: str, path: str, body: bytes = b""
    ) -> tuple[str, CallerResponse]:
        """Sends a POST request with a new idempotency key until it is answered.

        A home refuses keys older than its term; the request is then retried with
        another key.

        Returns:
            The accepted key and the response.

        Raises:
            SiteError: The request still failed after `RETRY_TIMEOUT_S`.
        """
        deadline_s = time.monotonic() + RETRY_TIMEOUT_S
        key = str(uuid6.uuid7())
        while time.monotonic() < deadline_s:
            response = self.send(daemon, "POST", path, {"Idempotency-Key": key}, body)
            if response.status == 200:
                return key, response
            if response.body.get("code") == KEY_FORGOTTEN.number:
                key = str(uuid6.uuid7())
            time.sleep(RETRY_DELAY_S)
        raise SiteError(f"no request with a new key was answered: {response}")


def _may_retry(method: str, response: CallerResponse) -> bool:
    if response.outcome == NOT_RUN:
        return True
    has_retry_time = bool(response.body.get("retry_after_ms"))
    return response.outcome == UNKNOWN and (method == "GET" or has_retry_time)
