"""Decodes the entries that instances write into the store."""

from __future__ import annotations

import json
from typing import Any

from ..core.gateway.checks import (
    MAX_COLD_MS,
    MAX_EXACT_NUMBER,
    is_address,
    is_identifier,
    is_name,
)
from ..core.gateway.model import InstanceEntry

DRAINING = "draining"
STATES = ("ready", DRAINING)
MAX_SLOTS = 1 << 16  # More would draw the requests of a whole site to one instance.


def decode_entry(instance: str, value: bytes) -> InstanceEntry | None:
    """Decodes one entry.

    Returns:
        The entry; None if it is not usable, as other programs may write entries too.
        Each value of the entry can be used wherever the daemons use it.
    """
    try:
        return _decode(instance, json.loads(value))
    except (KeyError, TypeError, ValueError, OverflowError, RecursionError):
        return None


def _decode(instance: str, document: dict[str, Any]) -> InstanceEntry | None:
    state, service = document["state"], document["backend"]
    address, zone = document["address"], document["zone"]
    if state not in STATES or not is_identifier(instance):
        return None
    if not (service and is_name(service) and is_name(zone) and is_address(address)):
        return None
    return InstanceEntry(
        instance,
        service,
        address,
        zone,
        max(1, _to_integer(document["slots"], MAX_SLOTS)),
        state == DRAINING,
        float(_to_integer(document.get("coldRemainingMs", 0), MAX_COLD_MS)),
        _to_integer(document.get("born", 0)),
        _to_integer(document["sequence"]),
    )


def _to_integer(value: Any, limit: int = MAX_EXACT_NUMBER) -> int:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"not a number: {value!r}")
    if not 0 <= value <= limit:
        raise ValueError(f"not in 0 to {limit}")
    return int(value)
