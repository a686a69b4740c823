"""Sends grants to servers over HTTP with JSON bodies."""

from __future__ import annotations

import json

from result import Result

from ..core.ownership.messages import Grant, GrantAnswer, GrantedSlice
from ..errors import Fault
from .http import make_pool_manager, send_request
from .registry import GRANT_ADAPTERS, adapter


def _parse_grant_answer(body: bytes) -> GrantAnswer:
    plain = json.loads(body)
    held = plain.get("held")
    return GrantAnswer(
        bool(plain["accepted"]),
        plain.get("reason", ""),
        plain["boot_id"],
        int(plain["clock_ms"]),
        int(plain["term"]),
        int(plain["version"]),
        None if held is None else tuple(GrantedSlice(*item) for item in held),
    )


@adapter(GRANT_ADAPTERS, "http")
class HttpGrantClient:
    """Client of the grant endpoint of servers."""

    def __init__(self) -> None:
        self._manager = make_pool_manager()

    def send(
        self, address: str, grant: Grant, timeout_ms: float
    ) -> Result[GrantAnswer, Fault]:
        """Sends one grant. After an error the grant may or may not be in effect."""
        return send_request(
            self._manager,
            "POST",
            f"http://{address}/grants",
            timeout_ms,
            _parse_grant_answer,
            body=json.dumps(grant._asdict()).encode(),
            headers={"Content-Type": "application/json"},
        )
