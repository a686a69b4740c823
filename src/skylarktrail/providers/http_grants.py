"""Sends grants to servers over HTTP with JSON bodies."""

from __future__ import annotations

import json
from typing import Any

from result import Result

from ..core.ownership.messages import Grant, GrantAnswer, GrantedSlice
from ..errors import Fault
from .http import CONTROL_BOUNDS, make_pool_manager, send_request
from .registry import GRANT_ADAPTERS, adapter


def _parse_grant_answer(body: bytes) -> GrantAnswer:
    plain = json.loads(body)
    held = plain.get("held")
    return GrantAnswer(
        _check(plain["accepted"], bool),
        _check(plain.get("reason", ""), str),
        _check(plain["boot_id"], str),
        _to_integer(plain["clock_ms"]),
        _to_integer(plain["term"]),
        _to_integer(plain["version"]),
        None if held is None else tuple(map(_parse_slice, held)),
    )


def _parse_slice(item: list[Any]) -> GrantedSlice:
    return GrantedSlice(*map(_to_integer, item))


def _check(value: Any, kind: type) -> Any:
    if type(value) is not kind:
        raise TypeError(f"not a {kind.__name__}")
    return value


def _to_integer(value: Any) -> int:
    """Returns a number as a whole number of at most 64 bits."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError("not a number")
    if not 0 <= value < 1 << 64:
        raise ValueError("a number out of range")
    return int(value)


@adapter(GRANT_ADAPTERS, "http")
class HttpGrantClient:
    """Client of the grant endpoint of servers."""

    def __init__(self) -> None:
        self._manager = make_pool_manager(CONTROL_BOUNDS)

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
