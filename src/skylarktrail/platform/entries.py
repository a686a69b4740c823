"""Decodes the entries that instances write into the store."""

from __future__ import annotations

import json
from typing import Any

from ..core.gateway.model import InstanceEntry

DRAINING = "draining"
STATES = ("ready", DRAINING)


def decode_entry(instance: str, value: bytes) -> InstanceEntry | None:
    """Decodes one entry.

    Returns:
        The entry, or None if it is invalid, as other programs may write entries too.
    """
    try:
        return _decode(instance, json.loads(value))
    except (KeyError, TypeError, ValueError, OverflowError, RecursionError):
        return None


def _decode(instance: str, document: dict[str, Any]) -> InstanceEntry | None:
    state = document["state"]
    texts = (document["backend"], document["address"], document["zone"])
    if state not in STATES or not all(isinstance(item, str) for item in texts):
        return None
    host, _, port = document["address"].rpartition(":")
    if not host or not 0 < int(port) < 65536:
        return None
    return InstanceEntry(
        instance,
        document["backend"],
        document["address"],
        document["zone"],
        max(1, _to_integer(document["slots"])),
        state == DRAINING,
        float(_to_integer(document.get("coldRemainingMs", 0))),
        _to_integer(document.get("born", 0)),
        _to_integer(document["sequence"]),
    )


def _to_integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"not a number: {value!r}")
    return int(value)
