"""Decodes the entries that instances write into the store."""

from __future__ import annotations

import json
from typing import Any

from ..core.gateway.checks import is_usable_entry
from ..core.gateway.model import InstanceEntry

DRAINING = "draining"
STATES = ("ready", DRAINING)


def decode_entry(instance: str, value: bytes) -> InstanceEntry | None:
    """Decodes one entry.

    Returns:
        The entry; None if it is not usable, as other programs may write entries too.
        Each value of the entry can be used wherever the daemons use it.
    """
    try:
        entry = _decode(instance, json.loads(value))
        return entry if entry is not None and is_usable_entry(entry) else None
    except (KeyError, TypeError, ValueError, OverflowError, RecursionError):
        return None


def _decode(instance: str, document: dict[str, Any]) -> InstanceEntry | None:
    state, slots = document["state"], _to_integer(document["slots"])
    if state not in STATES or slots < 0:
        return None
    return InstanceEntry(
        instance,
        document["backend"],
        document["address"],
        document["zone"],
        max(1, slots),
        state == DRAINING,
        float(_to_integer(document.get("coldRemainingMs", 0))),
        _to_integer(document.get("born", 0)),
        _to_integer(document["sequence"]),
    )


def _to_integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"not a number: {value!r}")
    return int(value)
